//! How much of an attempt's request has been sent.

use crate::tracked_stream::StreamProgress;
use std::cell::RefCell;
use std::rc::Rc;

/// How much of an attempt's request has been sent. The driver reads it to decide whether to abort
/// the attempt, and which outcome an aborted attempt has.
#[derive(Default)]
pub struct SendProgress(RefCell<Option<Rc<StreamProgress>>>);

impl SendProgress {
    /// Sets the connection on which the attempt is sent.
    pub fn track(&self, progress: Rc<StreamProgress>) {
        *self.0.borrow_mut() = Some(progress);
    }

    /// Whether at least one byte of the request was written to the socket. Until then the attempt
    /// counts as not sent.
    pub fn has_started(&self) -> bool {
        let tracked = self.0.borrow();
        tracked
            .as_ref()
            .is_some_and(|progress| progress.write_started.get())
    }

    /// Whether all bytes of the request were written to the socket. Until then the backend cannot
    /// execute the request.
    pub fn is_complete(&self) -> bool {
        let tracked = self.0.borrow();
        tracked
            .as_ref()
            .is_some_and(|progress| progress.write_completed.get())
    }
}
