//! Dispatching the attempts of waiting requests, and giving requests their final response.

use super::Balancer;
use crate::admission::{prompt_latency, Timeliness};
use crate::requests::{QueuedRequest, Request};
use crate::retry::{is_in_last_tick, RetryPolicy};
use crate::routing::Picker;
use crate::{Action, AttemptNumber, BackendId, RequestId, Time};

/// The number of a request's first attempt.
const FIRST_ATTEMPT: AttemptNumber = AttemptNumber(0);

/// What to do with a waiting request.
enum DispatchDecision {
    /// Send an attempt to this backend.
    Send(BackendId),
    /// Keep the request in the queue: the concurrency limits of this proxy are reached, or no
    /// backend is available for the request.
    NoCapacity,
    /// Send no attempt: the time left, the retry budget or the retry policy does not allow one.
    NotAllowed,
}

impl Balancer {
    /// Offers the waiting requests to the backends, in the order of
    /// [`QueuedRequest::sending_order`].
    pub(super) fn send_queued(&mut self, now: Time) {
        if self.queue.is_empty_or_blocked() {
            return;
        }
        for queued in self.take_queued() {
            if self.queue.is_blocked(&queued) {
                // A first attempt of the same or a higher priority found no capacity. Trying this
                // one as well would only cost CPU time.
                self.queue.push(queued.id);
            } else {
                self.send_or_give_up(now, queued.id);
            }
        }
    }

    /// Takes all requests out of the queue and sorts them into the order of sending.
    fn take_queued(&mut self) -> Vec<QueuedRequest> {
        let densities = self.admission.densities(&self.config, &self.latencies);
        let mut queued = Vec::new();
        for id in self.queue.take_all() {
            if let Some(request) = self.requests.get(id) {
                let density = densities[request.class.0];
                queued.push(QueuedRequest::new(id, request, density));
            }
        }
        queued.sort_by(QueuedRequest::sending_order);
        queued
    }

    /// Dispatches an attempt of a request, queues the request again or gives it up.
    fn send_or_give_up(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let is_in_flight = request.is_in_flight();
        match self.decide_dispatch(now, id) {
            DispatchDecision::Send(backend) => self.dispatch(now, id, backend),
            DispatchDecision::NoCapacity => self.requeue(id),
            DispatchDecision::NotAllowed if !is_in_flight => self.give_up(id),
            // The attempt in flight may still succeed.
            DispatchDecision::NotAllowed => {}
        }
    }

    /// Decides what to do with a waiting request.
    fn decide_dispatch(&mut self, now: Time, id: RequestId) -> DispatchDecision {
        let Some(request) = self.requests.get(id) else {
            return DispatchDecision::NotAllowed;
        };
        let has_budget = !request.needs_retry_budget() || self.retry_budget.is_available();
        let retry_policy = RetryPolicy::new(&self.config, request);
        let is_too_late = is_in_last_tick(now, &self.config, request);
        if is_too_late || !has_budget || !retry_policy.allows_attempt(now) {
            return DispatchDecision::NotAllowed;
        }
        let in_flight = self.count_in_flight();
        if !self.concurrency.allow(in_flight, request.weight.priority()) {
            return DispatchDecision::NoCapacity;
        }
        let picker = Picker::new(
            now,
            &self.config,
            &self.backends,
            request,
            &self.latencies,
            &self.discovery_watch,
        );
        match picker.pick(&mut self.rng) {
            Some(backend) => DispatchDecision::Send(backend),
            None => DispatchDecision::NoCapacity,
        }
    }

    fn dispatch(&mut self, now: Time, id: RequestId, backend_id: BackendId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(backend) = self.backends.get_mut(backend_id) else {
            return;
        };
        let class = request.class;
        if request.needs_retry_budget() {
            self.retry_budget.withdraw();
        }
        let work = self.latencies.relative_work(class);
        backend.record_dispatch(now, work, self.config.overload_window);
        self.requests.record_dispatch(now, id, backend.endpoint());
        let baseline = self.backends.baseline_latency(backend_id);
        let prompt_latency = prompt_latency(&self.latencies, baseline, class);
        self.wakeups.wake_by(now + prompt_latency);
        self.outbox.push(Action::Dispatch {
            request: id,
            backend: backend_id,
        });
    }

    /// Queues a request again after it found no capacity. If this was for its first attempt, also
    /// blocks other first attempts of the same or a lower priority.
    fn requeue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(id).filter(|request| request.is_unsent()) {
            self.queue.block_up_to_priority_of(request);
        }
        self.queue.push(id);
    }

    /// Hedges or replaces the only attempt of a request, which is in flight and probably lost.
    /// Where hedging is allowed, queues the request for a second attempt. Otherwise cancels the
    /// first attempt, so that a retry can follow. Does nothing if the retry policy forbids it.
    pub(super) fn hedge_or_replace(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let retry_policy = RetryPolicy::new(&self.config, request);
        if self.config.hedging_allowed {
            if retry_policy.allows_attempt(now) && !self.queue.contains(id) {
                self.queue.push(id);
            }
        } else if retry_policy.allows_replacement() {
            self.outbox.push(Action::Cancel {
                request: id,
                attempt: FIRST_ATTEMPT,
            });
        }
    }

    /// Rejects or fails a request that will not be served, and closes it.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let retry_policy = RetryPolicy::new(&self.config, request);
        let response = if retry_policy.is_client_retry_safe() {
            Action::Reject { request: id }
        } else {
            Action::Fail { request: id }
        };
        self.outbox.push(response);
        self.close_with_final_response(id, Timeliness::Missed);
    }

    /// Records the final response of a request and closes the request.
    pub(super) fn close_with_final_response(&mut self, id: RequestId, timeliness: Timeliness) {
        if let Some(request) = self.requests.get(id) {
            self.admission
                .record_final_response(request.class, timeliness);
        }
        self.close_request(id);
    }

    /// Removes a request. Cancels its attempts in flight if the configuration allows that;
    /// otherwise they continue until the host reports their end.
    pub(super) fn close_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        self.queue.remove(id);
        if self.config.cancellation_allowed {
            self.cancel_attempts(id, &request);
        }
    }

    fn cancel_attempts(&mut self, id: RequestId, request: &Request) {
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.in_flight {
                self.outbox.push(Action::Cancel {
                    request: id,
                    attempt: AttemptNumber(number as u32),
                });
            }
        }
    }

    /// The time before which the host must begin to send the newest attempt of a request, as of
    /// `now`: the end of the use of the endpoint list, or the time after which backends may have
    /// forgotten the request's idempotency key and could execute the request twice. `None` if there
    /// is no limit.
    pub fn send_by(&self, now: Time, request: RequestId) -> Option<Time> {
        let list_limit = self.list_evidence(now).send_by();
        let request = self.requests.get(request);
        let key_limit = request.and_then(|it| RetryPolicy::new(&self.config, it).send_by());
        list_limit.into_iter().chain(key_limit).min()
    }
}
