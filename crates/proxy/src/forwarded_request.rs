//! The form in which a request is forwarded to backends, and the removal of hop-by-hop headers.

use crate::memory_budget::Reservation;
use brookstack_balancer::ClassId;
use bytes::Bytes;
use hyper::header::{
    HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::Request;

/// The maximum size of the body of a request or a response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// The header with the time that the client still waits for the response, in milliseconds.
pub const TIME_LEFT_HEADER: HeaderName = HeaderName::from_static("x-time-left-ms");

/// A request as it is forwarded. All attempts send the same head and body, except for the header
/// with the time left.
pub struct ForwardedRequest {
    /// The method, the path and the headers without hop-by-hop headers.
    pub head: Request<()>,
    /// The traffic class.
    pub class: ClassId,
    /// The complete body.
    pub body: Bytes,
    /// The memory of the head, its copies and the body, unless they are small. It is released with
    /// the request.
    #[expect(dead_code, reason = "kept until it is dropped")]
    pub memory: Option<Reservation>,
    /// Returns whether the client has disconnected. Each attempt checks this right before it sends
    /// its first byte.
    pub client_disconnected: Box<dyn Fn() -> bool>,
}

/// The headers that are removed even if `Connection` does not name them. `Content-Length` is one of
/// them because it is set again for the next hop. `Expect` is one because the body is already
/// complete.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    TRANSFER_ENCODING,
    CONTENT_LENGTH,
    TE,
    TRAILER,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    EXPECT,
];

/// Returns the options that the `Connection` headers list (RFC 9110, section 7.6.1).
pub fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(CONNECTION).iter();
    let readable_values = values.filter_map(|value| value.to_str().ok());
    readable_values.flat_map(|value| value.split(',').map(str::trim))
}

/// Removes the hop-by-hop headers, including those that `Connection` names (RFC 9110, section
/// 7.6.1).
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let mut named_headers = Vec::new();
    for option in connection_options(headers) {
        if let Ok(name) = HeaderName::from_bytes(option.as_bytes()) {
            named_headers.push(name);
        }
    }
    for name in named_headers {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
