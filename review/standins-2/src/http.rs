//! Reads and writes HTTP/1.1 messages that are framed by `Content-Length`.

use std::io::{self, BufRead};

/// The head and the body of a message.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// The names, in lower case, and the values of the fields.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a field; the empty text if there is none.
    pub fn field(&self, name: &str) -> &str {
        let field = self.fields.iter().find(|(key, _)| key == name);
        field.map_or("", |(_, value)| value)
    }

    /// The second word of the start line: the path of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head and the body that its `Content-Length` announces; `None` at the end of the stream
/// before the first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut start_line = String::new();
    if reader.read_line(&mut start_line)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    let mut message = Message {
        start_line: start_line.trim_end().to_string(),
        fields,
        body: Vec::new(),
    };
    let length = message.field("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// A response with a status line and a body.
pub fn response(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
