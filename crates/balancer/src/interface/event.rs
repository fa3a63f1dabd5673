//! Events: the occurrences that the host reports to the balancer.

use crate::{
    AttemptNumber, ClassId, Endpoint, EndpointUpdate, Micros, RequestId, TenantId, TimerToken,
};

/// An occurrence that the host reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or a poll of discovery or the watch on the list ended.
    EndpointsUpdated {
        /// How `endpoints` relate to the current list.
        update: EndpointUpdate,
        /// The entries of the update.
        endpoints: Vec<Endpoint>,
    },
    /// Discovery answered a call. The host reports this before the update in the answer.
    DiscoveryAnswered {
        /// How long the call took, less the time for which it was on the network; `None` if
        /// discovery had a reason to wait.
        service_time: Option<Micros>,
        /// How long before this event the list was complete, with the answer.
        age: Micros,
    },
    /// A client's request arrived. A request with an unknown class or with the id of an open
    /// request is ignored.
    ///
    /// The balancer returns one [`Action::Reject`](crate::Action::Reject) or
    /// [`Action::Fail`](crate::Action::Fail) for the request, at this event or later, unless
    /// - an attempt succeeds, whose response the host forwards to the client,
    /// - the host reports the request as settled ([`AttemptEnd::settled`]), or
    /// - the client disconnects.
    Request(Arrival),
    /// The host has begun to stream the response to the client. From then on the balancer neither
    /// times the request out nor decides to hedge it; a second attempt that is already queued may
    /// still be sent.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The host has the whole response to an attempt, and holds it back before it decides whether
    /// to believe it. The attempt goes on as before for its request, but no longer loads its
    /// backend. [`AttemptEnd::latency`] is the time until the response was there.
    ResponseHeld {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A backend rejected a new connection because it has too many. The host reports the end of
    /// the attempt as a separate event.
    ConnectionRejected {
        /// Number of idle connections that this proxy held at that time.
        idle_connections: u32,
    },
    /// The client disconnected; its request no longer needs a response.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token from [`Action::SetTimer`](crate::Action::SetTimer).
        token: TimerToken,
    },
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The id of the request.
    pub request: RequestId,
    /// The request's traffic class.
    pub class: ClassId,
    /// The tenant that the request belongs to, if any.
    pub tenant: Option<TenantId>,
    /// Time from the arrival until the client stops waiting for a response.
    pub time_left: Micros,
    /// The expected work as processor time on a standard core, if the client sent this hint.
    pub work_hint: Option<Micros>,
    /// Whether the client marked the request as a retry of an earlier one.
    pub is_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the dispatch to the end of the attempt, less the time for which its response was
    /// held back.
    pub latency: Micros,
    /// Whether the request already had its final response, so that the balancer must not return
    /// one.
    pub settled: bool,
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
    /// No response arrived in time; the request may have been executed or may still be executing.
    TimedOut,
    /// The connection could not be established, or it broke before the request was completely
    /// written.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed. Hosts also report a response
    /// with a client error (status 4xx) as this outcome, because such a response says nothing about
    /// the health of the backend.
    Cancelled,
    /// The attempt ended before any part of the request was sent.
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
