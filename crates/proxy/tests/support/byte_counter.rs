//! Counts what reaches a listener.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

/// A connection that carries this and nothing else ends the counting.
const END_OF_COUNT: &[u8] = b"done";

/// Counts the bytes that arrive on all connections to a listener.
pub struct ByteCounter {
    address: SocketAddr,
    count: JoinHandle<usize>,
}

impl ByteCounter {
    /// Starts to accept connections one after another, each once the one before it is closed or
    /// has been silent for `max_silence`.
    pub fn start(listener: TcpListener, max_silence: Duration) -> ByteCounter {
        let address = listener.local_addr().unwrap();
        let count = std::thread::spawn(move || count_until_end(&listener, max_silence));
        ByteCounter { address, count }
    }

    /// The bytes that have arrived on all connections made before this call.
    pub fn finish(self) -> usize {
        // This one is accepted after all others.
        TcpStream::connect(self.address)
            .unwrap()
            .write_all(END_OF_COUNT)
            .unwrap();
        self.count.join().unwrap()
    }
}

fn count_until_end(listener: &TcpListener, max_silence: Duration) -> usize {
    let mut count = 0;
    for mut stream in listener.incoming().map_while(Result::ok) {
        let mut received = Vec::new();
        stream.set_read_timeout(Some(max_silence)).unwrap();
        let _ = stream.read_to_end(&mut received); // a timeout keeps what came before it
        if received == END_OF_COUNT {
            break;
        }
        count += received.len();
    }
    count
}
