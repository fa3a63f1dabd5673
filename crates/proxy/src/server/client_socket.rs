//! A client's socket that detects a disconnect even if unread bytes precede it.
//!
//! hyper checks for the end of a connection only while its read buffer is empty. If a client sent
//! more than one request and then disconnected, hyper alone would not notice the disconnect and the
//! proxy would go on processing the first request.

use crate::buffer_growth::BufferGrowth;
use crate::memory_budget::{MemoryBudget, Reservation, Share};
use bytes::BytesMut;
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The maximum number of bytes that are read ahead while a request is being served. A client that
/// sends more does not wait for its responses. The excess is discarded, and the connection is
/// closed after the response to the current request.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// The number of bytes that may be read ahead without reserving memory for them.
const SMALL_READ_AHEAD_BYTES: usize = 1 << 10;
/// The size of the buffer for a single read while checking for a disconnect. The buffer is on the
/// stack.
const READ_CHUNK_BYTES: usize = 4 << 10;
/// The maximum number of reads in a row while checking for a disconnect. A client that sends as fast
/// as it is read must not hold the thread.
const MAX_READS_PER_TURN: usize = 16;

/// The state that a [`ClientSocket`] and its [`DisconnectDetector`] share.
struct SharedSocket {
    stream: TcpStream,
    /// Bytes that were read while checking for a disconnect. The next reads return them first.
    read_ahead: BytesMut,
    /// The memory for more than [`SMALL_READ_AHEAD_BYTES`] of them.
    read_ahead_memory: Option<Reservation>,
    memory: Rc<MemoryBudget>,
    growth: BufferGrowth,
    /// The number of bytes of the current head that hyper has read, or `None` while it reads a
    /// body.
    head_bytes: Option<usize>,
    /// Whether bytes were discarded. Later bytes can then no longer be parsed as requests.
    has_discarded_bytes: bool,
    /// Whether the client has closed the connection or reset it.
    is_disconnected: bool,
    /// The number of bytes that hyper has read.
    bytes_read: u64,
}

impl SharedSocket {
    /// Stores the bytes of a read for later, up to [`MAX_READ_AHEAD_BYTES`] and as far as memory
    /// can be reserved for them. An empty or failed read means that the client has disconnected.
    fn store_read_ahead(&mut self, read: io::Result<&[u8]>) {
        let chunk = read.unwrap_or_default();
        self.is_disconnected |= chunk.is_empty();
        let stored_length = if self.has_discarded_bytes {
            0
        } else {
            let max_bytes = self.max_read_ahead_bytes(chunk.len());
            chunk.len().min(max_bytes - self.read_ahead.len())
        };
        self.has_discarded_bytes |= stored_length < chunk.len();
        self.read_ahead.extend_from_slice(&chunk[..stored_length]);
    }

    /// The number of bytes that may be stored, if `additional` bytes are to be added.
    fn max_read_ahead_bytes(&mut self, additional: usize) -> usize {
        let is_small = self.read_ahead.len() + additional <= SMALL_READ_AHEAD_BYTES;
        if !is_small && self.read_ahead_memory.is_none() {
            self.read_ahead_memory = self
                .memory
                .try_reserve(Share::Requests, MAX_READ_AHEAD_BYTES);
        }
        if self.read_ahead_memory.is_some() {
            MAX_READ_AHEAD_BYTES
        } else {
            SMALL_READ_AHEAD_BYTES
        }
    }

    /// Takes bytes that were read ahead.
    fn take_read_ahead(&mut self, max_bytes: usize) -> BytesMut {
        let length = self.read_ahead.len().min(max_bytes);
        let taken = self.read_ahead.split_to(length);
        if self.read_ahead.is_empty() {
            self.read_ahead = BytesMut::new();
            self.read_ahead_memory = None;
        }
        taken
    }

    fn record_read(&mut self, bytes: usize) {
        self.bytes_read += bytes as u64;
        if let Some(head_bytes) = &mut self.head_bytes {
            *head_bytes += bytes;
        }
    }
}

/// The socket of a client. Clones are handles to the same socket: one reads and writes, another
/// checks for a disconnect. All of them are used by the task of the connection.
#[derive(Clone)]
pub struct ClientSocket(Rc<RefCell<SharedSocket>>);

impl ClientSocket {
    /// Wraps an accepted connection, on which a head is awaited. It takes from `memory` what goes
    /// beyond the memory of a connection.
    pub fn new(stream: TcpStream, memory: Rc<MemoryBudget>) -> ClientSocket {
        let shared = SharedSocket {
            stream,
            read_ahead: BytesMut::new(),
            read_ahead_memory: None,
            growth: BufferGrowth::new(memory.clone(), Share::Requests),
            memory,
            head_bytes: Some(0),
            has_discarded_bytes: false,
            is_disconnected: false,
            bytes_read: 0,
        };
        ClientSocket(Rc::new(RefCell::new(shared)))
    }

