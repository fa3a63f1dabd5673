//! The state of one client connection: its phase, its timeouts and pending requests to close it.

use super::client_socket::{ClientSocket, DisconnectDetector};
use crate::memory_budget::{MemoryBudget, Reservation};
use brookstack_balancer::{Micros, Time};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::Poll;
use tokio::sync::Notify;

/// The time limit from accepting a connection to the complete head of its first request. Without
/// it, clients that never send a complete head would hold connections that others need.
const FIRST_HEAD_TIMEOUT: Micros = Micros(2_200_000);
/// The time limit from the head of a request to the end of its body. For the first request of a
/// connection, the rest of [`FIRST_HEAD_TIMEOUT`] applies if it is shorter.
const BODY_TIMEOUT: Micros = Micros(2_000_000);
/// The time for which a connection is kept open between two requests. The limit exists because many
/// clients keep connections open and never use them again.
const KEEP_ALIVE_TIMEOUT: Micros = Micros(5_000_000);
/// The minimum age at which a connection that has not served a request may be evicted. This leaves
/// enough time for a request that the client sends right after connecting to arrive.
const MIN_EVICTION_AGE: Micros = Micros(20_000);
/// The time after which a connection that was asked to close may be asked again, which aborts it if
/// it is still writing its last response. Without it, a client that does not read would keep its
/// connection.
const GRACEFUL_CLOSE_TIMEOUT: Micros = Micros(2_000_000);
/// Microseconds in a second.
const MICROS_IN_SECOND: u64 = 1_000_000;

/// Why a connection was asked to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseCause {
    /// The head of its next request did not arrive in time.
    HeadTimeout,
    /// Its descriptor was needed for another connection.
    Evicted,
    /// The proxy is shutting down.
    Shutdown,
}

/// What a connection is waiting for.
#[derive(Clone, Copy)]
pub(super) enum ConnectionPhase {
    /// Waiting for the complete head of the next request since the given time. The response to the
    /// previous request may not be written completely yet.
    AwaitingHead { since: Time },
    /// Waiting for the body of a request whose head has arrived.
    ReadingBody,
    /// Waiting for the response to a complete request.
    AwaitingResponse,
}

/// A body that is being read into reserved memory.
#[derive(Clone, Copy)]
struct ReservedBody {
    /// When its memory was reserved.
    since: Time,
    reserved_bytes: usize,
    /// The number of bytes that had been read from the connection before it.
    read_before: u64,
}

/// How fast a body arrives for which memory is reserved.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyProgress {
    /// How long its memory has been reserved.
    pub age: Micros,
    /// The memory that is reserved.
    pub reserved_bytes: usize,
    /// The bytes of the body that have arrived.
    pub read_bytes: u64,
}

impl BodyProgress {
    /// The bytes that arrive per second.
    pub(super) fn bytes_per_second(&self) -> f64 {
        self.read_bytes as f64 / self.age.0.max(1) as f64 * MICROS_IN_SECOND as f64
    }
}

/// How much a connection has to lose if it is closed for another one. The lowest rank is closed
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// It has no request. The longest idle one goes first.
    Idle {
        /// Since when it has waited.
        since: Time,
    },
    /// A part of a request has arrived. The one with the least progress goes first.
    PartialRequest {
        /// How fast the request arrives.
        bytes_per_second: u64,
    },
}

impl EvictionRank {
    /// Whether the connection has no request.
    pub(super) fn is_idle(self) -> bool {
        matches!(self, EvictionRank::Idle { .. })
    }
}

/// The state of a client connection, shared by its task and the connection table.
pub(super) struct ClientConnection {
    id: u64,
    opened_at: Time,
    disconnect_detector: DisconnectDetector,
    phase: Cell<ConnectionPhase>,
    /// Whether a response to any request on this connection was produced.
    has_served_request: Cell<bool>,
    /// The number of bytes that were read up to the end of the latest complete request.
    bytes_of_requests: Cell<u64>,
    /// Since when a part of a request has been waiting for the rest, as far as it was noted.
    partial_since: Cell<Option<Time>>,
    /// Whether the latest request on this connection was rejected before it reached the driver.
    last_request_rejected: Cell<bool>,
    /// When the connection was last asked to close.
    close_requested_at: Cell<Option<Time>>,
    /// Why the connection was last asked to close.
    close_cause: Cell<Option<CloseCause>>,
    close_requested: Notify,
    /// The body that is being read, if memory is reserved for it.
    reserved_body: Cell<Option<ReservedBody>>,
    is_body_cancelled: Cell<bool>,
    body_cancelled: Notify,
    /// The memory of buffers that have grown for a large head.
    grown_buffers: RefCell<Option<Reservation>>,
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted at `now`.
    pub(super) fn new(
        id: u64,
        now: Time,
        disconnect_detector: DisconnectDetector,
    ) -> ClientConnection {
        ClientConnection {
            id,
            opened_at: now,
            disconnect_detector,
            phase: Cell::new(ConnectionPhase::AwaitingHead { since: now }),
            has_served_request: Cell::new(false),
            bytes_of_requests: Cell::new(0),
            partial_since: Cell::new(None),
            last_request_rejected: Cell::new(false),
            close_requested_at: Cell::new(None),
            close_cause: Cell::new(None),
            close_requested: Notify::new(),
            reserved_body: Cell::new(None),
            is_body_cancelled: Cell::new(false),
            body_cancelled: Notify::new(),
            grown_buffers: RefCell::default(),
        }
    }

