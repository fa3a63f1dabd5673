//! The requests that are owed a response or have attempts in flight, and their deadlines.

use super::balancer_host::BalancerHost;
use super::in_flight_attempt::{AbortReason, InFlightAttempt};
use crate::forwarded_request::ForwardedRequest;
use crate::message::{AttemptId, FinalResponse, IncomingRequest};
use brookstack_balancer::{AttemptNumber, Micros, RequestId, Time};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that is owed a response or has attempts in flight.
pub struct PendingRequest {
    /// When the client must have its response.
    pub deadline: Time,
    /// What is sent to backends.
    pub forwarded: Rc<ForwardedRequest>,
    /// Where the final response goes. `None` after the response, or once the client has
    /// disconnected.
    reply: Option<oneshot::Sender<FinalResponse>>,
    /// Its attempts in flight.
    pub attempts: HashMap<AttemptNumber, InFlightAttempt>,
    /// How many attempts the balancer has dispatched so far.
    attempt_count: u32,
}

impl PendingRequest {
    /// Whether the client waits for a response.
    pub fn is_owed_response(&self) -> bool {
        self.reply.is_some()
    }

    /// Sends the final response, if it is still owed.
    pub fn respond(&mut self, response: FinalResponse) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(response);
        }
    }

    /// The number of a new attempt.
    pub fn next_attempt_number(&mut self) -> AttemptNumber {
        let number = AttemptNumber(self.attempt_count);
        self.attempt_count += 1;
        number
    }

    fn is_finished(&self) -> bool {
        self.reply.is_none() && self.attempts.is_empty()
    }

    /// Aborts the attempts that have not been sent completely.
    fn cancel_unsent_attempts(&mut self, now: Time, balancer: &mut BalancerHost) {
        let (sent, unsent): (HashMap<_, _>, HashMap<_, _>) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|(_, attempt)| attempt.progress.is_complete());
        self.attempts = sent;
        for attempt in unsent.into_values() {
            balancer.report(attempt.abort(now, AbortReason::Cancelled, true));
        }
    }
}

/// A time at which something is due for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueTime {
    at: Time,
    request: RequestId,
}

/// The pending requests of a proxy.
pub struct PendingRequests {
    /// The time after a deadline for which the balancer may still respond.
    grace_period: Micros,
    requests: HashMap<RequestId, PendingRequest>,
    deadlines: BTreeSet<DueTime>,
    /// The ends of the grace periods of requests that are past their deadline.
    grace_ends: VecDeque<DueTime>,
    /// Requests that may be dropped after the next tick.
    finished: Vec<RequestId>,
}

impl PendingRequests {
    /// No requests.
    pub fn new(grace_period: Micros) -> PendingRequests {
        PendingRequests {
            grace_period,
            requests: HashMap::new(),
            deadlines: BTreeSet::new(),
            grace_ends: VecDeque::new(),
            finished: Vec::new(),
        }
    }

