//! Actions: what the balancer requests from its host.

use crate::{AttemptNumber, BackendId, Micros, Outcome, RequestId, Time, TimerToken};

/// What the balancer requests from its host. The host carries actions out in the order in which it
/// gets them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request. Its number is the count of the request's earlier
    /// attempts; it may last until the client gives up.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The backend to forward it to.
        backend: BackendId,
    },
    /// Respond to the client that the request was rejected: a retry is safe, because the request
    /// was not executed or because executing it twice does no harm.
    Reject {
        /// The request.
        request: RequestId,
    },
    /// Respond to the client that the request failed and may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Report an [`Event::Timer`](crate::Event::Timer) later.
    SetTimer {
        /// The token that the event is to carry.
        token: TimerToken,
        /// Time from now; at least [`Config::tick`](crate::Config::tick).
        after: Micros,
    },
    /// Keep a limited number of idle connections to all backends together.
    LimitIdleConnections {
        /// The limit; `u32::MAX` lifts it.
        max_idle: u32,
    },
    /// Poll discovery for the endpoint list and watch it from now on.
    WatchEndpoints,
    /// Write a line to the operators' log.
    Log(LogEvent),
}

/// What the balancer reports to the operators' log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A backend was ejected: it gets no requests for a while.
    BackendEjected {
        /// The backend.
        backend: BackendId,
        /// The outcome of the attempt that led to the ejection.
        outcome: Outcome,
    },
    /// A poll of discovery or the watch on the endpoint list failed; the balancer will poll again.
    WatchFailed,
    /// A poll of discovery or the watch on the endpoint list timed out; the balancer will poll
    /// again.
    WatchTimedOut,
    /// A request is sent although no answer of discovery confirms the endpoint list. Operators need
    /// it only to trace such a request: it may occur for every request, and does not count against
    /// the limit on log lines.
    UnconfirmedListUsed {
        /// The request.
        request: RequestId,
        /// The backend that it is sent to.
        backend: BackendId,
        /// The newest request that the backend has served.
        accepted: Option<Acceptance>,
        /// What is known of the list.
        list: UnconfirmedList,
    },
}

/// A request that a backend has served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acceptance {
    /// When it was sent: the backend accepted requests then. Its drain may have been listed
    /// already.
    pub sent_at: Time,
    /// When the connection was established on which it was sent, if the host knows that.
    pub connected_at: Option<Time>,
}

/// An endpoint list that no answer of discovery confirms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedList {
    /// The list contains every change that discovery had, and could be polled for, at this time.
    pub fresh_at: Time,
    /// When the poll was sent that has not been answered; `None` if no poll is under way.
    pub poll_sent_at: Option<Time>,
}
