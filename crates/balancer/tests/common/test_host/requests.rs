//! Simulated clients and backends: sends requests, ends attempts and disconnects clients.

use super::TestHost;
use crate::common::records::{AttemptRecord, Completion, RequestRecord};
use brookstack_balancer::*;

impl TestHost {
    /// Sends a request of class 0 whose client gives up after `timeout`.
    pub fn send_request(&mut self, timeout: Micros) -> RequestId {
        self.send_request_of_class(0, timeout)
    }

    /// Sends a request of a class, given by its index.
    pub fn send_request_of_class(&mut self, class: usize, timeout: Micros) -> RequestId {
        self.send_request_of_tenant(class, timeout, None)
    }

    /// Sends a request of a class on behalf of a tenant.
    pub fn send_request_of_tenant(
        &mut self,
        class: usize,
        timeout: Micros,
        tenant: Option<TenantId>,
    ) -> RequestId {
        self.last_request_number += 1;
        let request = RequestId(self.last_request_number);
        let record = RequestRecord {
            class,
            deadline: self.now + timeout,
            attempts: Vec::new(),
            streaming: false,
            completion: None,
        };
        self.requests.insert(request, record);
        self.handle_event(Event::Request(Arrival {
            request,
            class: ClassId(class),
            tenant,
            time_left: timeout,
            work_hint: None,
            is_retry: self.requests_are_retries,
        }));
        request
    }

    /// Sends `count` requests of class 0 at the same time.
    pub fn send_burst(&mut self, count: usize, timeout: Micros) -> Vec<RequestId> {
        (0..count).map(|_| self.send_request(timeout)).collect()
    }

    /// Reports one event of each kind that refers to a request, attempt or timer, with the given
    /// ids, which the balancer may not know.
    pub fn send_events_about(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        token: TimerToken,
    ) {
        self.handle_event(Event::Timer { token });
        self.handle_event(Event::ClientDisconnected { request });
        self.handle_event(Event::StreamStarted { request, attempt });
        self.handle_event(Event::ResponseHeld { request, attempt });
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome: Outcome::Error,
            latency: Micros(5),
            settled: false,
        }));
    }

    /// Ends an attempt; does nothing if it was never dispatched or has already ended.
    pub fn end_attempt(&mut self, request: RequestId, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(in_flight) = record
            .attempts
            .get_mut(attempt)
            .filter(|a| a.is_in_flight())
        else {
            return;
        };
        in_flight.outcome = Some(outcome);
        let latency = now - in_flight.dispatched_at;
        if outcome == Outcome::Success && record.completion.is_none() {
            record.completion = Some(Completion::Served);
        }
        let settled = record.completion.is_some();
        let attempt = AttemptNumber(attempt as u32);
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency,
            settled,
        }));
    }

    /// Starts to stream an attempt's response if the attempt is in flight and the client is still
    /// waiting for a response.
    pub fn start_stream(&mut self, request: RequestId, attempt: usize) {
        let Some(record) = self
            .requests
            .get_mut(&request)
            .filter(|r| r.awaits_response())
        else {
            return;
        };
        if record
            .attempts
            .get(attempt)
            .is_some_and(AttemptRecord::is_in_flight)
        {
            record.streaming = true;
            let attempt = AttemptNumber(attempt as u32);
            self.handle_event(Event::StreamStarted { request, attempt });
        }
    }

    /// Disconnects the client of an open request.
    pub fn disconnect_client(&mut self, request: RequestId) {
        let record = self
            .requests
            .get_mut(&request)
            .expect("the host knows the request");
        record.completion = Some(Completion::ClientDisconnected);
        self.handle_event(Event::ClientDisconnected { request });
    }

    /// Advances the clock, then ends all attempts in flight successfully.
    pub fn serve_in_flight_after(&mut self, span: Micros) {
        self.advance(span);
        self.serve_in_flight();
    }

    /// Ends all attempts in flight successfully.
    pub fn serve_in_flight(&mut self) {
        for (request, attempt) in self.in_flight() {
            self.end_attempt(request, attempt, Outcome::Success);
        }
    }
}