    /// The identifier of the connection within this proxy.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// The number of bytes that were read up to the end of the latest complete request.
    pub(super) fn bytes_of_requests(&self) -> u64 {
        self.bytes_of_requests.get()
    }

    /// What the connection is waiting for.
    pub(super) fn phase(&self) -> ConnectionPhase {
        self.phase.get()
    }

    /// Whether a response to any request on this connection was produced.
    pub(super) fn has_served_request(&self) -> bool {
        self.has_served_request.get()
    }

    /// Whether the latest request on this connection was rejected before it reached the driver.
    pub(super) fn last_request_rejected(&self) -> bool {
        self.last_request_rejected.get()
    }

    /// Returns a handle for checking whether the client has disconnected.
    pub(super) fn disconnect_detector(&self) -> DisconnectDetector {
        self.disconnect_detector.clone()
    }

    /// Records that the head of a request has arrived. Returns the number of bytes that were read
    /// for it.
    pub(super) fn start_reading_body(&self) -> usize {
        self.phase.set(ConnectionPhase::ReadingBody);
        self.is_body_cancelled.set(false);
        self.disconnect_detector.end_head()
    }

    /// Records that memory is reserved for the body that is read from now on.
    pub(super) fn begin_reserved_body(&self, now: Time, reserved_bytes: usize) {
        self.reserved_body.set(Some(ReservedBody {
            since: now,
            reserved_bytes,
            read_before: self.disconnect_detector.bytes_read(),
        }));
    }

    /// How fast the body arrives that is being read, if memory is reserved for it.
    pub(super) fn body_progress(&self, now: Time) -> Option<BodyProgress> {
        let body = self.reserved_body.get()?;
        Some(BodyProgress {
            age: now - body.since,
            reserved_bytes: body.reserved_bytes,
            read_bytes: self.disconnect_detector.bytes_read() - body.read_before,
        })
    }

    /// Cancels the request whose body is being read, because its memory is needed.
    pub(super) fn cancel_body(&self) {
        self.reserved_body.set(None);
        self.is_body_cancelled.set(true);
        self.body_cancelled.notify_one();
    }

    /// Completes when the body that is being read is cancelled.
    pub(super) async fn body_cancelled(&self) {
        while !self.is_body_cancelled.get() {
            self.body_cancelled.notified().await;
        }
    }

    /// Whether the connection may be kept although its buffers have grown: memory is reserved for
    /// them.
    pub(super) fn keep_grown_buffers(&self, memory: &MemoryBudget) -> bool {
        let mut grown_buffers = self.grown_buffers.borrow_mut();
        if grown_buffers.is_none() {
            *grown_buffers = memory.try_reserve_grown_buffers();
        }
        grown_buffers.is_some()
    }

    /// Records that a request was received completely.
    pub(super) fn start_awaiting_response(&self) {
        self.reserved_body.set(None);
        self.phase.set(ConnectionPhase::AwaitingResponse);
    }

    /// Records that the response to a request is ready to be written. `rejected` tells whether the
    /// request was rejected before it reached the driver.
    pub(super) fn finish_request(&self, now: Time, rejected: bool) {
        self.phase.set(ConnectionPhase::AwaitingHead { since: now });
        self.reserved_body.set(None);
        if !rejected {
            self.disconnect_detector.begin_head();
        }
        self.bytes_of_requests
            .set(self.disconnect_detector.bytes_read());
        self.partial_since.set(None);
        self.has_served_request.set(true);
        self.last_request_rejected.set(rejected);
    }

