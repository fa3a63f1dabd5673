//! The table of open requests and of their attempts in flight.

use super::{Attempt, Request};
use crate::{AttemptEnd, AttemptNumber, BackendId, ClassId, Endpoint, RequestId, Time};
use std::collections::BTreeMap;

/// An attempt in flight, with the data that admission control and outlier detection need.
pub(crate) struct InFlightAttempt {
    /// The backend that the attempt was sent to.
    pub backend: BackendId,
    /// When the process of the backend was started that the attempt was sent to.
    pub process_started_at: Option<Time>,
    /// The traffic class of its request.
    pub class: ClassId,
    /// When the attempt was dispatched.
    pub sent_at: Time,
    /// Whether admission control has already counted the attempt as late.
    pub counted_late: bool,
    /// Whether its response is there and is held back, so that its backend no longer works on it.
    pub is_held: bool,
}

/// Identifies an attempt among the attempts of all requests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    request: RequestId,
    attempt: AttemptNumber,
}

/// The open requests and their attempts in flight.
///
/// It owns both. An attempt in flight of an open request is recorded twice: in its request, for the
/// retry policy, and in the map of attempts in flight, where it stays until it ends even if its
/// request is closed. When an attempt ends, the caller must call
/// [`take_in_flight`](Self::take_in_flight) and then
/// [`record_attempt_end`](Self::record_attempt_end).
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
}

impl RequestTable {
    /// Whether the request is open.
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns an open request.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Iterates over the open requests in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    /// Iterates over the attempts in flight in the order of their requests' ids.
    pub fn in_flight(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.in_flight.values()
    }

    /// Iterates over the attempts in flight that their backends still work on, to mark attempts as
    /// counted late.
    pub fn in_progress_mut(&mut self) -> impl Iterator<Item = &mut InFlightAttempt> {
        let in_flight = self.in_flight.values_mut();
        in_flight.filter(|attempt| !attempt.is_held)
    }

    /// Iterates over the attempts in flight that their backends still work on.
    pub fn in_progress(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.in_flight().filter(|attempt| !attempt.is_held)
    }

    /// Opens a request.
    pub fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    /// Closes a request and returns it. Its attempts in flight stay in the table until they end.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.requests.remove(&id)
    }

    /// Records an attempt that the host is requested to send to `endpoint`.
    pub fn record_dispatch(&mut self, now: Time, id: RequestId, endpoint: &Endpoint) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt_id = AttemptId {
            request: id,
            attempt: AttemptNumber(request.attempts.len() as u32),
        };
        let in_flight = InFlightAttempt {
            backend: endpoint.id,
            process_started_at: endpoint.started_at,
            class: request.class,
            sent_at: now,
            counted_late: false,
            is_held: false,
        };
        request.attempts.push(Attempt::new(endpoint.clone(), now));
        self.in_flight.insert(attempt_id, in_flight);
    }

    /// Records that the response to an attempt is being streamed to the client. Attempts that are
    /// not in flight are ignored.
    pub fn record_stream(&mut self, request: RequestId, attempt: AttemptNumber) {
        let Some(request) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = request.attempts.get(attempt.0 as usize);
        request.streaming |= attempt.is_some_and(|attempt| attempt.in_flight);
    }

    /// Records that the response to an attempt is held back. Returns its backend; `None` if the
    /// attempt is not in flight or its response was held back before.
    pub fn record_held(&mut self, request: RequestId, attempt: AttemptNumber) -> Option<BackendId> {
        let attempt = self.in_flight.get_mut(&AttemptId { request, attempt })?;
        let was_held = std::mem::replace(&mut attempt.is_held, true);
        (!was_held).then_some(attempt.backend)
    }

    /// Removes an attempt that has ended from the attempts in flight and returns it; `None` if it
    /// was not in flight.
    pub fn take_in_flight(&mut self, end: &AttemptEnd) -> Option<InFlightAttempt> {
        let id = AttemptId {
            request: end.request,
            attempt: end.attempt,
        };
        self.in_flight.remove(&id)
    }

    /// Records how an attempt ended in its request. Returns the request, or `None` if it is closed.
    pub fn record_attempt_end(&mut self, end: &AttemptEnd) -> Option<&Request> {
        let request = self.requests.get_mut(&end.request)?;
        if let Some(attempt) = request.attempts.get_mut(end.attempt.0 as usize) {
            attempt.in_flight = false;
            attempt.not_executed = end.outcome.not_executed();
        }
        Some(request)
    }
}

#[cfg(test)]
mod tests;
