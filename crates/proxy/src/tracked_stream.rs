//! A socket to a backend that records how much of the current request was sent and of its response
//! was read.

use crate::buffer_growth::BufferGrowth;
use crate::memory_budget::{MemoryBudget, Share};
use crate::waiting_input;
use brookstack_balancer::UnsolicitedKind;
use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The number of bytes at the beginning of a response that are kept, to recognize its repetition.
const MAX_PREFIX_BYTES: usize = 256;
/// The beginning of every response.
const STATUS_LINE_START: &[u8] = b"HTTP/";

/// The length of a response and its first bytes.
#[derive(Default, Hash)]
struct ResponseBeginning {
    /// The number of bytes that were read so far.
    length: usize,
    /// The first [`MAX_PREFIX_BYTES`] of them.
    prefix: Vec<u8>,
}

impl ResponseBeginning {
    fn append(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        let kept = bytes.len().min(MAX_PREFIX_BYTES - self.prefix.len());
        self.prefix.extend_from_slice(&bytes[..kept]);
    }

    /// Takes back the last `count` bytes, which belong to no response.
    fn remove_last(&mut self, count: usize) {
        self.length = self.length.saturating_sub(count);
        self.prefix.truncate(self.length);
    }

    fn is_beginning_of(&self, bytes: &[u8]) -> bool {
        !self.prefix.is_empty() && bytes.starts_with(&self.prefix)
    }
}

/// Whether a parser can take the bytes for the beginning of a response. It skips empty lines.
fn may_begin_response(bytes: &[u8]) -> bool {
    let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
    let start = bytes.iter().position(|byte| !is_line_end(byte));
    let line = start.map_or(&[][..], |start| &bytes[start..]);
    let compared = line.len().min(STATUS_LINE_START.len());
    line[..compared] == STATUS_LINE_START[..compared]
}

/// How much of the current request was sent and of its response was read, and whether the
/// connection was lost.
#[derive(Default)]
pub struct StreamProgress {
    /// Whether at least one byte of the request was written to the socket.
    pub write_started: Cell<bool>,
    /// Whether the last byte of the request was written to the socket. This is set when hyper
    /// flushes the socket, which it does only after its own buffer is empty.
    pub write_completed: Cell<bool>,
    /// Whether the backend has closed the connection, or the connection has failed.
    pub connection_lost: Cell<bool>,
    /// Whether the connection has failed. If it was lost without that, the backend has closed it in
    /// order, after all that it had to send.
    connection_failed: Cell<bool>,
    /// Whether a request is under way: from its start to the end of its response.
    exchange_open: Cell<bool>,
    /// Whether the head of the response has not been read completely.
    response_head_open: Cell<bool>,
    /// Whether response bytes arrived before the last byte of the request was written.
    pub response_preceded_request: Cell<bool>,
    /// The beginning of the last response.
    response: RefCell<ResponseBeginning>,
    /// The bytes that arrived although no request asked for them: while no request was under way,
    /// before the first byte of a request was written, or right after a response.
    pub unsolicited: Cell<Option<UnsolicitedKind>>,
}

impl StreamProgress {
    /// Resets the progress for the next request on the same connection, which is under way from now
    /// on. What describes the connection and not the request is kept.
    pub fn begin_exchange(&self) {
        self.write_started.set(false);
        self.write_completed.set(false);
        self.response_preceded_request.set(false);
        self.response.take();
        self.exchange_open.set(true);
        self.response_head_open.set(true);
    }

    /// Records that the head of the response was read completely. Returns the number of bytes that
    /// were read until then; bytes of the body may be among them.
    pub fn end_response_head(&self) -> usize {
        self.response_head_open.set(false);
        self.response.borrow().length
    }

    /// The number of bytes of the response's head that were read, or `None` if no head is read.
    fn response_head_bytes(&self) -> Option<usize> {
        let is_open = self.response_head_open.get();
        is_open.then(|| self.response.borrow().length)
    }

    /// Records that the response to the request was read completely.
    pub fn end_exchange(&self) {
        self.exchange_open.set(false);
    }

    /// Whether bytes arrived although no request asked for them.
    pub fn has_unsolicited(&self) -> bool {
        self.unsolicited.get().is_some()
    }

    /// Whether the backend has closed the connection in order, so that nothing can follow.
    pub fn is_closed_in_order(&self) -> bool {
        self.connection_lost.get() && !self.connection_failed.get()
    }

    fn record_failure(&self) {
        self.connection_lost.set(true);
        self.connection_failed.set(true);
    }

    /// Whether bytes that arrive now can belong to the response of the current request.
    fn awaits_response(&self) -> bool {
        self.exchange_open.get() && self.write_started.get()
    }

    fn record_response_bytes(&self, bytes: &[u8]) {
        self.response.borrow_mut().append(bytes);
        if !bytes.is_empty() && !self.write_completed.get() {
            self.response_preceded_request.set(true);
        }
    }

