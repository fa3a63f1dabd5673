//! Holds back what would make the read buffer of a connection grow, until memory is reserved for
//! it.
//!
//! The HTTP library reads a head into one buffer, which grows beyond [`BUFFER_BYTES`] for a larger
//! head. It also doubles the buffer after a read that fills it.

use crate::memory_budget::{MemoryBudget, Reservation, Share, BUFFER_BYTES, GROWN_BUFFERS_BYTES};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};

/// The size of the largest single read. It does not fill the buffer.
const MAX_READ_BYTES: usize = BUFFER_BYTES - 1;
/// The size of the part of a head that fits into the buffer with room for a byte.
const MAX_SMALL_HEAD_BYTES: usize = BUFFER_BYTES - 1;

/// Whether memory is reserved for a grown buffer.
enum Growth {
    None,
    Waiting(Pin<Box<dyn Future<Output = Option<Reservation>>>>),
    Reserved(#[expect(dead_code, reason = "kept until it is dropped")] Reservation),
}

/// The growth of the read buffer of one connection.
pub struct BufferGrowth {
    memory: Rc<MemoryBudget>,
    share: Share,
    growth: Growth,
}

impl BufferGrowth {
    /// The buffer of a new connection, which takes further memory from the share.
    pub fn new(memory: Rc<MemoryBudget>, share: Share) -> BufferGrowth {
        BufferGrowth {
            memory,
            share,
            growth: Growth::None,
        }
    }

    /// Reads as much as the buffer may take now. `head_bytes` is the number of bytes of the head
    /// that were read before, or `None` if no head is read. While a head is held back, the read is
    /// pending.
    pub fn poll_read(
        &mut self,
        cx: &mut Context,
        stream: &mut (impl AsyncRead + Unpin),
        buf: &mut ReadBuf,
        head_bytes: Option<usize>,
    ) -> Poll<io::Result<()>> {
        let max_bytes = ready!(self.poll_max_bytes(cx, head_bytes))?;
        let length = buf.remaining().min(max_bytes);
        let mut limited = ReadBuf::new(buf.initialize_unfilled_to(length));
        ready!(Pin::new(stream).poll_read(cx, &mut limited))?;
        let bytes_read = limited.filled().len();
        buf.advance(bytes_read);
        Poll::Ready(Ok(()))
    }

    /// Returns how many bytes may be read now, at least one.
    pub fn poll_max_bytes(
        &mut self,
        cx: &mut Context,
        head_bytes: Option<usize>,
    ) -> Poll<io::Result<usize>> {
        let Some(head_bytes) = head_bytes else {
            self.growth = Growth::None;
            return Poll::Ready(Ok(MAX_READ_BYTES));
        };
        if head_bytes < MAX_SMALL_HEAD_BYTES {
            let remaining = MAX_SMALL_HEAD_BYTES - head_bytes;
            return Poll::Ready(Ok(remaining.min(MAX_READ_BYTES)));
        }
        ready!(self.poll_reserved(cx))?;
        Poll::Ready(Ok(MAX_READ_BYTES))
    }

    fn poll_reserved(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        if matches!(self.growth, Growth::None) {
            let (memory, share) = (self.memory.clone(), self.share);
            let reserve = async move { memory.reserve(share, GROWN_BUFFERS_BYTES).await };
            self.growth = Growth::Waiting(Box::pin(reserve));
        }
        if let Growth::Waiting(reserve) = &mut self.growth {
            let Some(reservation) = ready!(reserve.as_mut().poll(cx)) else {
                return Poll::Ready(Err(ErrorKind::OutOfMemory.into()));
            };
            self.growth = Growth::Reserved(reservation);
        }
        Poll::Ready(Ok(()))
    }
}

#[cfg(test)]
mod tests;
