//! The open requests of one proxy, their attempts in flight and their deadlines.

use super::clients::ClientRequest;
use brookstack_balancer::{AttemptNumber, Micros, RequestId, Time};
use std::collections::{HashMap, VecDeque};

/// An attempt that has not ended yet.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// Its number within the request.
    pub number: AttemptNumber,
    /// When it was sent.
    pub sent_at: Time,
    /// The backend that it was sent to.
    pub backend: u32,
}

/// A request that has no final response yet, or has attempts in flight.
pub struct OpenRequest {
    /// When it arrived.
    pub arrived_at: Time,
    /// Whether it has had its final response, which may be a rejection or a failure.
    pub is_answered: bool,
    /// Its attempts that have not ended.
    pub in_flight: Vec<InFlightAttempt>,
    attempts_so_far: u32,
}

impl OpenRequest {
    /// Counts a further attempt and returns its number.
    pub fn next_attempt(&mut self) -> AttemptNumber {
        let number = AttemptNumber(self.attempts_so_far);
        self.attempts_so_far += 1;
        number
    }

    /// Removes an attempt from those in flight, if it is among them.
    pub fn take_attempt(&mut self, number: AttemptNumber) -> Option<InFlightAttempt> {
        let position = self.in_flight.iter().position(|a| a.number == number)?;
        Some(self.in_flight.swap_remove(position))
    }

    fn is_done(&self) -> bool {
        self.is_answered && self.in_flight.is_empty()
    }
}

/// A deadline of a request.
#[derive(Clone, Copy, Debug)]
pub struct Deadline {
    /// When it passes.
    pub at: Time,
    /// The request.
    pub request: RequestId,
}

/// The open requests of one proxy.
#[derive(Default)]
pub struct OpenRequests {
    requests: HashMap<RequestId, OpenRequest>,
    /// The times at which clients stop waiting. All clients use the same timeout, so the deadlines
    /// are in order of time.
    client_deadlines: VecDeque<Deadline>,
    /// The times by which the balancer has to give a final response to requests whose client has
    /// stopped waiting, in order of time.
    response_deadlines: VecDeque<Deadline>,
}

impl OpenRequests {
    /// Adds a request whose client waits for `client_timeout`. Returns the client's deadline.
    pub fn insert(&mut self, request: ClientRequest, client_timeout: Micros) -> Time {
        let at = request.arrived_at + client_timeout;
        let open = OpenRequest {
            arrived_at: request.arrived_at,
            is_answered: false,
            in_flight: Vec::new(),
            attempts_so_far: 0,
        };
        self.requests.insert(request.id, open);
        self.client_deadlines.push_back(Deadline {
            at,
            request: request.id,
        });
        at
    }

    /// An open request, if there is one with this id.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&request)
    }

    /// Whether a request is open and has had no final response.
    pub fn awaits_response(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(|open| !open.is_answered)
    }

    /// The number of open requests that have had no final response.
    pub fn unanswered(&self) -> u64 {
        self.requests.values().filter(|r| !r.is_answered).count() as u64
    }

    /// Records the final response of a request.
    pub fn mark_answered(&mut self, request: RequestId) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.is_answered = true;
        }
        self.remove_if_done(request);
    }

    /// Removes a request that has had its final response and has no attempt in flight.
    pub fn remove_if_done(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(OpenRequest::is_done)
        {
            self.requests.remove(&request);
        }
    }

    /// Adds the deadline by which the balancer has to give a final response to a request whose
    /// client has stopped waiting.
    pub fn push_response_deadline(&mut self, deadline: Deadline) {
        self.response_deadlines.push_back(deadline);
    }

    /// Removes the next client deadline that has passed.
    pub fn pop_client_deadline(&mut self, now: Time) -> Option<Deadline> {
        pop_due(&mut self.client_deadlines, now)
    }

    /// Removes the next response deadline that has passed.
    pub fn pop_response_deadline(&mut self, now: Time) -> Option<Deadline> {
        pop_due(&mut self.response_deadlines, now)
    }

    /// Whether any deadline has passed.
    pub fn is_due(&self, now: Time) -> bool {
        let fronts = [
            self.client_deadlines.front(),
            self.response_deadlines.front(),
        ];
        fronts.into_iter().flatten().any(|next| next.at <= now)
    }

    /// Removes all requests, in no particular order.
    pub fn drain(&mut self) -> impl Iterator<Item = (RequestId, OpenRequest)> + '_ {
        self.client_deadlines.clear();
        self.response_deadlines.clear();
        self.requests.drain()
    }
}

fn pop_due(deadlines: &mut VecDeque<Deadline>, now: Time) -> Option<Deadline> {
    if deadlines.front()?.at > now {
        return None;
    }
    deadlines.pop_front()
}
