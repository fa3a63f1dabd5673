//! A client's socket that notices its end behind bytes that nobody has read yet. hyper looks for the end of a
//! connection only while it holds no unread bytes of it, so that a client which sends more and goes would seem to
//! wait for its answer.

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// So much is read ahead of a request that is being served. A client that sends more does not wait for its
/// answers: the rest is thrown away, and its connection ends with the present answer.
const AHEAD: usize = 16 << 10;
/// So much is read at once.
const PIECE: usize = 4 << 10;

struct Shared {
    stream: TcpStream,
    ahead: BytesMut,
    /// Bytes were thrown away: what follows can't be read as requests.
    cut: bool,
    ended: bool,
}

/// The socket, and a second handle to it for whoever looks out for its end. Both belong to one task.
#[derive(Clone)]
pub struct Socket(Rc<RefCell<Shared>>);

impl Socket {
    pub fn new(stream: TcpStream) -> Socket {
        let shared = Shared { stream, ahead: BytesMut::new(), cut: false, ended: false };
        Socket(Rc::new(RefCell::new(shared)))
    }

    /// Ready once the client has closed the connection or broken it, whatever it sent before.
    pub fn poll_left(&self, cx: &mut Context) -> Poll<()> {
        let shared = &mut *self.0.borrow_mut();
        let mut piece = [0; PIECE];
        while !shared.ended {
            let mut buffer = ReadBuf::new(&mut piece);
            let read = ready!(Pin::new(&mut shared.stream).poll_read(cx, &mut buffer));
            shared.ended = read.is_err() || buffer.filled().is_empty();
            let room = if shared.cut { 0 } else { AHEAD - shared.ahead.len() };
            let kept = buffer.filled().len().min(room);
            shared.cut |= kept < buffer.filled().len();
            shared.ahead.extend_from_slice(&buffer.filled()[..kept]);
        }
        Poll::Ready(())
    }

    /// Whether bytes of the client were thrown away.
    pub fn is_cut(&self) -> bool {
        self.0.borrow().cut
    }

    /// Whether bytes of the client wait to be read, also such as the runtime has not seen yet.
    pub fn has_unread(&self) -> bool {
        let shared = self.0.borrow();
        let peeked = SockRef::from(&shared.stream).peek(&mut [MaybeUninit::uninit()]);
        !shared.ahead.is_empty() || peeked.is_ok_and(|n| n > 0)
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let shared = &mut *self.0.borrow_mut();
        if !shared.ahead.is_empty() {
            let n = shared.ahead.len().min(buf.remaining());
            buf.put_slice(&shared.ahead[..n]);
            shared.ahead.advance(n);
            return Poll::Ready(Ok(()));
        }
        if shared.ended || shared.cut {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut shared.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, bufs: &[IoSlice],
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
