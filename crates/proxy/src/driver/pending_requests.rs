//! The requests that wait for their response or have attempts in flight, and their deadlines.
//!
//! A request is settled when its client no longer waits for a response: the final response was
//! sent, or the client has disconnected.

use super::balancer_host::BalancerHost;
use super::in_flight_attempt::{AbortReason, InFlightAttempt};
use crate::forwarded_request::ForwardedRequest;
use crate::message::{AttemptId, FinalResponse, IncomingRequest};
use crate::open_ids::OpenId;
use brookstack_balancer::{AttemptNumber, ClassId, Micros, Outcome, RequestId, Time};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;

/// What is known of an attempt that has ended.
pub struct EndedAttempt {
    /// The outcome that was reported to the balancer.
    pub outcome: Outcome,
    /// Whether all bytes of the request were written to the socket.
    pub written_whole: bool,
}

/// A request that waits for its response or has attempts in flight.
pub struct PendingRequest {
    /// The traffic class.
    pub class: ClassId,
    /// The time at which the attempts in flight are aborted.
    pub deadline: Time,
    /// The request as it is sent to backends.
    pub forwarded: Rc<ForwardedRequest>,
    /// The channel for the final response. `None` after the response was sent or the client has
    /// disconnected.
    reply: Option<oneshot::Sender<FinalResponse>>,
    /// The attempts in flight.
    pub attempts: HashMap<AttemptNumber, InFlightAttempt>,
    /// The number of attempts that the balancer has dispatched so far.
    attempt_count: u32,
    /// Keeps the correlation identifier open; `None` when the request is finished.
    open_id: Option<Rc<OpenId>>,
    /// The attempts that have ended, in the order of their ends.
    pub ended_attempts: Vec<EndedAttempt>,
}

impl PendingRequest {
    /// Whether the client still waits for a response.
    pub fn awaits_response(&self) -> bool {
        self.reply.is_some()
    }

    /// Sends the final response, if the client still waits for it.
    pub fn respond(&mut self, response: FinalResponse) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(response);
        }
    }

    /// Returns the number for a new attempt and increments the count of attempts.
    pub fn next_attempt_number(&mut self) -> AttemptNumber {
        let number = AttemptNumber(self.attempt_count);
        self.attempt_count += 1;
        number
    }

    /// Records the end of an attempt that was in flight. `has_answered` tells whether its backend
    /// has answered with a whole response.
    pub fn record_end(&mut self, attempt: &InFlightAttempt, outcome: Outcome, has_answered: bool) {
        let written_whole = attempt.progress.is_complete();
        if written_whole && !has_answered && !outcome.not_executed() {
            self.record_uncertain_end();
        }
        self.ended_attempts.push(EndedAttempt {
            outcome,
            written_whole,
        });
    }

    /// Records that a backend may still work on an attempt that has ended for the proxy.
    fn record_uncertain_end(&self) {
        if let Some(open_id) = &self.open_id {
            open_id.record_uncertain_end(self.deadline);
        }
    }

    /// The number of attempts in flight whose request was written to the socket completely.
    pub fn sent_in_flight(&self) -> usize {
        let attempts = self.attempts.values();
        attempts
            .filter(|attempt| attempt.progress.is_complete())
            .count()
    }

    fn is_finished(&self) -> bool {
        self.reply.is_none() && self.attempts.is_empty()
    }

    /// Aborts the attempts that have not been sent completely.
    fn abort_unsent_attempts(&mut self, now: Time, balancer: &mut BalancerHost) {
        let (sent, unsent): (HashMap<_, _>, HashMap<_, _>) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|(_, attempt)| attempt.progress.is_complete());
        self.attempts = sent;
        for attempt in unsent.into_values() {
            balancer.report(attempt.abort(now, AbortReason::Cancelled, true));
        }
    }
}

/// A deadline of a request, or the end of its grace period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueTime {
    at: Time,
    request: RequestId,
}

/// All pending requests, with their deadlines and grace periods.
pub struct PendingRequests {
    /// The time after a deadline within which the balancer may still respond.
    grace_period: Micros,
    requests: HashMap<RequestId, PendingRequest>,
    deadlines: BTreeSet<DueTime>,
    /// The ends of the grace periods, for requests whose deadline has passed.
    grace_ends: VecDeque<DueTime>,
    /// The requests to drop after the next tick, unless another attempt was dispatched for them.
    finished: Vec<RequestId>,
}

impl PendingRequests {
    /// Creates an empty collection.
    pub fn new(grace_period: Micros) -> PendingRequests {
        PendingRequests {
            grace_period,
            requests: HashMap::new(),
            deadlines: BTreeSet::new(),
            grace_ends: VecDeque::new(),
            finished: Vec::new(),
        }
    }

