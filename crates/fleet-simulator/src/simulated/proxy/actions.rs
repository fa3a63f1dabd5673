//! Carries out the actions of the balancer.

use super::open_requests::InFlightAttempt;
use super::Proxy;
use crate::simulated::context::SharedContext;
use crate::simulated::messages::ProxyOutput;
use brookstack_balancer::{
    Action, AttemptEnd, AttemptNumber, BackendId, Event, Micros, Outcome, RequestId, Time,
};

impl Proxy {
    /// Carries out one action.
    pub(super) fn carry_out(&mut self, now: Time, action: Action, shared: &SharedContext) {
        match action {
            Action::Dispatch { request, backend } => self.dispatch(now, request, backend, shared),
            Action::Reject { request } => {
                self.counts.rejected += u64::from(self.requests.awaits_response(request));
                self.requests.mark_answered(request);
            }
            Action::Fail { request } => {
                self.counts.failed += u64::from(self.requests.awaits_response(request));
                self.requests.mark_answered(request);
            }
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt),
            Action::SetTimer { token, after } => self.timers.set(now + after, token),
            Action::WatchEndpoints => self.outputs.push(ProxyOutput::WatchEndpoints),
            // The model keeps one connection to each backend and ignores the balancer's limit.
            Action::LimitIdleConnections { .. } | Action::Log(_) => {}
        }
    }

    fn dispatch(&mut self, now: Time, request: RequestId, to: BackendId, shared: &SharedContext) {
        let backend = shared.backend_index.get(&to).copied();
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let number = open.next_attempt();
        let Some(backend) = backend.filter(|_| !open.is_answered) else {
            self.report_not_sent(request, number);
            return;
        };
        self.connections.record_attempt(now, backend, shared);
        open.in_flight.push(InFlightAttempt {
            number,
            sent_at: now,
            backend,
        });
        let is_first = number.0 == 0;
        let queue_delay = is_first.then(|| now - open.arrived_at);
        self.outputs.push(ProxyOutput::SendAttempt {
            key: self.attempt_key(request, number),
            backend,
            queue_delay,
        });
    }

    /// Reports to the balancer that an attempt was not sent. As in the real proxy, this happens if
    /// the request has had its final response in the same tick.
    fn report_not_sent(&mut self, request: RequestId, attempt: AttemptNumber) {
        self.next_tick_events.push(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome: Outcome::NotSent,
            latency: Micros(0),
            settled: true,
        }));
    }

    fn cancel(&mut self, now: Time, request: RequestId, attempt: AttemptNumber) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let Some(in_flight) = open.take_attempt(attempt) else {
            return;
        };
        let settled = open.is_answered;
        let key = self.attempt_key(request, attempt);
        self.outputs.push(ProxyOutput::CancelAttempt(key));
        self.next_tick_events.push(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome: Outcome::Cancelled,
            latency: now - in_flight.sent_at,
            settled,
        }));
        self.requests.remove_if_done(request);
    }
}