    /// Asks the connection to close, unless it was already asked less than
    /// [`GRACEFUL_CLOSE_TIMEOUT`] ago.
    pub(super) fn request_close(&self, now: Time, cause: CloseCause) {
        let requested_at = self.close_requested_at.get();
        if requested_at.is_none_or(|at| now - at >= GRACEFUL_CLOSE_TIMEOUT) {
            self.close_requested_at.set(Some(now));
            self.close_cause.set(Some(cause));
            self.close_requested.notify_one();
        }
    }

    /// Clears the recorded request to close, so that the connection can be asked again without
    /// waiting for [`GRACEFUL_CLOSE_TIMEOUT`].
    pub(super) fn clear_close_request(&self) {
        self.close_requested_at.set(None);
    }

    /// Why the connection was last asked to close, if it was.
    pub(super) fn close_cause(&self) -> Option<CloseCause> {
        self.close_cause.get()
    }

    /// Completes when the connection is asked to close.
    pub(super) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Completes when the client disconnects while it waits for a response.
    pub(super) async fn disconnected_awaiting_response(&self, socket: &ClientSocket) {
        poll_fn(|cx| match self.phase.get() {
            ConnectionPhase::AwaitingResponse => socket.poll_disconnected(cx),
            ConnectionPhase::AwaitingHead { .. } | ConnectionPhase::ReadingBody => Poll::Pending,
        })
        .await;
    }

    /// Whether the connection waits for the head of its first or next request.
    pub(super) fn is_awaiting_head(&self) -> bool {
        matches!(self.phase.get(), ConnectionPhase::AwaitingHead { .. })
    }

    /// Whether a part of a request has been read, but not all of it.
    pub(super) fn has_partial_request(&self) -> bool {
        match self.phase.get() {
            ConnectionPhase::AwaitingHead { .. } => self.partial_request_bytes() > 0,
            ConnectionPhase::ReadingBody => true,
            ConnectionPhase::AwaitingResponse => false,
        }
    }

    fn partial_request_bytes(&self) -> u64 {
        let bytes_read = self.disconnect_detector.bytes_read();
        bytes_read.saturating_sub(self.bytes_of_requests.get())
    }

    /// Notes at regular times since when a part of a request has been waiting for the rest.
    pub(super) fn update_partial_since(&self, now: Time) {
        let since = self.partial_since.get().unwrap_or(now);
        let is_partial = self.has_partial_request();
        self.partial_since.set(is_partial.then_some(since));
    }

    /// How much the connection has to lose if it is closed for another one; `None` if it has a
    /// complete request.
    pub(super) fn eviction_rank(&self, now: Time) -> Option<EvictionRank> {
        match self.phase.get() {
            ConnectionPhase::AwaitingHead { since } if !self.has_partial_request() => {
                Some(EvictionRank::Idle { since })
            }
            ConnectionPhase::AwaitingHead { .. } | ConnectionPhase::ReadingBody => {
                let since = self.partial_since.get().unwrap_or(now);
                let age = (now - since).0.max(1);
                let bytes_per_second = self.partial_request_bytes() * MICROS_IN_SECOND / age;
                Some(EvictionRank::PartialRequest { bytes_per_second })
            }
            ConnectionPhase::AwaitingResponse => None,
        }
    }

    /// Whether a connection that waits for a request may be evicted in favour of a new connection.
    pub(super) fn may_be_evicted(&self, now: Time) -> bool {
        let had_time_for_request =
            self.has_served_request.get() || now - self.opened_at >= MIN_EVICTION_AGE;
        had_time_for_request && self.close_requested_at.get().is_none()
    }

    /// Whether the connection has waited for the head of a request, or for the rest of one, beyond
    /// the timeout.
    pub(super) fn head_timed_out(&self, now: Time) -> bool {
        let ConnectionPhase::AwaitingHead { since } = self.phase.get() else {
            return false;
        };
        let partial_since = self.partial_since.get();
        if partial_since.is_some_and(|since| now - since >= FIRST_HEAD_TIMEOUT) {
            return true;
        }
        let timeout = if self.has_served_request.get() {
            KEEP_ALIVE_TIMEOUT
        } else {
            FIRST_HEAD_TIMEOUT
        };
        now - since >= timeout
    }

    /// The time by which the body of a request whose head arrived at `now` must be complete.
    pub(super) fn body_deadline(&self, now: Time) -> Time {
        let deadline = now + BODY_TIMEOUT;
        if self.has_served_request.get() {
            deadline
        } else {
            deadline.min(self.opened_at + FIRST_HEAD_TIMEOUT)
        }
    }
}

#[cfg(test)]
mod tests;
