//! A backend: it begins a request once the request's last byte has come, and answers it.

use crate::http::{read_message, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Answers a request on its connection. An error closes the connection.
pub type Answer = dyn Fn(&Message, &mut TcpStream) -> std::io::Result<()> + Send + Sync;

/// Starts a backend on a free port of the loopback address.
pub fn start(answer: Arc<Answer>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve(stream, &*answer));
        }
    });
    address
}

/// An answer that writes a whole response at once.
pub fn write_whole(stream: &mut TcpStream, response: &[u8]) -> std::io::Result<()> {
    stream.write_all(response)
}

fn serve(mut stream: TcpStream, answer: &Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if answer(&request, &mut stream).is_err() {
            return;
        }
    }
}
