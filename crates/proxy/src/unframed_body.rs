//! Bodies that end with their connection, because their headers announce no length.
//!
//! The orderly end of the connection ends such a body (RFC 9112, section 6.3). A backend that fails
//! while it writes may end its connection in the same way, and a second response may follow the
//! first one, so a body is also checked by its content.

use hyper::header::{HeaderMap, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use serde::de::IgnoredAny;

/// Whether a body with these headers ends with its connection.
pub fn is_unframed(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// The beginning of a status line.
const STATUS_LINE: &[u8] = b"HTTP/1.1 ";

/// Whether the body is not what the backend made for one request: it contains the beginning of
/// another response, or its content type shows that it is truncated.
pub fn is_broken(headers: &HeaderMap, body: &[u8]) -> bool {
    contains(body, STATUS_LINE) || is_truncated(headers, body)
}

/// Whether the end of the body contradicts its content type: an incomplete JSON value, or a
/// multipart body without its closing delimiter.
fn is_truncated(headers: &HeaderMap, body: &[u8]) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    let Some(content_type) = content_type.and_then(|value| value.to_str().ok()) else {
        return false;
    };
    let (media_type, parameters) = content_type.split_once(';').unwrap_or((content_type, ""));
    let media_type = media_type.trim().to_ascii_lowercase();
    if media_type == "application/json" || media_type.ends_with("+json") {
        return is_incomplete_json(body);
    }
    if media_type.starts_with("multipart/") {
        return boundary(parameters).is_some_and(|boundary| !has_closing_delimiter(body, boundary));
    }
    false
}

fn is_incomplete_json(body: &[u8]) -> bool {
    let parsed: Result<IgnoredAny, _> = serde_json::from_slice(body);
    parsed.is_err_and(|error| error.is_eof())
}

/// The parameter `boundary` of a multipart type, without its quotes.
fn boundary(parameters: &str) -> Option<&str> {
    let mut pairs = parameters
        .split(';')
        .filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| name.trim().eq_ignore_ascii_case("boundary"))?;
    Some(value.trim().trim_matches('"'))
}

/// Whether the body contains the delimiter that ends a multipart body (RFC 2046, section 5.1.1).
fn has_closing_delimiter(body: &[u8], boundary: &str) -> bool {
    let delimiter = format!("--{boundary}--");
    contains(body, delimiter.as_bytes())
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}
