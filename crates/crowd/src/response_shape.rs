//! The response that a request asks a backend for in its query.

use std::fmt::Write;

/// The value of each field that is added to the head.
const FIELD_VALUE_BYTES: usize = 90;
/// The body of each response begins with the identifier and goes on with this byte.
const BODY_BYTE: u8 = b'r';

/// The response that a request asks the backend for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseShape {
    /// The size of its body.
    pub body_bytes: usize,
    /// The number of further header fields.
    pub fields: usize,
    /// The size of the pieces in which it is written; 0 if it is written at once.
    pub piece_bytes: usize,
    /// The pause after each piece, in milliseconds.
    pub pause_ms: u64,
    /// Whether the body is sent in chunks, without an announced length.
    pub is_chunked: bool,
}

impl ResponseShape {
    /// The query that asks a backend for this response.
    pub(crate) fn query(&self) -> String {
        let ResponseShape {
            body_bytes,
            fields,
            piece_bytes,
            pause_ms,
            is_chunked,
        } = self;
        let chunked = u8::from(*is_chunked);
        format!(
            "bytes={body_bytes}&fields={fields}&piece={piece_bytes}&pause={pause_ms}\
             &chunked={chunked}"
        )
    }

    /// The response that the target of a request asks for; `None` if it asks for no size.
    pub fn from_target(target: &str) -> Option<ResponseShape> {
        let value = |name| parameter(target, name).unwrap_or(0);
        Some(ResponseShape {
            body_bytes: parameter(target, "bytes")? as usize,
            fields: value("fields") as usize,
            piece_bytes: value("piece") as usize,
            pause_ms: value("pause"),
            is_chunked: value("chunked") == 1,
        })
    }

    /// The pieces of the response to the request with this identifier. The head is part of the
    /// first one.
    pub fn pieces(&self, id: &str) -> Vec<Vec<u8>> {
        let mut body = id.as_bytes().to_vec();
        body.resize(self.body_bytes.max(id.len()), BODY_BYTE);
        let piece_bytes = match self.piece_bytes {
            0 => body.len(),
            bytes => bytes,
        };
        let mut pieces = Vec::new();
        let mut text = self.head(body.len()).into_bytes();
        for part in body.chunks(piece_bytes.max(1)) {
            if self.is_chunked {
                text.extend(format!("{:x}\r\n", part.len()).as_bytes());
                text.extend(part);
                text.extend(b"\r\n");
            } else {
                text.extend(part);
            }
            pieces.push(std::mem::take(&mut text));
        }
        if self.is_chunked {
            pieces.push(b"0\r\n\r\n".to_vec());
        }
        pieces
    }

    fn head(&self, body_bytes: usize) -> String {
        let mut head = String::from("HTTP/1.1 200 OK\r\n");
        let value = "v".repeat(FIELD_VALUE_BYTES);
        for field in 0..self.fields {
            let _ = write!(head, "x-{field}: {value}\r\n");
        }
        let _ = if self.is_chunked {
            write!(head, "Transfer-Encoding: chunked\r\n\r\n")
        } else {
            write!(head, "Content-Length: {body_bytes}\r\n\r\n")
        };
        head
    }
}

/// The value of a parameter in the query of a target.
pub(crate) fn parameter(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
