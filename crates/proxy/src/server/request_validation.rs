//! Validates the head of a request and extracts the metadata that the balancer and the server need.

use crate::clock::MICROS_PER_MILLISECOND;
use crate::forwarded_request::{MAX_BODY_BYTES, TIME_LEFT_HEADER};
use brookstack_balancer::settings::Names;
use brookstack_balancer::{Class, ClassId, Idempotency, Micros, TenantId};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use thiserror::Error;

/// The traffic class of the request.
const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
/// The tenant that sends the request.
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
/// `1` if the request is the client's own retry of an earlier request.
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
/// The work that the client expects of the request, in microseconds of processor time on a standard
/// core.
const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// The client's own identifier of the request.
const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// The key by which a backend recognizes a repeated request.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The maximum length of a correlation identifier, in bytes. It is limited because each identifier
/// is kept in memory while its request is open.
const MAX_CORRELATION_ID_BYTES: usize = 128;

/// Why a request is rejected before it reaches the balancer. The display text is the body of the
/// response. The connection is closed after the response, because the bytes that follow a malformed
/// request cannot be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The body is not framed by a length.
    #[error("expected Content-Length, not Transfer-Encoding")]
    TransferEncoding,
    /// The announced length of the body exceeds [`MAX_BODY_BYTES`] or is unknown.
    #[error("the body is over {} KiB", MAX_BODY_BYTES >> 10)]
    BodyTooLarge,
    /// The memory for the content of open requests leaves no room for this one.
    #[error("too many large requests at once")]
    MemoryExhausted,
    /// The body ended early or could not be parsed.
    #[error("the body is broken")]
    BrokenBody,
    /// The body was not complete at its deadline.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// A required header is missing.
    #[error("expected {0}")]
    MissingHeader(&'static str),
    /// A header that must occur at most once occurs several times.
    #[error("a header that must stand once stands twice")]
    RepeatedHeader,
    /// A header contains bytes other than visible ASCII characters, spaces and tabs.
    #[error("a header that can't be read")]
    UnreadableHeader,
    /// A numeric header does not hold a whole number.
    #[error("expected a whole number in X-Time-Left-Ms and X-Weight-Hint")]
    InvalidNumber,
    /// The class is not in the configuration.
    #[error("X-Service-Class: unknown class")]
    UnknownClass,
    /// The first segment of the path is not the class.
    #[error("expected the class as the first part of the path")]
    ClassNotInPath,
    /// The method, the body or the idempotency key does not match the idempotency of the class.
    #[error("the method, the body or Idempotency-Key does not fit the class")]
    ClassMismatch,
    /// The tenant is not in the configuration.
    #[error("X-Account: unknown tenant")]
    UnknownTenant,
    /// The correlation identifier is empty, too long, or contains characters other than visible
    /// ASCII.
    #[error(
        "X-Correlation-Id: expected up to {} visible characters",
        MAX_CORRELATION_ID_BYTES
    )]
    InvalidCorrelationId,
    /// The correlation identifier cannot be converted to a header value.
    #[error("X-Correlation-Id: not readable")]
    UnreadableCorrelationId,
    /// Backends may still work on too many requests that have ended for the proxy.
    #[error("too many requests whose end is not known")]
    TooManyOpenIds,
    /// Another request with the same correlation identifier is open.
    #[error("X-Correlation-Id: that of a request that is open")]
    DuplicateCorrelationId,
}

impl RequestError {
    /// The status code of the response to the rejected request.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::TransferEncoding => StatusCode::LENGTH_REQUIRED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::MemoryExhausted | RequestError::TooManyOpenIds => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::DuplicateCorrelationId => StatusCode::CONFLICT,
            RequestError::BrokenBody
            | RequestError::MissingHeader(_)
            | RequestError::RepeatedHeader
            | RequestError::UnreadableHeader
            | RequestError::InvalidNumber
            | RequestError::UnknownClass
            | RequestError::ClassNotInPath
            | RequestError::ClassMismatch
            | RequestError::UnknownTenant
            | RequestError::InvalidCorrelationId
            | RequestError::UnreadableCorrelationId => StatusCode::BAD_REQUEST,
        }
    }
}

/// The metadata of a valid request that the balancer and the server need.
#[derive(Debug)]
pub struct RequestMetadata {
    /// The identifier that the client chose for the request.
    pub correlation_id: HeaderValue,
    /// The traffic class.
    pub class: ClassId,
    /// The tenant, or `None` if no tenants are configured.
    pub tenant: Option<TenantId>,
    /// How long the client still waits for the response, limited to `RequestRules::max_time_left`.
    pub time_left: Micros,
    /// The work that the client expects of the request, as processor time on a standard core.
    pub work_hint: Option<Micros>,
    /// Whether the request is the client's own retry of an earlier request.
    pub is_retry: bool,
}

/// The configuration against which requests are validated.
pub struct RequestRules {
    /// Maps the configured names of classes and tenants to their identifiers.
    pub names: Names,
    /// The classes, indexed by [`ClassId`].
    pub classes: Vec<Class>,
    /// The longest time that a client may wait for a response. A longer `X-Time-Left-Ms` is reduced
    /// to it.
    pub max_time_left: Micros,
}

