//! The HTTP/1.1 protocol of one connection to a backend, up to its end.

use crate::tracked_stream::TrackedStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Connection, Parts};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

type Http1 = Connection<TokioIo<TrackedStream>, Full<Bytes>>;

/// What is left of a connection after its end.
pub struct EndedConnection {
    /// The bytes that were read and belong to no response.
    pub unparsed: Bytes,
    /// The stream, which may have unread bytes.
    pub stream: TrackedStream,
}

impl From<Parts<TokioIo<TrackedStream>>> for EndedConnection {
    fn from(parts: Parts<TokioIo<TrackedStream>>) -> EndedConnection {
        EndedConnection {
            unparsed: parts.read_buf,
            stream: parts.io.into_inner(),
        }
    }
}

/// A connection that reads and writes only while it is polled.
pub struct HttpConnection {
    /// `None` after the end: a completed future must not be polled again.
    http1: Option<Box<Http1>>,
    /// Set at the end, until it is taken.
    ended: Option<EndedConnection>,
}

impl HttpConnection {
    /// Wraps a connection that has not ended.
    pub fn new(http1: Http1) -> HttpConnection {
        HttpConnection {
            http1: Some(Box::new(http1)),
            ended: None,
        }
    }

    /// Whether the connection has ended.
    pub fn has_ended(&self) -> bool {
        self.http1.is_none()
    }

    /// Reads and writes; becomes ready when the connection has ended, for whatever reason.
    pub fn poll_ended(&mut self, cx: &mut Context) -> Poll<()> {
        if let Some(http1) = &mut self.http1 {
            // The progress of the stream and the unparsed bytes show why it has ended.
            let _ = ready!(Pin::new(http1).poll(cx));
            self.end();
        }
        Poll::Ready(())
    }

    /// Ends the connection without closing its stream.
    pub fn end(&mut self) {
        if let Some(http1) = self.http1.take() {
            self.ended = Some(http1.into_parts().into());
        }
    }

    /// Takes what the connection has left, once after its end.
    pub fn take_ended(&mut self) -> Option<EndedConnection> {
        self.ended.take()
    }
}
