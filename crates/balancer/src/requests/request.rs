//! A request that is owed a response, and its attempts.

use crate::admission::RequestWeight;
use crate::{Arrival, ClassId, Endpoint, Micros, Time};

/// One attempt of a request.
pub(crate) struct Attempt {
    /// The backend's entry in the endpoint list at the time of the dispatch.
    pub endpoint: Endpoint,
    /// When the attempt was dispatched.
    pub sent_at: Time,
    /// The attempt has not ended yet.
    pub in_flight: bool,
    /// The outcome proves that the backend did not execute the request.
    pub not_executed: bool,
}

impl Attempt {
    /// An attempt that is dispatched now.
    pub fn new(endpoint: Endpoint, sent_at: Time) -> Attempt {
        Attempt {
            endpoint,
            sent_at,
            in_flight: true,
            not_executed: false,
        }
    }
}

/// A request that is owed a response.
///
/// It owns its attempts. The [`RequestTable`](super::RequestTable) changes it; all others read it.
pub(crate) struct Request {
    /// Its traffic class.
    pub class: ClassId,
    /// When it arrived.
    pub arrived_at: Time,
    /// When its latency objective ends.
    pub objective_at: Time,
    /// When its client gives up.
    pub deadline: Time,
    /// How much serving it is worth beside other requests of its class.
    pub weight: RequestWeight,
    /// The response to an attempt is being streamed to the client.
    pub streaming: bool,
    /// Its attempts in the order of dispatch.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// A request without attempts that arrives now and is to be served within `objective`.
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

    /// The time that it had until its objective when it arrived.
    pub fn objective(&self) -> Micros {
        self.objective_at - self.arrived_at
    }

    /// Whether any attempt has not ended yet.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether no attempt has been dispatched yet.
    pub fn is_unsent(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether the next attempt takes a token of the retry budget. An attempt that was not executed
    /// cost no work, so the budget only counts requests with any other attempt.
    pub fn needs_retry_budget(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.not_executed)
    }
}
