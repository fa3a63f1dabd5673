//! Counts the bytes that are sent to a listener.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

/// A connection on which exactly these bytes arrive ends the counting.
const END_OF_COUNT: &[u8] = b"done";

/// Counts the bytes that arrive on all connections to a listener.
pub struct ByteCounter {
    address: SocketAddr,
    counting_thread: JoinHandle<usize>,
}

impl ByteCounter {
    /// Starts to accept connections one after another. The next connection is accepted when the
    /// current one is closed or nothing has arrived on it for `idle_timeout`.
    pub fn start(listener: TcpListener, idle_timeout: Duration) -> ByteCounter {
        let address = listener.local_addr().unwrap();
        let counting_thread = std::thread::spawn(move || count_until_end(&listener, idle_timeout));
        ByteCounter {
            address,
            counting_thread,
        }
    }

    /// Returns the number of bytes that have arrived on all connections made before this call.
    pub fn finish(self) -> usize {
        // This connection is accepted after all others.
        TcpStream::connect(self.address)
            .unwrap()
            .write_all(END_OF_COUNT)
            .unwrap();
        self.counting_thread.join().unwrap()
    }
}

fn count_until_end(listener: &TcpListener, idle_timeout: Duration) -> usize {
    let mut count = 0;
    for mut stream in listener.incoming().map_while(Result::ok) {
        let mut received = Vec::new();
        stream.set_read_timeout(Some(idle_timeout)).unwrap();
        // After a timeout, `received` contains the bytes that arrived before it.
        let _ = stream.read_to_end(&mut received);
        if received == END_OF_COUNT {
            break;
        }
        count += received.len();
    }
    count
}
