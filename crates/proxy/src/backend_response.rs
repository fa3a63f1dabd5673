//! The result of an attempt, and the classification of a backend's response.

use crate::forwarded_request::{connection_options, remove_hop_by_hop_headers};
use crate::unframed_body;
use brookstack_balancer::Outcome;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Response, StatusCode};

/// A backend sets this header to `1` on a 503 or 504 response if it did not start to process the
/// request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// How an attempt ended, with the response to forward if there is one.
pub struct AttemptResult {
    /// The outcome that is reported to the balancer.
    pub outcome: Outcome,
    /// The response to forward to the client.
    pub response: Option<Response<Bytes>>,
    /// Whether the backend rejected the new connection, not just the request.
    pub connection_rejected: bool,
    /// Whether the backend has answered with a whole response, so that it no longer works on the
    /// request.
    pub has_answered: bool,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            response: None,
            connection_rejected: false,
            has_answered: false,
        }
    }
}

impl AttemptResult {
    fn with_response(outcome: Outcome, response: Response<Bytes>) -> AttemptResult {
        AttemptResult {
            outcome,
            response: Some(forwardable(response)),
            connection_rejected: false,
            has_answered: true,
        }
    }

    fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            has_answered: true,
            ..AttemptResult::from(outcome)
        }
    }

    /// Whether the attempt ends as it does only because the response is believed: it is forwarded,
    /// or proves that the request was not executed.
    pub fn relies_on_response(&self) -> bool {
        self.response.is_some() || self.outcome.not_executed()
    }

    /// Classifies a complete response.
    pub fn from_response(response: Response<Bytes>) -> AttemptResult {
        match response.status() {
            StatusCode::OK if has_broken_body(&response) => Outcome::Reset.into(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
                if is_unprocessed(response.headers()) =>
            {
                AttemptResult {
                    connection_rejected: closes_connection(response.headers()),
                    ..AttemptResult::without_response(Outcome::Rejected)
                }
            }
            // Every backend would respond to this request with a client error, so the response is
            // forwarded. It does not count against the backend, unless it arrived after the latency
            // objective. Status 429 is not forwarded, because it would tell the client that the
            // request was not executed.
            status if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS => {
                AttemptResult::with_response(Outcome::Cancelled, response)
            }
            StatusCode::OK => AttemptResult::with_response(Outcome::Success, response),
            _ => AttemptResult::without_response(Outcome::Error),
        }
    }
}

fn forwardable(mut response: Response<Bytes>) -> Response<Bytes> {
    remove_hop_by_hop_headers(response.headers_mut());
    response
}

/// Whether the body ended with its connection and shows that it is not whole or more than one.
fn has_broken_body(response: &Response<Bytes>) -> bool {
    let headers = response.headers();
    unframed_body::is_unframed(headers) && unframed_body::is_broken(headers, response.body())
}

fn is_unprocessed(headers: &HeaderMap) -> bool {
    headers
        .get(&UNPROCESSED)
        .is_some_and(|value| value.as_bytes() == b"1")
}

/// Whether the backend announces that it will close the connection after this response.
fn closes_connection(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}
