//! Reads HTTP/1.1 messages from a connection.

use std::io::BufRead;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The request line or the status line.
    pub start_line: String,
    /// Pairs of a name in lower case and a value.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// The value of the first header with the given name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.0 == name)
            .map(|header| header.1.as_str())
    }

    /// The status code of a response, or 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    /// Whether the start line contains the given text.
    pub fn start_line_contains(&self, text: &str) -> bool {
        self.start_line.contains(text)
    }
}

/// Reads one message. Its body has the length that Content-Length gives, or none without that
/// header. Returns `None` if the connection ends before the message is complete.
pub fn read_http_message(reader: &mut impl BufRead) -> Option<HttpMessage> {
    let mut head = read_head(reader)?.into_iter();
    let start_line = head.next()?;
    let headers = head.filter_map(|line| parse_header(&line)).collect();
    let mut message = HttpMessage {
        start_line,
        headers,
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .map_or(0, |length| length.parse().expect("a valid Content-Length"));
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads the start line and the headers, up to the empty line.
fn read_head(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim_end() {
            "" => return Some(lines),
            text => lines.push(text.to_string()),
        }
    }
}

fn parse_header(line: &str) -> Option<(String, String)> {
    let (name, value) = line.split_once(':')?;
    Some((name.to_lowercase(), value.trim().to_string()))
}

/// The value of a parameter in the query of a request line.
pub fn parameter(request_line: &str, name: &str) -> Option<u64> {
    let target = request_line.split(' ').nth(1)?;
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