/// Rejects a request whose body has no announced length or is too large. hyper removes
/// `Content-Length` if `Transfer-Encoding` is present too, so a request with both headers cannot be
/// distinguished from one with `Transfer-Encoding` alone.
pub fn check_framing(head: &Parts, body_length: Option<u64>) -> Result<(), RequestError> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::TransferEncoding);
    }
    if body_length.is_none_or(|length| length > MAX_BODY_BYTES as u64) {
        return Err(RequestError::BodyTooLarge);
    }
    Ok(())
}

impl RequestRules {
    /// Validates the head of a request and extracts its metadata.
    pub fn parse(
        &self,
        head: &Parts,
        body_length: Option<u64>,
    ) -> Result<RequestMetadata, RequestError> {
        let headers = &head.headers;
        required_text(headers, &HOST, "Host")?;
        let class = self.parse_class(head)?;
        self.check_idempotency(head, class, body_length)?;
        let correlation_id = parse_correlation_id(headers)?;
        let tenant = self.parse_tenant(headers)?;
        let time_left_ms = optional_number(headers, &TIME_LEFT_HEADER)?
            .ok_or(RequestError::MissingHeader("X-Time-Left-Ms"))?;
        let time_left = Micros(time_left_ms.saturating_mul(MICROS_PER_MILLISECOND));
        Ok(RequestMetadata {
            correlation_id: HeaderValue::from_str(correlation_id)
                .map_err(|_| RequestError::UnreadableCorrelationId)?,
            class,
            tenant,
            time_left: time_left.min(self.max_time_left),
            work_hint: optional_number(headers, &WEIGHT_HINT)?.map(Micros),
            is_retry: optional_text(headers, &REPEAT)? == Some("1"),
        })
    }

    /// Returns the class that the header names. The first segment of the path must be that name.
    fn parse_class(&self, head: &Parts) -> Result<ClassId, RequestError> {
        let name = required_text(&head.headers, &SERVICE_CLASS, "X-Service-Class")?;
        let class = self.names.class(name).ok_or(RequestError::UnknownClass)?;
        if head.uri.path().split('/').nth(1) != Some(name) {
            return Err(RequestError::ClassNotInPath);
        }
        Ok(class)
    }

    /// Checks that the method, the body and the idempotency key match the idempotency of the class.
    fn check_idempotency(
        &self,
        head: &Parts,
        class: ClassId,
        body_length: Option<u64>,
    ) -> Result<(), RequestError> {
        let key = optional_text(&head.headers, &IDEMPOTENCY_KEY)?;
        let matches_class = match self.classes[class.0].idempotency {
            Idempotency::Idempotent => head.method == Method::GET && body_length == Some(0),
            Idempotency::IdempotencyKey { .. } => {
                head.method == Method::POST && key.is_some_and(|key| !key.is_empty())
            }
            Idempotency::NonIdempotent => head.method == Method::POST && key.is_none(),
        };
        if matches_class {
            Ok(())
        } else {
            Err(RequestError::ClassMismatch)
        }
    }

    /// Returns the tenant that the header names, or `None` if no tenants are configured.
    fn parse_tenant(&self, headers: &HeaderMap) -> Result<Option<TenantId>, RequestError> {
        let name = optional_text(headers, &ACCOUNT)?;
        if !self.names.has_tenants() {
            return Ok(None);
        }
        let name = name.ok_or(RequestError::MissingHeader("X-Account"))?;
        let tenant = self.names.tenant(name).ok_or(RequestError::UnknownTenant)?;
        Ok(Some(tenant))
    }
}

fn parse_correlation_id(headers: &HeaderMap) -> Result<&str, RequestError> {
    let id = required_text(headers, &CORRELATION_ID, "X-Correlation-Id")?;
    let is_valid = !id.is_empty()
        && id.len() <= MAX_CORRELATION_ID_BYTES
        && id.bytes().all(|byte| byte.is_ascii_graphic());
    if is_valid {
        Ok(id)
    } else {
        Err(RequestError::InvalidCorrelationId)
    }
}

/// Returns the text of a header that must be present. `display_name` is the name of the header in
/// the error response if it is missing.
fn required_text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    display_name: &'static str,
) -> Result<&'a str, RequestError> {
    optional_text(headers, name)?.ok_or(RequestError::MissingHeader(display_name))
}

/// Returns the text of a header, if it is present. A header that occurs twice is rejected, because
/// the proxy could act on the first value and a backend on the second.
fn optional_text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(RequestError::RepeatedHeader);
    }
    let text = value.to_str();
    let text = text.map_err(|_| RequestError::UnreadableHeader)?;
    Ok(Some(text))
}

/// Returns the number in a header, if the header is present. Only decimal digits are accepted.
fn optional_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, RequestError> {
    let Some(text) = optional_text(headers, name)? else {
        return Ok(None);
    };
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(RequestError::InvalidNumber);
    }
    let number = text.parse();
    let number = number.map_err(|_| RequestError::InvalidNumber)?;
    Ok(Some(number))
}

#[cfg(test)]
mod tests;
