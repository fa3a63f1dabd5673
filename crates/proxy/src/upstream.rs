//! One process of a backend, and the idle connections to it.

use crate::backend_connection::BackendConnection;
use crate::count_guard::CountGuard;
use crate::discovery::endpoint_list::ResolvedEndpoint;
use brookstack_balancer::{BackendState, Time};
use std::cell::{Cell, RefCell};

/// A connection that waits for its next request.
pub struct IdleConnection {
    /// When its last request ended.
    pub idle_since: Time,
    /// The connection.
    pub connection: BackendConnection,
    /// Counts it among the pool's idle connections.
    pub count: CountGuard,
}

/// One process of a backend. A restart makes a new `Upstream`, so that no connection to the old
/// process is used.
pub struct Upstream {
    /// The endpoint list's entry for the process, and its address.
    pub target: ResolvedEndpoint,
    /// Whether new requests may go to it. This is checked again before the first byte of each
    /// request.
    accepts_requests: Cell<bool>,
    /// Idle connections to it; the last one was used last.
    pub idle: RefCell<Vec<IdleConnection>>,
    /// Whether it is on the pool's list of upstreams that may hold idle connections.
    pub listed_by_pool: Cell<bool>,
}

impl Upstream {
    /// A process to which there are no connections yet.
    pub fn new(target: ResolvedEndpoint) -> Upstream {
        let is_ready = target.endpoint.state == BackendState::Ready;
        Upstream {
            target,
            accepts_requests: Cell::new(is_ready),
            idle: RefCell::default(),
            listed_by_pool: Cell::default(),
        }
    }

    /// Whether new requests may go to it.
    pub fn accepts_requests(&self) -> bool {
        self.accepts_requests.get()
    }

    /// Lets new requests go to it.
    pub fn open_to_new_requests(&self) {
        self.accepts_requests.set(true);
    }

    /// Lets no new request go to it from now on, and closes the idle connections to it.
    pub fn close_to_new_requests(&self) {
        self.accepts_requests.set(false);
        self.idle.borrow_mut().clear();
    }

    /// Whether both stand for the same process: a restarted one has another start time.
    pub fn is_same_process(&self, target: &ResolvedEndpoint) -> bool {
        self.target.address == target.address
            && self.target.endpoint.started_at == target.endpoint.started_at
    }
}
