//! The limit on the memory that the bodies of all open requests hold together.

use std::cell::Cell;

/// A budget of bytes. Without it many large bodies at once would use up the memory of the process.
pub(super) struct BodyMemory {
    available_bytes: Cell<usize>,
}

impl BodyMemory {
    /// A budget of which nothing is reserved.
    pub(super) fn new(capacity_bytes: usize) -> BodyMemory {
        BodyMemory {
            available_bytes: Cell::new(capacity_bytes),
        }
    }

    /// Reserves memory for a body until the permit is dropped; `None` if not enough is left.
    pub(super) fn reserve(&self, bytes: usize) -> Option<BodyPermit<'_>> {
        let remaining = self.available_bytes.get().checked_sub(bytes)?;
        self.available_bytes.set(remaining);
        Some(BodyPermit {
            bytes,
            memory: self,
        })
    }
}

/// Holds the memory that is reserved for one body and releases it when dropped.
pub(super) struct BodyPermit<'a> {
    bytes: usize,
    memory: &'a BodyMemory,
}

impl Drop for BodyPermit<'_> {
    fn drop(&mut self) {
        let available_bytes = &self.memory.available_bytes;
        available_bytes.set(available_bytes.get() + self.bytes);
    }
}
