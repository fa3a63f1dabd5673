//! The state of one client connection: its phase, its timeouts, and whether it was asked to close.

use super::client_socket::{ClientPresence, ClientSocket};
use brookstack_balancer::{Micros, Time};
use std::cell::Cell;
use std::future::poll_fn;
use std::task::Poll;
use tokio::sync::Notify;

/// The time from the connect to the complete head of the first request. Without a limit, clients
/// that never send a complete head would hold connections that others need.
const FIRST_HEAD_TIMEOUT: Micros = Micros(2_200_000);
/// The time from the head of a request to the end of its body. The first request of a connection
/// has only what is left of [`FIRST_HEAD_TIMEOUT`], if that is less.
const BODY_TIMEOUT: Micros = Micros(2_000_000);
/// The time for which a connection is kept open between two requests. Many clients keep connections
/// and never use them again.
const KEEP_ALIVE_TIMEOUT: Micros = Micros(5_000_000);
/// The age from which a connection without a request may be evicted. By then a request has arrived
/// that the client sent right after the connect.
const MIN_EVICTION_AGE: Micros = Micros(20_000);
/// The time from asking a connection to close until it is closed by force, in case its client does
/// not read.
const GRACEFUL_CLOSE_TIMEOUT: Micros = Micros(2_000_000);

/// What a connection is waiting for.
#[derive(Clone, Copy)]
pub(super) enum ConnectionPhase {
    /// The head of the next request, since the given time.
    AwaitingHead { since: Time },
    /// The body of a request whose head has arrived.
    ReadingBody,
    /// The response to a complete request.
    AwaitingResponse,
}

/// A client connection.
pub(super) struct ClientConnection {
    opened_at: Time,
    presence: ClientPresence,
    phase: Cell<ConnectionPhase>,
    /// Whether a request was answered on it.
    has_served_request: Cell<bool>,
    /// Whether the latest request on it was rejected as invalid.
    last_request_rejected: Cell<bool>,
    /// When it was last asked to close.
    close_requested_at: Cell<Option<Time>>,
    close_requested: Notify,
}

impl ClientConnection {
    /// A connection that was accepted at `now`.
    pub(super) fn new(now: Time, presence: ClientPresence) -> ClientConnection {
        ClientConnection {
            opened_at: now,
            presence,
            phase: Cell::new(ConnectionPhase::AwaitingHead { since: now }),
            has_served_request: Cell::new(false),
            last_request_rejected: Cell::new(false),
            close_requested_at: Cell::new(None),
            close_requested: Notify::new(),
        }
    }

    /// What it is waiting for.
    pub(super) fn phase(&self) -> ConnectionPhase {
        self.phase.get()
    }

    /// Whether a request was answered on it.
    pub(super) fn has_served_request(&self) -> bool {
        self.has_served_request.get()
    }

    /// Whether the latest request on it was rejected as invalid.
    pub(super) fn last_request_rejected(&self) -> bool {
        self.last_request_rejected.get()
    }

    /// A handle that tells whether the client has disconnected.
    pub(super) fn presence(&self) -> ClientPresence {
        self.presence.clone()
    }

    /// Notes that the head of a request has arrived.
    pub(super) fn start_reading_body(&self) {
        self.phase.set(ConnectionPhase::ReadingBody);
    }

    /// Notes that a request is complete.
    pub(super) fn start_awaiting_response(&self) {
        self.phase.set(ConnectionPhase::AwaitingResponse);
    }

    /// Notes that the response to a request is ready to be written.
    pub(super) fn finish_request(&self, now: Time, rejected: bool) {
        self.phase.set(ConnectionPhase::AwaitingHead { since: now });
        self.has_served_request.set(true);
        self.last_request_rejected.set(rejected);
    }

    /// Asks the connection to close, unless that was done less than [`GRACEFUL_CLOSE_TIMEOUT`] ago.
    pub(super) fn request_close(&self, now: Time) {
        let requested_at = self.close_requested_at.get();
        if requested_at.is_none_or(|at| now - at >= GRACEFUL_CLOSE_TIMEOUT) {
            self.close_requested_at.set(Some(now));
            self.close_requested.notify_one();
        }
    }

    /// Forgets that the connection was asked to close, so that it can be asked again at once.
    pub(super) fn clear_close_request(&self) {
        self.close_requested_at.set(None);
    }

    /// Completes when the connection is asked to close.
    pub(super) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Completes when the client disconnects while it is owed a response.
    pub(super) async fn disconnected_awaiting_response(&self, socket: &ClientSocket) {
        poll_fn(|cx| match self.phase.get() {
            ConnectionPhase::AwaitingResponse => socket.poll_disconnected(cx),
            ConnectionPhase::AwaitingHead { .. } | ConnectionPhase::ReadingBody => Poll::Pending,
        })
        .await;
    }

    /// Whether it waits for the head of its first or its next request.
    pub(super) fn is_awaiting_head(&self) -> bool {
        matches!(self.phase.get(), ConnectionPhase::AwaitingHead { .. })
    }

    /// The time since which it has waited for a request that may never be completed.
    pub(super) fn awaiting_request_since(&self) -> Option<Time> {
        match self.phase.get() {
            ConnectionPhase::AwaitingHead { since } => Some(since),
            ConnectionPhase::ReadingBody => Some(self.opened_at),
            ConnectionPhase::AwaitingResponse => None,
        }
    }

    /// Whether it may be evicted in favour of a new connection, if it waits for a request.
    pub(super) fn may_be_evicted(&self, now: Time) -> bool {
        let has_settled = self.has_served_request.get() || now - self.opened_at >= MIN_EVICTION_AGE;
        has_settled && self.close_requested_at.get().is_none()
    }

    /// Whether the head of its next request is overdue.
    pub(super) fn is_overdue(&self, now: Time) -> bool {
        let ConnectionPhase::AwaitingHead { since } = self.phase.get() else {
            return false;
        };
        let timeout = if self.has_served_request.get() {
            KEEP_ALIVE_TIMEOUT
        } else {
            FIRST_HEAD_TIMEOUT
        };
        now - since >= timeout
    }

    /// The time by which a request whose head has arrived at `now` must have its complete body.
    pub(super) fn body_deadline(&self, now: Time) -> Time {
        let deadline = now + BODY_TIMEOUT;
        if self.has_served_request.get() {
            deadline
        } else {
            deadline.min(self.opened_at + FIRST_HEAD_TIMEOUT)
        }
    }
}
