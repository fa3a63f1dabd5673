//! Whether the headers of a response determine the length of its body, and agree on it.
//!
//! Where a response has `Transfer-Encoding`, the parser ignores `Content-Length`. RFC 9112, section
//! 6.3, asks to treat a response with both as an error; here it is one if they contradict each
//! other.

use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};

/// The only transfer coding that the parser decodes.
const DECODED_CODING: &str = "chunked";

/// Whether a body of `body_bytes` bytes is what the headers announce.
pub fn is_as_announced(headers: &HeaderMap, body_bytes: usize) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return true; // the parser has checked the only length
    };
    let is_decoded = codings.next().is_none() && is_decoded_coding(coding);
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    is_decoded && lengths.all(|length| announces(length, body_bytes))
}

fn is_decoded_coding(coding: &HeaderValue) -> bool {
    let coding = coding.to_str().map(str::trim);
    coding.is_ok_and(|coding| coding.eq_ignore_ascii_case(DECODED_CODING))
}

/// Whether each length in the header, which may repeat it, is `bytes`.
fn announces(header: &HeaderValue, bytes: usize) -> bool {
    let is_length = |text: &str| text.trim().parse() == Ok(bytes);
    header
        .to_str()
        .is_ok_and(|text| text.split(',').all(is_length))
}
