//! The HTTP/1.1 protocol of one connection to a backend or to discovery, up to its end.

use bytes::Bytes;
use hyper::body::Body;
use hyper::client::conn::http1::Connection;
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite};

/// What is left of a connection after its end.
pub struct EndedConnection<S> {
    /// The bytes that were read and belong to no response.
    pub unparsed: Bytes,
    /// The stream, which may have unread bytes.
    pub stream: S,
}

/// A connection over the stream `S` that sends bodies `B`. It reads and writes only while it is
/// polled.
pub struct HttpConnection<S, B>
where
    S: AsyncRead + AsyncWrite + Unpin,
    B: Body + 'static,
{
    /// `None` after the end: a completed future must not be polled again.
    http1: Option<Box<Connection<TokioIo<S>, B>>>,
    /// Set at the end, until it is taken.
    ended: Option<EndedConnection<S>>,
}

impl<S, B> HttpConnection<S, B>
where
    S: AsyncRead + AsyncWrite + Unpin,
    B: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + Unpin + 'static,
{
    /// Wraps a connection that has not ended.
    pub fn new(http1: Connection<TokioIo<S>, B>) -> HttpConnection<S, B> {
        HttpConnection {
            http1: Some(Box::new(http1)),
            ended: None,
        }
    }

    /// Runs an exchange, and polls the connection while doing so. If the connection ends, the
    /// exchange completes too: with the response if that is complete, otherwise with an error. The
    /// exchange is polled before the connection, so that the first poll of the connection already
    /// has the request to write.
    pub async fn run<T>(&mut self, exchange: impl Future<Output = T>) -> T {
        let mut exchange = pin!(exchange);
        poll_fn(|cx| {
            let result = exchange.as_mut().poll(cx);
            if self.http1.is_none() || result.is_ready() {
                return result;
            }
            let _ = self.poll_ended(cx);
            exchange.as_mut().poll(cx)
        })
        .await
    }

    /// Reads and writes; becomes ready when the connection has ended, for whatever reason.
    pub fn poll_ended(&mut self, cx: &mut Context) -> Poll<()> {
        if let Some(http1) = &mut self.http1 {
            // The stream and the unparsed bytes show why it has ended.
            let _ = ready!(Pin::new(http1).poll(cx));
            self.end();
        }
        Poll::Ready(())
    }

    fn end(&mut self) {
        if let Some(http1) = self.http1.take() {
            let parts = http1.into_parts();
            self.ended = Some(EndedConnection {
                unparsed: parts.read_buf,
                stream: parts.io.into_inner(),
            });
        }
    }

    /// Ends the connection, if it has not ended, without closing its stream, and takes what it has
    /// left; `None` if that was taken before.
    pub fn take_ended(&mut self) -> Option<EndedConnection<S>> {
        self.end();
        self.ended.take()
    }
}
