//! One HTTP/1.1 connection to a backend.

use crate::count_guard::CountGuard;
use crate::forwarded_request::MAX_BODY_BYTES;
use crate::tracked_stream::{StreamProgress, TrackedStream};
use brookstack_balancer::Time;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::net::TcpStream;

/// The largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The largest response in bytes, including its framing and the 1xx responses before it.
const MAX_RESPONSE_BYTES: usize = 2 * MAX_BODY_BYTES + MAX_HEAD_BYTES;

/// Why a connection could not be set up on a connected socket.
#[derive(Debug, thiserror::Error)]
#[error("HTTP handshake with the backend: {0}")]
pub struct HandshakeError(#[source] hyper::Error);

/// Why a request got no usable response. The [`StreamProgress`] of the connection tells how much of
/// the request was sent.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The request was not sent, or no response head came.
    #[error("no response: {0}")]
    NoResponse(#[source] hyper::Error),
    /// The response announces a body that is too long.
    #[error("response body: expected at most {MAX_BODY_BYTES} bytes, got at least {0}")]
    BodyTooLong(u64),
    /// The body broke off, was malformed or turned out too long.
    #[error("response body: {0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
}

/// A connection that is polled only by the attempt that uses it. Dropping it closes the socket at
/// once.
pub struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Connection<TokioIo<TrackedStream>, Full<Bytes>>>>,
    /// When the connection was established.
    pub established_at: Time,
    /// How far the current request and its response have come.
    pub progress: Rc<StreamProgress>,
    /// The connection's future has completed; it must not be polled again.
    ended: bool,
    _socket: CountGuard,
}

impl BackendConnection {
    /// Sets up HTTP/1.1 on a socket that was connected at that time and that `socket` counts.
    pub async fn handshake(
        stream: TcpStream,
        established_at: Time,
        socket: CountGuard,
    ) -> Result<BackendConnection, HandshakeError> {
        let stream = TrackedStream::new(stream, MAX_RESPONSE_BYTES);
        let progress = stream.progress.clone();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(HandshakeError)?;
        Ok(BackendConnection {
            sender,
            connection: Box::pin(connection),
            established_at,
            progress,
            ended: false,
            _socket: socket,
        })
    }

    /// Sends the request and reads the complete response, polling the connection meanwhile. If the
    /// connection ends, the exchange ends too, with a result that shows it. The exchange is polled
    /// before the connection, so that the first poll of the connection already has the request to
    /// write.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let mut exchange = std::pin::pin!(send_and_receive(&mut self.sender, request));
        poll_fn(|cx| {
            let result = exchange.as_mut().poll(cx);
            if self.ended || result.is_ready() {
                return result;
            }
            self.ended = self.connection.as_mut().poll(cx).is_ready();
            exchange.as_mut().poll(cx)
        })
        .await
    }

    /// Whether the connection can take a request: the backend has not closed it, and the last
    /// response is complete. The connection is polled once without waiting, because a wait would
    /// hold back a good response until the deadline. A connection that has ended is not polled
    /// again.
    pub async fn is_reusable(&mut self) -> bool {
        if !self.ended {
            self.ended =
                poll_fn(|cx| Poll::Ready(self.connection.as_mut().poll(cx).is_ready())).await;
        }
        !self.ended && self.sender.is_ready()
    }
}

async fn send_and_receive(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = sender
        .send_request(request)
        .await
        .map_err(ExchangeError::NoResponse)?;
    let (head, body) = response.into_parts();
    // A body that is announced as too long need not be read.
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > MAX_BODY_BYTES as u64 {
        return Err(ExchangeError::BodyTooLong(announced_bytes));
    }
    // The body is complete before a byte of it is forwarded: a broken response must not reach the
    // client as a good one.
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(ExchangeError::Body)?;
    Ok(Response::from_parts(head, body.to_bytes()))
}
