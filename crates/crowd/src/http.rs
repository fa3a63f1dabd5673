//! Reads HTTP/1.1 messages, as far as these clients and backends need it.

use std::io::{Error, ErrorKind, Result};
use tokio::io::{AsyncRead, AsyncReadExt};

/// The size of the buffer into which a connection is read.
const READ_BYTES: usize = 16 << 10;
/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A message without its body, which is counted and dropped.
pub struct Message {
    head: String,
}

impl Message {
    /// The status of a response, 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// The value of the first header with this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(':'));
        let (_, value) = fields.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(value.trim())
    }

    fn content_length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the messages of one connection.
#[derive(Default)]
pub struct MessageReader {
    unread: Vec<u8>,
}

impl MessageReader {
    /// Reads a message and drops its body. Fails if the connection ends before the message does.
    pub async fn read(&mut self, input: &mut (impl AsyncRead + Unpin)) -> Result<Message> {
        let head_bytes = loop {
            let end = self
                .unread
                .windows(HEAD_END.len())
                .position(|window| window == HEAD_END);
            match end {
                Some(end) => break end + HEAD_END.len(),
                None => self.read_more(input).await?,
            }
        };
        let head = String::from_utf8_lossy(&self.unread[..head_bytes]).into_owned();
        let message = Message { head };
        let mut remaining = message.content_length();
        self.unread.drain(..head_bytes);
        while remaining > self.unread.len() {
            remaining -= self.unread.len();
            self.unread.clear();
            self.read_more(input).await?;
        }
        self.unread.drain(..remaining);
        Ok(message)
    }

    async fn read_more(&mut self, input: &mut (impl AsyncRead + Unpin)) -> Result<()> {
        self.unread.reserve(READ_BYTES);
        match input.read_buf(&mut self.unread).await? {
            0 => Err(Error::from(ErrorKind::UnexpectedEof)),
            _ => Ok(()),
        }
    }
}
