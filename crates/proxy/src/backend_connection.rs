//! One HTTP/1.1 connection to a backend.

use crate::body_length;
use crate::clock::{duration, Clock};
use crate::connection_log::{CloseReason, ConnectionRecord};
use crate::connection_monitor::ConnectionMonitor;
use crate::count_guard::CountGuard;
use crate::forwarded_request::{connection_options, MAX_BODY_BYTES};
use crate::http_connection::HttpConnection;
use crate::memory_budget::{MemoryBudget, Reservation, BUFFER_BYTES, MAX_SMALL_FIELDS};
use crate::message_content::{self, BodyError};
use crate::tracked_stream::{StreamProgress, TrackedStream};
use crate::unframed_body;
use brookstack_balancer::{
    BehindResponse, ClassId, HoldEnd, LastResponse, Micros, ResponseArrival, SuccessfulResponse,
    Time,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;

/// The maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum size of a response in bytes, including its framing and the 1xx responses before it.
const MAX_RESPONSE_BYTES: usize = 2 * MAX_BODY_BYTES + MAX_HEAD_BYTES;

/// The length of the text of a head that fits into the buffers of a connection. The rest is for the
/// start line and the separators.
const MAX_SMALL_TEXT_BYTES: usize = BUFFER_BYTES * 3 / 4;

/// The error of setting up HTTP/1.1 on a connected socket.
#[derive(Debug, thiserror::Error)]
#[error("could not set up HTTP on the connection to the backend: {0}")]
pub struct HandshakeError(#[source] hyper::Error);

/// Why a request got no usable response. The [`StreamProgress`] of the connection records how much
/// of the request was sent.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The request was not sent, or no response head was received.
    #[error("no response from the backend: {0}")]
    NoResponse(#[source] hyper::Error),
    /// The response announces a body of this many bytes, which exceeds [`MAX_BODY_BYTES`].
    #[error("the backend announced a response body of {0} bytes; the limit is {MAX_BODY_BYTES}")]
    BodyTooLong(u64),
    /// The body was truncated, malformed or longer than [`MAX_BODY_BYTES`].
    #[error("could not read the backend's response body: {0}")]
    Body(#[source] BodyError),
}

/// The response before the current request.
#[derive(Clone, Copy)]
struct PreviousResponse {
    /// When it was read completely.
    at: Time,
    /// The response, if the backend served its request.
    success: Option<SuccessfulResponse>,
    /// How long the connection rested before the current request.
    rest: Micros,
}

/// A connection that is polled only by the attempt that uses it. Dropping it closes the socket
/// immediately.
pub struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    http: HttpConnection<TrackedStream, Full<Bytes>>,
    /// The stream after the end of HTTP on it. What arrives on it was asked for by no request.
    ended_stream: Option<TrackedStream>,
    /// The backend and the history of the connection.
    pub record: ConnectionRecord,
    /// How much of the current request was sent and of its response was read.
    pub progress: Rc<StreamProgress>,
    clock: Clock,
    monitor: Rc<ConnectionMonitor>,
    /// The last response before the current request, and the rest after it; `None` if the current
    /// request is the first one.
    previous: Option<PreviousResponse>,
    /// Why the connection is closed when it is dropped.
    close_reason: CloseReason,
    /// Whether a look behind the last response has found nothing, so that bytes that arrive now
    /// come late.
    is_end_checked: bool,
    memory: Rc<MemoryBudget>,
    /// Whether the buffers have grown for a large head.
    has_grown: bool,
    /// The memory of grown buffers.
    grown_buffers: Option<Reservation>,
    _resources: ConnectionResources,
}

/// What an open connection holds of the limits of the pool, until it is dropped.
pub struct ConnectionResources {
    _socket: CountGuard,
    _memory: Reservation,
}

impl ConnectionResources {
    /// Holds the count of an open socket and the memory of a connection.
    pub fn new(socket: CountGuard, memory: Reservation) -> ConnectionResources {
        ConnectionResources {
            _socket: socket,
            _memory: memory,
        }
    }
}

impl BackendConnection {
    /// Sets up HTTP/1.1 on a connected socket. `resources` are held until the connection is
    /// dropped, which is reported to `monitor`. The content of responses is reserved from `memory`.
    pub async fn handshake(
        stream: TcpStream,
        record: ConnectionRecord,
        clock: Clock,
        monitor: Rc<ConnectionMonitor>,
        memory: Rc<MemoryBudget>,
        resources: ConnectionResources,
    ) -> Result<BackendConnection, HandshakeError> {
        let stream = TrackedStream::new(stream, MAX_RESPONSE_BYTES, memory.clone());
        let progress = stream.progress.clone();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(HandshakeError)?;
        Ok(BackendConnection {
            sender,
            http: HttpConnection::new(connection),
            ended_stream: None,
            record,
            progress,
            clock,
            monitor,
            previous: None,
            close_reason: CloseReason::AttemptAborted,
            is_end_checked: false,
            memory,
            has_grown: false,
            grown_buffers: None,
            _resources: resources,
        })
    }

    /// Sends a request of the given class and reads the complete response.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        class: ClassId,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.progress.begin_exchange();
        self.has_grown |= has_large_head(request.headers());
        self.record.requests += 1;
        let now = self.clock.now();
        self.previous = self.record.last_response.map(|last| PreviousResponse {
            at: last.at,
            success: last.success,
            rest: now - last.at,
        });
        let exchange = send_and_receive(&mut self.sender, request, &self.progress, &self.memory);
        let result = self.http.run(exchange).await;
        if let Ok(response) = &result {
            self.progress.end_exchange();
            self.has_grown |= has_large_head(response.headers());
            self.record_response(response.status(), class);
        }
        result
    }

    fn record_response(&mut self, status: StatusCode, class: ClassId) {
        self.is_end_checked = false;
        let now = self.clock.now();
        self.record.first_response_at.get_or_insert(now);
        self.record.last_response = Some(LastResponse {
            at: now,
            success: (status == StatusCode::OK).then(|| SuccessfulResponse {
                class,
                fingerprint: self.progress.response_fingerprint(),
            }),
        });
    }

    /// Whether the connection can be used for another request: the backend has not closed it, and
    /// the last response is complete. The connection is polled once without waiting, because
    /// waiting would delay a good response until the deadline.
    pub async fn is_reusable(&mut self) -> bool {
        let ended = poll_fn(|cx| Poll::Ready(self.poll_ended(cx).is_ready())).await;
        let is_reusable = !ended && self.sender.is_ready();
        if !is_reusable {
            self.record_remaining_input();
        }
        self.is_end_checked |= !self.progress.has_unsolicited();
        is_reusable
    }

    /// Looks once, without waiting, whether bytes have followed the last response, or the backend
    /// has closed the connection.
    pub async fn look_behind_response(&mut self) {
        self.is_reusable().await;
    }

    /// Whether the backend has closed the connection, or has sent bytes that no request asked for.
    pub fn is_closed(&self) -> bool {
        self.progress.has_unsolicited() || self.progress.connection_lost.get()
    }

    /// Waits until bytes follow the last response or the connection ends, for this time at most.
    pub async fn wait_behind_response(&mut self, wait: Micros) -> HoldEnd {
        let started_at = self.clock.now();
        let following = poll_fn(|cx| self.poll_following(cx));
        if tokio::time::timeout(duration(wait), following)
            .await
            .is_err()
        {
            return HoldEnd::NothingFollowed(self.clock.now() - started_at);
        }
        match self.behind_response() {
            BehindResponse::Bytes => HoldEnd::BytesFollowed,
            BehindResponse::EndOfConnection => HoldEnd::ConnectionClosed,
            BehindResponse::Nothing => HoldEnd::ConnectionBroken,
        }
    }

    /// Whether the connection carries no more requests, though the backend has not closed it: it
    /// has announced that it will, or speaks HTTP/1.0.
    pub fn is_spent(&self) -> bool {
        self.ended_stream.is_some()
    }

    /// Becomes ready when bytes have followed the last response or the backend has closed the
    /// connection.
    pub fn poll_following(&mut self, cx: &mut Context) -> Poll<()> {
        if self.ended_stream.is_none() {
            ready!(self.poll_ended(cx));
        }
        if self.is_closed() {
            return Poll::Ready(());
        }
        match &mut self.ended_stream {
            Some(stream) => stream.poll_unread_input(cx),
            None => Poll::Ready(()),
        }
    }

    /// Whether the connection may be kept for another request as far as its memory is concerned:
    /// its buffers have not grown, or memory is reserved for them.
    pub fn may_keep_buffers(&mut self) -> bool {
        if self.has_grown && self.grown_buffers.is_none() {
            self.grown_buffers = self.memory.try_reserve_grown_buffers();
        }
        !self.has_grown || self.grown_buffers.is_some()
    }

    /// Becomes ready when no more requests can be sent on the connection.
    fn poll_ended(&mut self, cx: &mut Context) -> Poll<()> {
        ready!(self.http.poll_ended(cx));
        self.record_remaining_input();
        Poll::Ready(())
    }

    /// Ends the connection and records the bytes that it has left behind its last response.
    fn record_remaining_input(&mut self) {
        let Some(ended) = self.http.take_ended() else {
            return;
        };
        if !self.progress.has_unsolicited() {
            if ended.unparsed.is_empty() {
                ended.stream.look_for_unread_input();
            } else {
                self.progress.record_bytes_behind_response(&ended.unparsed);
            }
        }
        self.ended_stream = Some(ended.stream);
    }

    /// How the response to the last request arrived.
    pub fn response_arrival(&self, response: &Response<Bytes>) -> ResponseArrival {
        let since_previous = self.previous.map(|previous| self.clock.now() - previous.at);
        ResponseArrival {
            process: self.record.process,
            body_bytes: response.body().len(),
            rest: self.previous.map(|previous| previous.rest),
            preceded_request: self.progress.response_preceded_request.get(),
            behind: self.behind_response(),
            announces_close: announces_close(response),
            is_as_announced: body_length::is_as_announced(
                response.headers(),
                response.body().len(),
            ),
            success: self.record.last_response.and_then(|last| last.success),
            previous_success: self.previous.and_then(|previous| previous.success),
            since_previous: since_previous.unwrap_or_default(),
        }
    }

    fn behind_response(&self) -> BehindResponse {
        if self.progress.has_unsolicited() {
            BehindResponse::Bytes
        } else if self.progress.is_closed_in_order() {
            BehindResponse::EndOfConnection
        } else {
            BehindResponse::Nothing
        }
    }

    /// Closes the connection, which carries no request.
    pub fn close(mut self, reason: CloseReason) {
        self.close_reason = reason;
    }

    /// Closes a connection that cannot carry another request.
    pub fn close_unusable(self) {
        let reason = if self.progress.has_unsolicited() {
            CloseReason::UnsolicitedBytes
        } else {
            CloseReason::ClosedByBackend
        };
        self.close(reason);
    }
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        if let Some(unsolicited) = self.progress.unsolicited.get() {
            let came_late = self.is_end_checked;
            self.monitor
                .report_unsolicited(&self.record, unsolicited, came_late);
        }
        self.monitor.report_close(&self.record, self.close_reason);
    }
}

