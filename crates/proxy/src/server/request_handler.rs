//! Handles a request from its head to its final response.

use super::client_connection::ClientConnection;
use super::request_memory;
use super::request_validation::{check_framing, RequestError, RequestMetadata};
use super::Server;
use crate::forwarded_request::{remove_hop_by_hop_headers, ForwardedRequest};
use crate::log_target;
use crate::memory_budget::{Reservation, BUFFER_BYTES, MAX_SMALL_FIELDS};
use crate::message::{DriverEvent, FinalResponse, IncomingRequest};
use crate::message_content::{self, BodyError};
use crate::open_ids::{OpenId, OpenIdError};
use brookstack_balancer::{Idempotency, Micros, RequestId, Time};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The path of the readiness probe.
const READINESS_PATH: &str = "/-/ready";
/// The number of balancer ticks between the deadline of a request and the time at which its client
/// gives up. The margin covers the time that the request and the response spend on the network.
const RESPONSE_MARGIN_TICKS: u64 = 2;
/// The `Retry-After`, in seconds, of the response to a request that is rejected because there is no
/// memory for it or its identifier.
const MEMORY_RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A response as it is sent to a client.
type ClientResponse = Response<Full<Bytes>>;

/// A valid request that was received completely.
struct CompleteRequest {
    /// When the head arrived.
    arrived_at: Time,
    head: Parts,
    body: Bytes,
    metadata: RequestMetadata,
    /// The memory of the head, its copies and the body, unless they are small.
    memory: Option<Reservation>,
}

/// Keeps a request open. If the guard is dropped before the driver has responded, the client has
/// disconnected, and the guard reports that to the driver.
struct RequestGuard<'a> {
    id: RequestId,
    correlation_id: HeaderValue,
    open_id: Rc<OpenId>,
    server: &'a Server,
    is_answered: bool,
}

impl<'a> RequestGuard<'a> {
    /// Opens a request. Fails if another open request has the same correlation identifier.
    fn open(
        server: &'a Server,
        metadata: &RequestMetadata,
        connection: &ClientConnection,
    ) -> Result<RequestGuard<'a>, RequestError> {
        let correlation_id = metadata.correlation_id.clone();
        let idempotency = server.rules.classes[metadata.class.0].idempotency;
        let may_be_repeated = matches!(idempotency, Idempotency::Idempotent);
        let open_id = server
            .open_ids
            .open(&correlation_id, may_be_repeated, server.clock.now())
            .map_err(|error| match error {
                OpenIdError::AlreadyOpen => RequestError::DuplicateCorrelationId,
                OpenIdError::TooMany => RequestError::TooManyOpenIds,
            })?;
        let id = RequestId(server.next_id());
        tracing::trace!(
            target: log_target::REQUEST,
            request = id.0,
            connection = connection.id(),
            ?correlation_id,
            "complete request received"
        );
        Ok(RequestGuard {
            id,
            correlation_id,
            open_id,
            server,
            is_answered: false,
        })
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            tracing::trace!(
                target: log_target::REQUEST,
                request = self.id.0,
                correlation_id = ?self.correlation_id,
                "request closed: the client has disconnected"
            );
            let disconnected = DriverEvent::ClientDisconnected(self.id);
            let _ = self.server.driver_events.send(disconnected);
        }
    }
}

