//! A client's socket that notices a disconnect behind bytes that have not been read yet.
//!
//! hyper looks for the end of a connection only while it holds no unread bytes of it. A client that
//! sends more than one request and then disconnects would therefore seem to wait for its response.

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most bytes that are read ahead while a request is being served. A client that sends more
/// does not wait for its responses. The excess is discarded, and the connection ends with the
/// response to the current request.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// The most bytes that a single read takes from the socket while it looks for the disconnect. The
/// buffer is on the stack.
const READ_CHUNK_BYTES: usize = 4 << 10;

/// The state that a [`ClientSocket`] and its [`ClientPresence`] share.
struct SharedSocket {
    stream: TcpStream,
    /// Bytes that were read while looking for the disconnect, to be returned by the next reads.
    read_ahead: BytesMut,
    /// Whether bytes were discarded, so that what follows cannot be parsed as requests.
    has_discarded_bytes: bool,
    /// Whether the client has closed the connection or reset it.
    is_disconnected: bool,
}

impl SharedSocket {
    /// Stores the bytes of a read for later, up to the limit. An empty or a failed read is a
    /// disconnect.
    fn store_read_ahead(&mut self, read: io::Result<&[u8]>) {
        let chunk = read.unwrap_or_default();
        self.is_disconnected |= chunk.is_empty();
        let stored_length = if self.has_discarded_bytes {
            0
        } else {
            chunk
                .len()
                .min(MAX_READ_AHEAD_BYTES - self.read_ahead.len())
        };
        self.has_discarded_bytes |= stored_length < chunk.len();
        self.read_ahead.extend_from_slice(&chunk[..stored_length]);
    }
}

/// The socket of a client. Clones are handles to the same socket, one to read and write it and one
/// to watch it for the disconnect; all of them belong to one task.
#[derive(Clone)]
pub struct ClientSocket(Rc<RefCell<SharedSocket>>);

impl ClientSocket {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> ClientSocket {
        let shared = SharedSocket {
            stream,
            read_ahead: BytesMut::new(),
            has_discarded_bytes: false,
            is_disconnected: false,
        };
        ClientSocket(Rc::new(RefCell::new(shared)))
    }

    /// Ready once the client has closed the connection or reset it, even behind unread bytes.
    pub fn poll_disconnected(&self, cx: &mut Context) -> Poll<()> {
        let shared = &mut *self.0.borrow_mut();
        let mut chunk = [0; READ_CHUNK_BYTES];
        while !shared.is_disconnected {
            let mut buffer = ReadBuf::new(&mut chunk);
            let read = ready!(Pin::new(&mut shared.stream).poll_read(cx, &mut buffer));
            shared.store_read_ahead(read.map(|()| buffer.filled()));
        }
        Poll::Ready(())
    }

    /// A handle that tells later whether the client has disconnected.
    pub fn presence(&self) -> ClientPresence {
        ClientPresence(Rc::downgrade(&self.0))
    }

    /// Whether bytes of the client were discarded.
    pub fn has_discarded_bytes(&self) -> bool {
        self.0.borrow().has_discarded_bytes
    }

    /// Whether bytes of the client wait to be read, including those that the runtime has not seen
    /// yet.
    pub fn has_unread_bytes(&self) -> bool {
        let shared = self.0.borrow();
        let peeked = SockRef::from(&shared.stream).peek(&mut [MaybeUninit::uninit()]);
        !shared.read_ahead.is_empty() || peeked.is_ok_and(|length| length > 0)
    }
}

/// Tells whether a client is still connected, without keeping its connection open.
#[derive(Clone)]
pub struct ClientPresence(Weak<RefCell<SharedSocket>>);

impl ClientPresence {
    /// Whether the client has closed the connection or reset it. This reads from the socket itself:
    /// the runtime learns of a disconnect only when it next polls the system, and other events that
    /// arrived together with the disconnect may be handled before that.
    pub fn has_disconnected(&self) -> bool {
        let Some(shared) = self.0.upgrade() else {
            return true;
        };
        let shared = &mut *shared.borrow_mut();
        let mut chunk = [0; READ_CHUNK_BYTES];
        while !shared.is_disconnected {
            let read = (&*SockRef::from(&shared.stream)).read(&mut chunk);
            match read {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => shared.store_read_ahead(read.map(|length| &chunk[..length])),
            }
        }
        true
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
            let length = shared.read_ahead.len().min(buf.remaining());
            buf.put_slice(&shared.read_ahead[..length]);
            shared.read_ahead.advance(length);
            return Poll::Ready(Ok(()));
        }
        if shared.is_disconnected || shared.has_discarded_bytes {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut shared.stream).poll_read(cx, buf)
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
