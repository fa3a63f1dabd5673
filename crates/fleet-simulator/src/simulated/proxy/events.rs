//! Converts the arrivals, inputs and timeouts since the last tick of a proxy to events of the
//! balancer.

use super::inbox::ArrivedInput;
use super::open_requests::Deadline;
use super::{Proxy, CLIENT_TIMEOUT};
use crate::simulated::messages::{ProxyInput, ProxyOutput};
use brookstack_balancer::{
    Arrival, AttemptEnd, AttemptNumber, ClassId, Event, Micros, Outcome, RequestId, Time,
    RESPONSE_GRACE_TICKS,
};

impl Proxy {
    /// Converts due arrivals of requests and due inputs to events, in order of time.
    pub(super) fn take_inputs(&mut self, now: Time, events: &mut Vec<Event>) {
        loop {
            let next_input_at = self.inbox.next_at().unwrap_or(Time(u64::MAX));
            let next_arrival = self.clients.next_arrival();
            if next_input_at.min(next_arrival) > now {
                return;
            }
            if next_arrival < next_input_at {
                events.push(self.arrival(now));
            } else if let Some(ArrivedInput { at, input }) = self.inbox.pop() {
                events.extend(self.input_event(at, input));
            } else {
                return;
            }
        }
    }

    fn arrival(&mut self, now: Time) -> Event {
        let request = self.clients.next_request();
        self.counts.arrived += 1;
        let client_deadline = self.requests.insert(request, CLIENT_TIMEOUT);
        Event::Request(Arrival {
            request: request.id,
            class: ClassId(0),
            tenant: None,
            time_left: client_deadline - now,
            work_hint: None,
            is_retry: false,
        })
    }

    fn input_event(&mut self, at: Time, input: ProxyInput) -> Option<Event> {
        match input {
            ProxyInput::AttemptEnded {
                request,
                attempt,
                outcome,
            } => self.attempt_ended(at, request, attempt, outcome),
            ProxyInput::EndpointsUpdated { update, endpoints } => Some(Event::EndpointsUpdated {
                update,
                endpoints: endpoints.to_vec(),
            }),
        }
    }

    /// The event for the end of an attempt; `None` if the proxy no longer tracks the attempt,
    /// because it was cancelled or has timed out.
    fn attempt_ended(
        &mut self,
        at: Time,
        request: RequestId,
        attempt: AttemptNumber,
        outcome: Outcome,
    ) -> Option<Event> {
        let open = self.requests.get_mut(request)?;
        let in_flight = open.take_attempt(attempt)?;
        if outcome == Outcome::Success && !open.is_answered {
            open.is_answered = true;
            self.counts.served += 1;
            let latency = at - open.arrived_at;
            self.outputs.push(ProxyOutput::RequestServed { latency });
        }
        let settled = open.is_answered;
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Reset) {
            self.connections.close(in_flight.backend);
        }
        self.requests.remove_if_done(request);
        Some(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency: at - in_flight.sent_at,
            settled,
        }))
    }

    /// Ends the attempts of requests whose client deadline has passed. The balancer has to give the
    /// final response to such a request within [`RESPONSE_GRACE_TICKS`] after the deadline.
    pub(super) fn time_out_requests(&mut self, now: Time, events: &mut Vec<Event>) {
        while let Some(Deadline { at, request }) = self.requests.pop_client_deadline(now) {
            let Some(open) = self.requests.get_mut(request) else {
                continue;
            };
            let settled = open.is_answered;
            for attempt in std::mem::take(&mut open.in_flight) {
                events.push(Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt: attempt.number,
                    outcome: Outcome::TimedOut,
                    latency: now - attempt.sent_at,
                    settled,
                }));
                let key = self.attempt_key(request, attempt.number);
                self.outputs.push(ProxyOutput::CancelAttempt(key));
            }
            if !settled {
                let grace = Micros(RESPONSE_GRACE_TICKS * self.config.tick.0);
                self.requests.push_response_deadline(Deadline {
                    at: at + grace,
                    request,
                });
            }
            self.requests.remove_if_done(request);
        }
    }

    /// Converts expired timers to events.
    pub(super) fn take_expired_timers(&mut self, now: Time, events: &mut Vec<Event>) {
        while let Some(token) = self.timers.pop_expired(now) {
            events.push(Event::Timer { token });
        }
    }

    /// Closes requests to which the balancer has given no final response in time. The balancer is
    /// notified in the next tick, as if their clients had disconnected.
    pub(super) fn close_unanswered_requests(&mut self, now: Time) {
        while let Some(Deadline { request, .. }) = self.requests.pop_response_deadline(now) {
            if self.requests.awaits_response(request) {
                self.counts.unanswered += 1;
                self.next_tick_events
                    .push(Event::ClientDisconnected { request });
                self.requests.mark_answered(request);
            }
        }
    }
}
