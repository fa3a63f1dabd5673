//! An open request, which has no final response yet, and its attempts.

use crate::admission::RequestWeight;
use crate::{Arrival, ClassId, Endpoint, Micros, Time};

/// One attempt of a request.
pub(crate) struct Attempt {
    /// The backend's entry in the endpoint list at the time of the dispatch.
    pub endpoint: Endpoint,
    /// When the attempt was dispatched.
    pub sent_at: Time,
    /// Whether the attempt has not ended yet.
    pub in_flight: bool,
    /// Whether the outcome proves that the backend did not execute the request. It is `false` while
    /// the attempt is in flight.
    pub not_executed: bool,
}

impl Attempt {
    /// Creates an attempt that is in flight from `sent_at`.
    pub fn new(endpoint: Endpoint, sent_at: Time) -> Attempt {
        Attempt {
            endpoint,
            sent_at,
            in_flight: true,
            not_executed: false,
        }
    }
}

/// An open request, which has no final response yet.
///
/// It owns its attempts. Only the [`RequestTable`](super::RequestTable) modifies it.
pub(crate) struct Request {
    /// The traffic class.
    pub class: ClassId,
    /// When the request arrived.
    pub arrived_at: Time,
    /// The time by which the request is to be served to meet its latency objective. It is no later
    /// than the deadline.
    pub objective_at: Time,
    /// When the client gives up.
    pub deadline: Time,
    /// The value of serving the request relative to other requests of its class.
    pub weight: RequestWeight,
    /// Whether the response to an attempt is being streamed to the client.
    pub streaming: bool,
    /// The attempts in the order of dispatch.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Creates a request without attempts that arrives at `now`. Its latency objective is
    /// `objective`, or the time until the client gives up if that is shorter.
    pub fn new(now: Time, arrival: &Arrival, objective: Micros, weight: RequestWeight) -> Request {
        Request {
            class: arrival.class,
            arrived_at: now,
            objective_at: now + objective.min(arrival.time_left),
            deadline: now + arrival.time_left,
            weight,
            streaming: false,
            attempts: Vec::new(),
        }
    }

    /// Returns the time from the arrival until the latency objective.
    pub fn objective(&self) -> Micros {
        self.objective_at - self.arrived_at
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether no attempt has been dispatched yet.
    pub fn is_unsent(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether the next attempt takes a token from the retry budget. Attempts that were not
    /// executed cost the backends no work, so a token is needed only if any other attempt has been
    /// dispatched.
    pub fn needs_retry_budget(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.not_executed)
    }
}
