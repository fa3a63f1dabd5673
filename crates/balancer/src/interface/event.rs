//! Events: what the host reports to the balancer.

use crate::{
    AttemptNumber, ClassId, Endpoint, EndpointUpdate, Micros, RequestId, TenantId, Time, TimerToken,
};

/// What the host reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or the watch on it ended.
    EndpointsUpdated {
        /// How `endpoints` relate to the current list.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived. The balancer returns one
    /// [`Action::Reject`](crate::Action::Reject) or [`Action::Fail`](crate::Action::Fail) for it,
    /// unless an attempt succeeds, whose response the host forwards, the host reports it as
    /// settled, or its client disconnects. A request with an unknown class or the id of an open
    /// request is ignored.
    Request(Arrival),
    /// The response is being streamed to the client: the attempt has no timeout any more.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A backend rejected a new connection because it has too many; the end of the attempt is
    /// another event.
    ConnectionRejected {
        /// Idle connections that this proxy held at that moment.
        idle_connections: u32,
    },
    /// The client disconnected; its request needs no response any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token that was given to [`Action::SetTimer`](crate::Action::SetTimer).
        token: TimerToken,
    },
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its traffic class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Time until the client gives up.
    pub time_left: Micros,
    /// The expected work as processor time on a standard core, if the client gave it.
    pub work_hint: Option<Micros>,
    /// The client marked the request as a retry of an earlier one.
    pub is_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the dispatch.
    pub latency: Micros,
    /// Whether the request already had its final response, so that the balancer gives none.
    pub settled: bool,
    /// When the connection was established on which the request was sent: the process that served
    /// it has run since then. `None` if the host does not know.
    pub connected_at: Option<Time>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Success,
    /// The backend responded with an error; the request may have been executed.
    Error,
    /// The backend rejected the request without processing it.
    Rejected,
    /// No response arrived in time; the request may have been or still be executed.
    TimedOut,
    /// The connection could not be established, or it broke before the request was completely
    /// written.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed. Hosts report responses with a
    /// client error (status 4xx) in this way too: they say nothing of the backend.
    Cancelled,
    /// The attempt ended before any of it was sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the backend did not execute the request.
    pub fn not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}
