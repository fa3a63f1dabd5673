//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::Instant;

/// A request or response that was received completely.
pub struct Message {
    pub start_line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub first_byte_at: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

/// Reads a message whose body, if any, is framed by `Content-Length`. Returns `None` if the
/// connection has ended before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let first_byte_at = Instant::now();
    let start_line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        headers.push((name.trim().to_string(), value.trim().to_string()));
    }
    let mut message = Message {
        start_line,
        headers,
        body: Vec::new(),
        first_byte_at,
    };
    let length = message.header("Content-Length").unwrap_or("0");
    let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}