    /// A hash of the last response's length and first bytes.
    pub fn response_fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.response.borrow().hash(&mut hasher);
        hasher.finish()
    }

    /// Records bytes that were read as part of the last response and are behind its end.
    pub fn record_bytes_behind_response(&self, bytes: &[u8]) {
        self.response.borrow_mut().remove_last(bytes.len());
        self.record_unexpected_input(bytes);
    }

    /// Records the result of a look at the socket while no response is awaited.
    fn record_unexpected_input(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            self.connection_lost.set(true);
            return;
        }
        let kind = if self.response.borrow().is_beginning_of(bytes) {
            UnsolicitedKind::RepeatedResponse
        } else if may_begin_response(bytes) {
            UnsolicitedKind::OtherResponse
        } else {
            UnsolicitedKind::NoResponse
        };
        self.unsolicited.set(Some(kind));
    }
}

/// A TCP stream to a backend that updates a [`StreamProgress`]. A backend starts to execute a
/// request only when it gets the last byte, so a request that was not written completely was not
/// executed.
pub struct TrackedStream {
    stream: TcpStream,
    /// The progress of the current request, shared with its attempt.
    pub progress: Rc<StreamProgress>,
    /// The maximum size of a response in bytes, including its framing. Reading more fails.
    max_response_bytes: usize,
    growth: BufferGrowth,
}

impl TrackedStream {
    /// Wraps a stream on which no request has been sent yet. It takes from `memory` what goes
    /// beyond the memory of a connection.
    pub fn new(
        stream: TcpStream,
        max_response_bytes: usize,
        memory: Rc<MemoryBudget>,
    ) -> TrackedStream {
        TrackedStream {
            stream,
            progress: Rc::default(),
            max_response_bytes,
            growth: BufferGrowth::new(memory, Share::Responses),
        }
    }

    /// While no response is awaited, fails if the socket has unread input or the backend has closed
    /// the connection. Bytes that arrived before the request are not its response, and a response
    /// does not identify the request that it answers.
    fn ensure_no_unread_input(&self) -> io::Result<()> {
        if self.progress.awaits_response() {
            return Ok(());
        }
        let mut buffer = [0; MAX_PREFIX_BYTES];
        match waiting_input::read(&self.stream, &mut buffer) {
            Ok(None) => Ok(()),
            Ok(Some(length)) => {
                self.progress.record_unexpected_input(&buffer[..length]);
                Err(io::Error::new(
                    ErrorKind::ConnectionReset,
                    "the backend closed the connection or sent data after its last response",
                ))
            }
            Err(e) => {
                self.progress.record_failure();
                Err(e)
            }
        }
    }

    /// Records unread input, if no response is awaited.
    pub fn look_for_unread_input(&self) {
        // The progress has the result.
        let _ = self.ensure_no_unread_input();
    }

    /// Becomes ready when the socket has unread input or the connection has ended. Records which.
    pub fn poll_unread_input(&mut self, cx: &mut Context) -> Poll<()> {
        if self.ensure_no_unread_input().is_err() {
            return Poll::Ready(()); // the progress has the result
        }
        let mut buffer = [0; MAX_PREFIX_BYTES];
        let mut unread = ReadBuf::new(&mut buffer);
        match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut unread)) {
            Ok(()) => self.progress.record_unexpected_input(unread.filled()),
            Err(_) => self.progress.record_failure(),
        }
        Poll::Ready(())
    }

    /// Updates the progress with the result of a write.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(bytes)) if *bytes > 0 => self.progress.write_started.set(true),
            Poll::Ready(Err(_)) => self.progress.record_failure(),
            _ => {}
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.ensure_no_unread_input()?;
        let filled_before = buf.filled().len();
        let capacity = buf.remaining();
        let head_bytes = this.progress.response_head_bytes();
        let (growth, stream) = (&mut this.growth, &mut this.stream);
        let result = ready!(growth.poll_read(cx, stream, buf, head_bytes));
        let bytes_read = buf.filled().len() - filled_before;
        let end_of_stream = bytes_read == 0 && capacity > 0;
        this.progress.connection_lost.set(end_of_stream);
        if result.is_err() {
            this.progress.record_failure();
        }
        let bytes = &buf.filled()[filled_before..];
        if this.progress.awaits_response() {
            this.progress.record_response_bytes(bytes);
        } else {
            this.progress.record_unexpected_input(bytes);
        }
        if this.progress.response.borrow().length > this.max_response_bytes {
            return Poll::Ready(Err(io::Error::new(
                ErrorKind::InvalidData,
                "the response exceeds the size limit",
            )));
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.ensure_no_unread_input()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.ensure_no_unread_input()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let write_started = self.progress.write_started.get();
        self.progress.write_completed.set(write_started);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