impl Server {
    /// Handles one request. hyper calls this for each request of a connection.
    pub(super) async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<ClientResponse, Infallible> {
        let head_bytes = connection.start_reading_body();
        let has_large_head =
            head_bytes >= BUFFER_BYTES || request.headers().len() > MAX_SMALL_FIELDS;
        let result = self.respond(request, connection).await;
        let is_rejected = result.is_err();
        connection.finish_request(self.clock.now(), is_rejected);
        if let Err(error) = &result {
            tracing::trace!(
                target: log_target::REQUEST,
                connection = connection.id(),
                status = error.status().as_u16(),
                %error,
                "request rejected before it was opened"
            );
        }
        let mut response = result.unwrap_or_else(error_response);
        let has_grown = has_large_head || response.headers().len() > MAX_SMALL_FIELDS;
        let must_close = is_rejected || self.shutdown.get().is_some();
        if must_close || has_grown && !connection.keep_grown_buffers(&self.memory) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response)
    }

    /// Validates and reads a request and obtains its response. Returns an error if the server
    /// rejects the request before it reaches the driver.
    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<ClientResponse, RequestError> {
        let arrived_at = self.clock.now();
        let (mut head, body) = request.into_parts();
        let body_length = body.size_hint().exact();
        check_framing(&head, body_length)?;
        if head.uri.path() == READINESS_PATH && body_length == Some(0) {
            return Ok(self.readiness_response());
        }
        let metadata = self.rules.parse(&head, body_length)?;
        let body_bytes = body_length.unwrap_or(0) as usize;
        let head_bytes = request_memory::head_bytes(&head);
        let memory = self
            .reserve_request(head_bytes, body_bytes, connection)
            .await?;
        request_memory::detach_head(&mut head);
        let body_deadline = self.clock.instant(connection.body_deadline(arrived_at));
        let body = tokio::select! {
            body = read_body(body, body_bytes, body_deadline) => body?,
            () = connection.body_cancelled() => return Err(RequestError::MemoryExhausted),
        };
        let guard = RequestGuard::open(self, &metadata, connection)?;
        connection.start_awaiting_response();
        let request = CompleteRequest {
            arrived_at,
            head,
            body,
            metadata,
            memory,
        };
        let response = self.send_to_driver(guard, request, connection).await;
        Ok(client_response(response))
    }

    /// The response to the readiness probe: whether the proxy can serve requests.
    fn readiness_response(&self) -> ClientResponse {
        let is_ready = self.status.serving.get() && self.shutdown.get().is_none();
        if is_ready {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    /// Sends a request to the driver and waits for the final response.
    async fn send_to_driver(
        &self,
        mut guard: RequestGuard<'_>,
        request: CompleteRequest,
        connection: &ClientConnection,
    ) -> FinalResponse {
        let deadline = self.deadline(request.arrived_at, request.metadata.time_left);
        let disconnect_detector = connection.disconnect_detector();
        let (reply, response) = oneshot::channel();
        let incoming = IncomingRequest {
            id: guard.id,
            class: request.metadata.class,
            tenant: request.metadata.tenant,
            deadline,
            work_hint: request.metadata.work_hint,
            is_retry: request.metadata.is_retry,
            forwarded: Rc::new(ForwardedRequest {
                head: forwarded_head(request.head),
                class: request.metadata.class,
                body: request.body,
                memory: request.memory,
                client_disconnected: Box::new(move || disconnect_detector.has_disconnected()),
            }),
            open_id: guard.open_id.clone(),
            reply,
        };
        let _ = self
            .driver_events
            .send(DriverEvent::RequestArrived(incoming));
        let response = response.await;
        guard.is_answered = true;
        let response = response.unwrap_or(FinalResponse::Failed);
        tracing::trace!(
            target: log_target::REQUEST,
            request = guard.id.0,
            correlation_id = ?guard.correlation_id,
            response = response_name(&response),
            "request answered"
        );
        response
    }

    /// The time by which a request must be answered. During a shutdown it lies early enough for the
    /// response to be sent before the process may be killed.
    fn deadline(&self, arrived_at: Time, time_left: Micros) -> Time {
        let margin = RESPONSE_MARGIN_TICKS * self.tick.0;
        let deadline = arrived_at + Micros(time_left.0.saturating_sub(margin));
        match self.shutdown.get() {
            Some(shutdown) => deadline.min(shutdown.response_deadline),
            None => deadline,
        }
    }
}

/// Reads a body of the announced length. Fails if the body is not complete at the deadline.
async fn read_body(
    body: Incoming,
    length: usize,
    deadline: Instant,
) -> Result<Bytes, RequestError> {
    let body = message_content::read_announced_body(body, length);
    match tokio::time::timeout_at(deadline, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::Broken(_) | BodyError::TooLargeForMemory)) => {
            Err(RequestError::BrokenBody)
        }
        Err(_) => Err(RequestError::BodyTimeout),
    }
}

/// Builds the head that is forwarded to backends: method, path and end-to-end headers.
fn forwarded_head(mut head: Parts) -> Request<()> {
    remove_hop_by_hop_headers(&mut head.headers);
    let mut forwarded = Request::new(());
    *forwarded.method_mut() = head.method;
    *forwarded.uri_mut() = head
        .uri
        .path_and_query()
        .map(|path| path.clone().into())
        .unwrap_or_default();
    *forwarded.headers_mut() = head.headers;
    forwarded
}

/// The kind of a final response, for the log.
fn response_name(response: &FinalResponse) -> &'static str {
    match response {
        FinalResponse::Served(_) => "Served",
        FinalResponse::Rejected(_) => "Rejected",
        FinalResponse::Failed => "Failed",
    }
}

/// Converts the driver's response to the response that is sent to the client.
fn client_response(response: FinalResponse) -> ClientResponse {
    match response {
        FinalResponse::Served(response) => response.map(Full::new),
        FinalResponse::Rejected(retry_after) => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
            // The value is rounded up to whole seconds, because not every client accepts decimals.
            let seconds = HeaderValue::from(retry_after.0.div_ceil(MICROS_PER_SECOND));
            response.headers_mut().insert(RETRY_AFTER, seconds);
            response
        }
        FinalResponse::Failed => text_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// The response to a request that is rejected before it reaches the driver.
fn error_response(error: RequestError) -> ClientResponse {
    let mut response = text_response(error.status(), error.to_string());
    if error.status() == StatusCode::SERVICE_UNAVAILABLE {
        let headers = response.headers_mut();
        headers.insert(RETRY_AFTER, MEMORY_RETRY_AFTER);
    }
    response
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> ClientResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
