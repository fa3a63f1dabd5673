//! A backend process and the idle connections to it.

use crate::connection_log::CloseReason;
use crate::discovery::endpoint_list::ResolvedEndpoint;
use crate::idle_connection::IdleConnection;
use brookstack_balancer::BackendState;
use std::cell::{Cell, RefCell};

/// A backend process. A restarted backend gets a new `Upstream`, so that no connection to the old
/// process is used.
pub struct Upstream {
    /// The entry with which the process was first listed, and its address. Later entries update
    /// only `accepts_requests`.
    pub target: ResolvedEndpoint,
    /// Whether the process accepts new requests. Each attempt checks this again before it sends the
    /// first byte.
    accepts_requests: Cell<bool>,
    /// The idle connections to the process. The most recently used one is the last.
    pub idle: RefCell<Vec<IdleConnection>>,
    /// Whether this upstream is on the pool's list of upstreams that may have idle connections.
    pub listed_by_pool: Cell<bool>,
}

impl Upstream {
    /// Creates an upstream without connections. It accepts requests if `target` is ready.
    pub fn new(target: ResolvedEndpoint) -> Upstream {
        let is_ready = target.endpoint.state == BackendState::Ready;
        Upstream {
            target,
            accepts_requests: Cell::new(is_ready),
            idle: RefCell::default(),
            listed_by_pool: Cell::default(),
        }
    }

    /// Whether the process accepts new requests.
    pub fn accepts_requests(&self) -> bool {
        self.accepts_requests.get()
    }

    /// Allows new requests to be sent to the process.
    pub fn open_to_new_requests(&self) {
        self.accepts_requests.set(true);
    }

    /// Stops new requests from being sent to the process, and closes the idle connections to it.
    pub fn close_to_new_requests(&self) {
        self.accepts_requests.set(false);
        for idle in self.idle.borrow_mut().drain(..) {
            idle.close(CloseReason::BackendNotAccepting);
        }
    }

    /// Whether `target` is this process. A restarted process has a different start time.
    pub fn is_same_process(&self, target: &ResolvedEndpoint) -> bool {
        self.target.address == target.address
            && self.target.endpoint.started_at == target.endpoint.started_at
    }
}
