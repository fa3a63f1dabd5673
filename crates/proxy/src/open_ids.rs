//! The correlation identifiers of requests that are open: their clients wait for a response, or a
//! backend may still work on them.
//!
//! A backend does not learn that a client has left, and may go on working on an attempt that was
//! aborted. Until it has certainly ended, a request with the same identifier could run a second
//! time.

use brookstack_balancer::{Micros, Time};
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;

/// How long a backend may work on an attempt beyond the time that it was told.
const BACKEND_OVERRUN: Micros = Micros(1_000_000);
/// The memory of one identifier, with the tables that refer to it.
const ID_BYTES: usize = 256;
/// The identifiers may take the memory limit divided by this number.
pub const MEMORY_DIVISOR: usize = 32;

/// Why a request cannot be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenIdError {
    /// A request with the same identifier is open.
    AlreadyOpen,
    /// There are too many identifiers on which backends may still work.
    TooMany,
}

/// The identifiers of all open requests.
pub struct OpenIds {
    /// The number of identifiers from which on only repeatable requests are opened.
    max_ids: usize,
    ids: RefCell<HashSet<Rc<[u8]>>>,
    /// The identifiers of requests that have ended, with the time until which a backend may still
    /// work on them. They are part of `ids`.
    lingering: RefCell<BTreeSet<LingeringId>>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct LingeringId {
    until: Time,
    id: Rc<[u8]>,
}

/// An identifier that is open until the last reference to it is dropped, or longer if a backend may
/// still work on its request then.
pub struct OpenId {
    table: Rc<OpenIds>,
    id: Rc<[u8]>,
    may_be_repeated: bool,
    may_run_until: Cell<Option<Time>>,
}

impl OpenIds {
    /// Creates an empty table for a process with this memory limit.
    pub fn new(memory_limit_bytes: usize) -> OpenIds {
        OpenIds {
            max_ids: memory_limit_bytes / MEMORY_DIVISOR / ID_BYTES,
            ids: RefCell::default(),
            lingering: RefCell::default(),
        }
    }

    /// Opens an identifier at `now`. `may_be_repeated` tells whether it does no harm if the request
    /// runs twice; only such requests are opened while there are too many identifiers.
    pub fn open(
        self: &Rc<Self>,
        id: &HeaderValue,
        may_be_repeated: bool,
        now: Time,
    ) -> Result<Rc<OpenId>, OpenIdError> {
        self.remove_expired(now);
        let mut ids = self.ids.borrow_mut();
        if ids.contains(id.as_bytes()) {
            return Err(OpenIdError::AlreadyOpen);
        }
        if ids.len() >= self.max_ids && !may_be_repeated {
            return Err(OpenIdError::TooMany);
        }
        let id = Rc::from(id.as_bytes());
        ids.insert(Rc::clone(&id));
        Ok(Rc::new(OpenId {
            table: self.clone(),
            id,
            may_be_repeated,
            may_run_until: Cell::new(None),
        }))
    }

    /// The number of identifiers.
    pub fn len(&self) -> usize {
        self.ids.borrow().len()
    }

    fn remove_expired(&self, now: Time) {
        let mut lingering = self.lingering.borrow_mut();
        while lingering.first().is_some_and(|first| first.until <= now) {
            if let Some(expired) = lingering.pop_first() {
                self.ids.borrow_mut().remove(&expired.id);
            }
        }
    }
}

impl OpenId {
    /// Records that an attempt was written whole and aborted, or ended without a whole response, so
    /// that a backend may still work on it. It was told to end by `deadline`.
    pub fn record_uncertain_end(&self, deadline: Time) {
        let until = deadline + BACKEND_OVERRUN;
        let latest = self.may_run_until.get().map_or(until, |at| at.max(until));
        self.may_run_until.set(Some(latest));
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        let is_full = self.table.len() > self.table.max_ids;
        match self.may_run_until.get() {
            Some(until) if !(is_full && self.may_be_repeated) => {
                let id = self.id.clone();
                let mut lingering = self.table.lingering.borrow_mut();
                lingering.insert(LingeringId { until, id });
            }
            Some(_) | None => {
                self.table.ids.borrow_mut().remove(&self.id);
            }
        }
    }
}

#[cfg(test)]
mod tests;