    /// Whether there are neither requests nor deadlines.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.deadlines.is_empty()
    }

    /// The number of pending requests.
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
            class: incoming.class,
            deadline: incoming.deadline,
            forwarded: incoming.forwarded,
            reply: Some(incoming.reply),
            attempts: HashMap::new(),
            attempt_count: 0,
            open_id: Some(incoming.open_id),
            ended_attempts: Vec::new(),
        };
        self.requests.insert(incoming.id, pending);
    }

    /// The time until a request's deadline, or zero if the request is not pending.
    pub fn time_left(&self, request: RequestId, now: Time) -> Micros {
        let pending = self.requests.get(&request);
        pending.map_or(Micros(0), |pending| pending.deadline - now)
    }

    /// A pending request, or `None` if there is none with this id.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&request)
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// The earliest end of a grace period.
    pub fn next_grace_end(&self) -> Option<Time> {
        self.grace_ends.front().map(|grace_end| grace_end.at)
    }

    /// Removes an attempt if it is still in flight. An attempt has exactly one outcome, so a result
    /// that it reports after it was cancelled is ignored.
    pub fn remove_attempt(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.requests
            .get_mut(&id.request)?
            .attempts
            .remove(&id.attempt)
    }

    /// Records that the client has disconnected. Returns whether it still waited for a response.
    pub fn disconnect(&mut self, request: RequestId) -> bool {
        let pending = self.requests.get_mut(&request);
        pending.is_some_and(|pending| pending.reply.take().is_some())
    }

    /// Sends the final response to a request if the client still waits for it, and settles the
    /// request.
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

    /// Settles a request, whose client no longer waits for a response. Aborts the attempts that are
    /// not completely sent, even if the configuration does not allow attempts to be cancelled,
    /// because a backend starts to execute a request only when it gets the last byte. The balancer
    /// decides whether to cancel the other attempts. A request without attempts in flight is marked
    /// for removal.
    pub fn settle(&mut self, request: RequestId, now: Time, balancer: &mut BalancerHost) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.abort_unsent_attempts(now, balancer);
        self.mark_if_finished(request);
    }

    /// Cancels an attempt because the balancer requested it.
    pub fn cancel_attempt(&mut self, id: AttemptId, now: Time, balancer: &mut BalancerHost) {
        let Some(attempt) = self.remove_attempt(id) else {
            return;
        };
        let settled = !self.awaits_response(id.request);
        if let Some(pending) = self.requests.get_mut(&id.request) {
            let outcome = attempt.abort_outcome(AbortReason::Cancelled);
            pending.record_end(&attempt, outcome, false);
        }
        balancer.report(attempt.abort(now, AbortReason::Cancelled, settled));
        self.mark_if_finished(id.request);
    }

    /// Aborts the attempts of the requests whose deadline has passed. If the client still waits for
    /// a response, a grace period starts in which the balancer can respond.
    pub fn expire_deadlines(&mut self, now: Time, balancer: &mut BalancerHost) {
        while self.next_deadline().is_some_and(|at| at <= now) {
            let Some(DueTime { at, request }) = self.deadlines.pop_first() else {
                return;
            };
            let Some(pending) = self.requests.get_mut(&request) else {
                continue;
            };
            let settled = !pending.awaits_response();
            for attempt in std::mem::take(&mut pending.attempts).into_values() {
                let outcome = attempt.abort_outcome(AbortReason::DeadlineExceeded);
                pending.record_end(&attempt, outcome, false);
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

    /// Returns a request whose grace period has ended without a response. Each request is returned
    /// at most once, and it stays pending.
    pub fn pop_overdue(&mut self, now: Time) -> Option<RequestId> {
        while self.next_grace_end().is_some_and(|at| at <= now) {
            let DueTime { request, .. } = self.grace_ends.pop_front()?;
            if self.awaits_response(request) {
                return Some(request);
            }
        }
        None
    }

    /// Drops the finished requests. This is called at the end of a tick, when the balancer has
    /// handled the events of their end. Until then the balancer may dispatch another attempt, and
    /// the end of that attempt must be reported under its own number. Otherwise the balancer would
    /// count the attempt as in flight forever.
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
                pending.record_uncertain_end();
            }
            pending.respond(FinalResponse::Failed);
        }
        self.deadlines.clear();
        self.grace_ends.clear();
        self.finished.clear();
    }

    fn awaits_response(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(PendingRequest::awaits_response)
    }

    /// Marks a request for removal if it is settled and has no attempts in flight. No attempt of it
    /// is sent any more, so its identifier is closed.
    fn mark_if_finished(&mut self, request: RequestId) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if pending.is_finished() {
            pending.open_id = None;
            self.finished.push(request);
        }
    }
}
