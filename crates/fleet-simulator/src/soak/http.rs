//! Just enough HTTP/1.1 for stand-ins that have to break off at any byte.

use tokio::io::{AsyncRead, AsyncReadExt};

/// The longest message that is read.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// A whole message.
pub struct Message {
    /// The start line and the headers.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// The status of a response.
    pub fn status(&self) -> Option<u16> {
        self.head.split(' ').nth(1)?.parse().ok()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = fields.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(value.trim())
}

/// Why no whole message came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The connection ended before the first byte.
    AtStart,
    /// It ended in the middle of the message, or the bytes are no message.
    Midway,
}

/// Reads messages from a connection; keeps bytes that came beyond a message.
#[derive(Default)]
pub struct MessageReader {
    buffer: Vec<u8>,
}

impl MessageReader {
    /// Whether bytes have come that belong to no message yet.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits for the first byte of the next message.
    pub async fn first_byte(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<(), Broken> {
        if self.buffer.is_empty() {
            self.read_more(stream, Broken::AtStart).await?;
        }
        Ok(())
    }

    /// Reads a message.
    pub async fn read(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> Result<Message, Broken> {
        self.first_byte(stream).await?;
        let head_end = loop {
            if let Some(position) = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                break position + 4;
            }
            self.read_more(stream, Broken::Midway).await?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let body_length = header(&head, "content-length").map_or(Ok(0), str::parse);
        let length = head_end + body_length.map_err(|_| Broken::Midway)?;
        while self.buffer.len() < length {
            self.read_more(stream, Broken::Midway).await?;
        }
        let body = self.buffer[head_end..length].to_vec();
        self.buffer.drain(..length);
        Ok(Message { head, body })
    }

    async fn read_more(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        at_end: Broken,
    ) -> Result<(), Broken> {
        match stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(at_end),
            Ok(_) if self.buffer.len() > MAX_MESSAGE_BYTES => Err(Broken::Midway),
            Ok(_) => Ok(()),
        }
    }
}