    /// Whether no request and no deadline is left.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.deadlines.is_empty()
    }

    /// The number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Adds a request that has arrived.
    pub fn insert(&mut self, incoming: IncomingRequest) {
        self.deadlines.insert(DueTime {
            at: incoming.deadline,
            request: incoming.id,
        });
        let pending = PendingRequest {
            deadline: incoming.deadline,
            forwarded: incoming.forwarded,
            reply: Some(incoming.reply),
            attempts: HashMap::new(),
            attempt_count: 0,
        };
        self.requests.insert(incoming.id, pending);
    }

    /// The time until a request's deadline; zero if there is no such request.
    pub fn time_left(&self, request: RequestId, now: Time) -> Micros {
        let pending = self.requests.get(&request);
        pending.map_or(Micros(0), |pending| pending.deadline - now)
    }

    /// A request, to be changed.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&request)
    }

    /// The next deadline.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// The next end of a grace period.
    pub fn next_grace_end(&self) -> Option<Time> {
        self.grace_ends.front().map(|grace_end| grace_end.at)
    }

    /// Removes an attempt, if it is still in flight. An attempt has one outcome, so the result that
    /// it may report after it was cancelled is ignored.
    pub fn remove_attempt(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.requests
            .get_mut(&id.request)?
            .attempts
            .remove(&id.attempt)
    }

    /// Notes that the client has disconnected. Returns whether it was still owed a response.
    pub fn disconnect(&mut self, request: RequestId) -> bool {
        let pending = self.requests.get_mut(&request);
        pending.is_some_and(|pending| pending.reply.take().is_some())
    }

    /// Sends the final response to a request, if it is still owed, and settles it.
    pub fn respond(
        &mut self,
        request: RequestId,
        response: FinalResponse,
        now: Time,
        balancer: &mut BalancerHost,
    ) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.respond(response);
        }
        self.settle(request, now, balancer);
    }

    /// Settles a request: nobody waits for its response any more. Attempts that are not completely
    /// sent are aborted, because a backend starts to execute a request with its last byte. This
    /// applies even if the configuration does not allow attempts to be cancelled. The balancer
    /// decides about the other attempts.
    pub fn settle(&mut self, request: RequestId, now: Time, balancer: &mut BalancerHost) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.cancel_unsent_attempts(now, balancer);
        self.mark_if_finished(request);
    }

    /// Cancels an attempt for the balancer.
    pub fn cancel_attempt(&mut self, id: AttemptId, now: Time, balancer: &mut BalancerHost) {
        let Some(attempt) = self.remove_attempt(id) else {
            return;
        };
        let settled = !self.is_owed_response(id.request);
        balancer.report(attempt.abort(now, AbortReason::Cancelled, settled));
        self.mark_if_finished(id.request);
    }

    /// Ends the attempts in flight of the requests whose deadline has passed. A request that is
    /// still owed a response gets a grace period, in which the balancer responds to it.
    pub fn expire_deadlines(&mut self, now: Time, balancer: &mut BalancerHost) {
        while self.next_deadline().is_some_and(|at| at <= now) {
            let Some(DueTime { at, request }) = self.deadlines.pop_first() else {
                return;
            };
            let Some(pending) = self.requests.get_mut(&request) else {
                continue;
            };
            let settled = !pending.is_owed_response();
            for (_, attempt) in pending.attempts.drain() {
                balancer.report(attempt.abort(now, AbortReason::DeadlineExceeded, settled));
            }
            if !settled {
                self.grace_ends.push_back(DueTime {
                    at: at + self.grace_period,
                    request,
                });
            }
            self.mark_if_finished(request);
        }
    }

    /// Takes the next request whose grace period has ended without a response.
    pub fn pop_overdue(&mut self, now: Time) -> Option<RequestId> {
        while self.next_grace_end().is_some_and(|at| at <= now) {
            let DueTime { request, .. } = self.grace_ends.pop_front()?;
            if self.is_owed_response(request) {
                return Some(request);
            }
        }
        None
    }

    /// Drops the finished requests, at the end of a tick: only then has the balancer handled the
    /// events of their end. Before that it may dispatch another attempt, whose end must be reported
    /// under its own number. Otherwise the balancer would count that attempt as in flight forever.
    pub fn drop_finished(&mut self) {
        for request in self.finished.drain(..) {
            let pending = self.requests.get(&request);
            if !pending.is_some_and(PendingRequest::is_finished) {
                continue;
            }
            if let Some(removed) = self.requests.remove(&request) {
                self.deadlines.remove(&DueTime {
                    at: removed.deadline,
                    request,
                });
            }
        }
    }

    /// Fails all requests and aborts their attempts.
    pub fn fail_all(&mut self) {
        for (_, mut pending) in self.requests.drain() {
            for attempt in pending.attempts.values() {
                attempt.task.abort();
            }
            pending.respond(FinalResponse::Failed);
        }
        self.deadlines.clear();
        self.grace_ends.clear();
        self.finished.clear();
    }

    fn is_owed_response(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(PendingRequest::is_owed_response)
    }

    /// Marks a request to be dropped if it is settled and has no attempt in flight.
    fn mark_if_finished(&mut self, request: RequestId) {
        let pending = self.requests.get(&request);
        if pending.is_some_and(PendingRequest::is_finished) {
            self.finished.push(request);
        }
    }
}