    /// Becomes ready when the client has closed or reset the connection, even if unread bytes
    /// precede the disconnect. While bytes keep coming, other tasks run in between.
    pub fn poll_disconnected(&self, cx: &mut Context) -> Poll<()> {
        let shared = &mut *self.0.borrow_mut();
        let mut chunk = [0; READ_CHUNK_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            if shared.is_disconnected {
                return Poll::Ready(());
            }
            let mut buffer = ReadBuf::new(&mut chunk);
            let read = ready!(Pin::new(&mut shared.stream).poll_read(cx, &mut buffer));
            shared.store_read_ahead(read.map(|()| buffer.filled()));
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Returns a handle for checking whether the client has disconnected.
    pub fn disconnect_detector(&self) -> DisconnectDetector {
        DisconnectDetector(Rc::downgrade(&self.0))
    }

    /// Records that the next bytes are discarded, so that no memory is needed for them.
    pub fn discard_rest(&self) {
        self.0.borrow_mut().head_bytes = None;
    }

    /// Whether bytes from the client were discarded.
    pub fn has_discarded_bytes(&self) -> bool {
        self.0.borrow().has_discarded_bytes
    }

    /// The number of bytes that hyper has read from the client.
    pub fn bytes_read(&self) -> u64 {
        self.0.borrow().bytes_read
    }

    /// Whether bytes from the client can be read, including bytes in the kernel's buffer that the
    /// runtime has not been notified of yet.
    pub fn has_unread_bytes(&self) -> bool {
        let shared = self.0.borrow();
        let peeked = SockRef::from(&shared.stream).peek(&mut [MaybeUninit::uninit()]);
        !shared.read_ahead.is_empty() || peeked.is_ok_and(|length| length > 0)
    }
}

/// A weak handle for checking whether a client is still connected. It does not keep the connection
/// open.
#[derive(Clone)]
pub struct DisconnectDetector(Weak<RefCell<SharedSocket>>);

impl DisconnectDetector {
    /// The number of bytes that hyper has read from the client; 0 if the proxy has dropped the
    /// connection.
    pub fn bytes_read(&self) -> u64 {
        self.0
            .upgrade()
            .map_or(0, |shared| shared.borrow().bytes_read)
    }

    /// Records that the next bytes belong to the head of a request.
    pub fn begin_head(&self) {
        self.set_head_bytes(Some(0));
    }

    /// Records that a head is complete. Returns the number of bytes that were read for it; bytes
    /// behind it may be among them.
    pub fn end_head(&self) -> usize {
        self.set_head_bytes(None).unwrap_or(0)
    }

    fn set_head_bytes(&self, bytes: Option<usize>) -> Option<usize> {
        let shared = self.0.upgrade()?;
        let head_bytes = &mut shared.borrow_mut().head_bytes;
        std::mem::replace(head_bytes, bytes)
    }

    /// Whether the client has closed or reset the connection, or the proxy has dropped it. This
    /// reads directly from the socket: the runtime learns of a disconnect only when it next polls
    /// the operating system, and may handle other events that arrived at the same time before that.
    /// A disconnect behind more bytes than [`MAX_READS_PER_TURN`] reads return is found later, by
    /// [`ClientSocket::poll_disconnected`].
    pub fn has_disconnected(&self) -> bool {
        let Some(shared) = self.0.upgrade() else {
            return true;
        };
        let shared = &mut *shared.borrow_mut();
        let mut chunk = [0; READ_CHUNK_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            if shared.is_disconnected {
                return true;
            }
            let read = (&*SockRef::from(&shared.stream)).read(&mut chunk);
            match read {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => shared.store_read_ahead(read.map(|length| &chunk[..length])),
            }
        }
        shared.is_disconnected
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let shared = &mut *self.0.borrow_mut();
        if !shared.read_ahead.is_empty() {
            let max_bytes = ready!(shared.growth.poll_max_bytes(cx, shared.head_bytes))?;
            let taken = shared.take_read_ahead(buf.remaining().min(max_bytes));
            buf.put_slice(&taken);
            shared.record_read(taken.len());
            return Poll::Ready(Ok(()));
        }
        if shared.is_disconnected || shared.has_discarded_bytes {
            return Poll::Ready(Ok(()));
        }
        let filled_before = buf.filled().len();
        let (growth, stream) = (&mut shared.growth, &mut shared.stream);
        let result = growth.poll_read(cx, stream, buf, shared.head_bytes);
        shared.record_read(buf.filled().len() - filled_before);
        result
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
