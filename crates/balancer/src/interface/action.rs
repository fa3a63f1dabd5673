//! Actions: the operations that the balancer requests from its host.

use crate::{AttemptNumber, BackendId, Micros, Outcome, RequestId, TimerToken};

/// An operation that the balancer requests from its host. The host executes actions in the order in
/// which the balancer returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request. The number of the attempt is the count of the request's
    /// earlier attempts. The attempt may last until the client's deadline.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The backend to which the request is forwarded.
        backend: BackendId,
    },
    /// Respond to the client that the request was rejected. The client may retry safely, because
    /// either the request was not executed or executing it twice does no harm.
    Reject {
        /// The request.
        request: RequestId,
    },
    /// Respond to the client that the request failed. It may have been executed, so a retry may
    /// not be safe.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Set a timer: report an [`Event::Timer`](crate::Event::Timer) when the time is over.
    SetTimer {
        /// The token to report in the event.
        token: TimerToken,
        /// Time from now; at least [`Config::tick`](crate::Config::tick).
        after: Micros,
    },
    /// Limit the idle connections to all backends together.
    LimitIdleConnections {
        /// Largest number of idle connections; `u32::MAX` removes the limit.
        max_idle: u32,
    },
    /// Poll discovery for the endpoint list, then keep a watch on it for changes.
    WatchEndpoints,
    /// Write a line to the log.
    Log(LogEvent),
}

/// An event that the balancer writes to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A backend was ejected: for a limited time, it gets no requests.
    BackendEjected {
        /// The backend.
        backend: BackendId,
        /// The outcome of the attempt that led to the ejection.
        outcome: Outcome,
    },
    /// A poll of discovery or the watch on the endpoint list failed. The balancer polls again
    /// unless discovery pushes the changes.
    WatchFailed,
    /// A poll of discovery or the watch on the endpoint list timed out. The balancer polls again
    /// unless discovery pushes the changes.
    WatchTimedOut,
}
