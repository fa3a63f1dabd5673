//! A client's connection to a proxy.

use crate::http::{read_message, Message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a read waits for a byte.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// An open connection.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to a proxy.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Connection { stream, reader })
    }

    /// Writes bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Splits the connection into what is written and what is read.
    pub fn split(self) -> (TcpStream, ResponseReader) {
        (self.stream, ResponseReader(self.reader))
    }

    /// Reads the next whole response; `None` if the proxy has closed the connection instead.
    pub fn read_response(&mut self) -> io::Result<Option<Message>> {
        read_message(&mut self.reader)
    }
}

/// The side of a connection that is read.
pub struct ResponseReader(BufReader<TcpStream>);

impl ResponseReader {
    /// Reads the next whole response; `None` if the proxy has closed the connection instead.
    pub fn read_response(&mut self) -> io::Result<Option<Message>> {
        read_message(&mut self.0)
    }
}

/// A request of the class `manifest-read`.
pub fn read_request(id: &str, time_left_ms: u64) -> Vec<u8> {
    format!(
        "GET /manifest-read/{id} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: manifest-read\r\nCookie: key=7f3a9c21e0b4d655\r\n\
         X-Time-Left-Ms: {time_left_ms}\r\n\r\n"
    )
    .into_bytes()
}

/// A request of the class `load-confirm`, which must not run twice.
pub fn confirm_request(id: &str, time_left_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /load-confirm/{id} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: load-confirm\r\nCookie: key=7f3a9c21e0b4d655\r\n\
         X-Time-Left-Ms: {time_left_ms}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