/// Whether a response announces that its connection ends behind it (RFC 9112, section 9.3).
fn announces_close(response: &Response<Bytes>) -> bool {
    let headers = response.headers();
    let has_option =
        |expected| connection_options(headers).any(|option| option.eq_ignore_ascii_case(expected));
    let closes_by_default = response.version() < Version::HTTP_11 && !has_option("keep-alive");
    closes_by_default || has_option("close") || unframed_body::is_unframed(headers)
}

/// Whether a head makes the buffers of a connection grow.
fn has_large_head(headers: &HeaderMap) -> bool {
    headers.len() > MAX_SMALL_FIELDS || message_content::text_bytes(headers) > MAX_SMALL_TEXT_BYTES
}

async fn send_and_receive(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    progress: &StreamProgress,
    memory: &MemoryBudget,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = sender
        .send_request(request)
        .await
        .map_err(ExchangeError::NoResponse)?;
    progress.end_response_head();
    let (mut head, body) = response.into_parts();
    message_content::detach_values(&mut head.headers);
    // A body whose announced length exceeds the limit is not read at all.
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > MAX_BODY_BYTES as u64 {
        return Err(ExchangeError::BodyTooLong(announced_bytes));
    }
    // The complete body is read before any byte of it is forwarded, so that the client does not
    // take a truncated response for a complete one.
    let fields_bytes = message_content::fields_bytes(&head.headers);
    let body = message_content::read_response_body(body, fields_bytes, MAX_BODY_BYTES, memory)
        .await
        .map_err(ExchangeError::Body)?;
    Ok(Response::from_parts(head, body))
}
