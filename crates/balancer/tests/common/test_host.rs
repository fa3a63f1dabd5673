//! A host for one balancer: it carries out the balancer's actions and checks the balancer's
//! guarantees as it goes.

use super::builders::backends_across_zones;
use super::records::{AttemptRecord, Completion, RequestRecord};
use brookstack_balancer::*;
use std::collections::BTreeMap;

/// How long after its deadline a request may still lack a final response.
const RESPONSE_TOLERANCE: Micros = Micros(16_000);

/// The seed of a host's balancer where a test gives none.
const DEFAULT_SEED: u64 = 11;

/// A timer that the balancer has set.
pub struct PendingTimer {
    due_at: Time,
    token: TimerToken,
}

/// A host for one balancer on a simulated clock.
///
/// An attempt is named by its request and by its number within the request, from 0 in the order of
/// dispatch.
pub struct TestHost {
    /// The balancer's configuration.
    pub config: Config,
    /// The balancer under test.
    pub balancer: Balancer,
    /// The simulated clock.
    pub now: Time,
    /// The endpoint list as last updated.
    pub endpoints: BTreeMap<BackendId, Endpoint>,
    /// All requests so far.
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Timers that have not fired.
    pub timers: Vec<PendingTimer>,
    /// How often the balancer has polled discovery.
    pub polls: u32,
    /// The present limit on idle connections.
    pub idle_connection_limit: u32,
    /// Attempts that the balancer has cancelled and whose end is still to be reported.
    pub cancelled: Vec<(RequestId, usize)>,
    /// What the balancer has reported to the log so far.
    pub logs: Vec<LogEvent>,
    /// The actions that the last event caused.
    pub last_actions: Vec<Action>,
    /// Whether new requests are marked as a client's retries.
    pub requests_are_retries: bool,
    last_request_number: u64,
}

impl TestHost {
    /// A host whose balancer has no endpoint list yet.
    pub fn new(config: Config, seed: u64) -> TestHost {
        let balancer = Balancer::new(config.clone(), seed).expect("a valid configuration");
        TestHost {
            config,
            balancer,
            now: Time(1_000_000_000),
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            polls: 0,
            idle_connection_limit: u32::MAX,
            cancelled: Vec::new(),
            logs: Vec::new(),
            last_actions: Vec::new(),
            requests_are_retries: false,
            last_request_number: 0,
        }
    }

    /// A host whose balancer has received a snapshot of this endpoint list.
    pub fn with_endpoints(config: Config, endpoints: Vec<Endpoint>) -> TestHost {
        TestHost::with_seed(config, DEFAULT_SEED, endpoints)
    }

    /// As [`TestHost::with_endpoints`], with a seed for the balancer's random generator.
    pub fn with_seed(config: Config, seed: u64, endpoints: Vec<Endpoint>) -> TestHost {
        let mut host = TestHost::new(config, seed);
        host.update_endpoints(EndpointUpdate::Snapshot, endpoints);
        host
    }

    /// One of a hundred proxies in front of sixty backends in two zones: it sees little of any
    /// backend.
    pub fn one_of_a_hundred_proxies() -> TestHost {
        let config = Config {
            proxy_count: 100,
            zone_count: 2,
            ..Config::example()
        };
        TestHost::with_seed(config, 5, backends_across_zones(60, 2))
    }

    /// Reports an event to the balancer and carries out the actions that it returns.
    pub fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.last_actions = actions.clone();
        for action in actions {
            self.apply(action);
        }
    }

    /// Reports an update of the endpoint list.
    pub fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            for endpoint in self.endpoints.values_mut() {
                endpoint.state = BackendState::Removed;
            }
        }
        for endpoint in &endpoints {
            self.endpoints.insert(endpoint.id, endpoint.clone());
        }
        self.handle_event(Event::EndpointsUpdated { update, endpoints });
    }

    /// Reports how a watch goes on, without any entries of the endpoint list.
    pub fn update_watch(&mut self, update: EndpointUpdate) {
        self.handle_event(Event::EndpointsUpdated {
            update,
            endpoints: Vec::new(),
        });
    }

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

    /// Sends so many requests of class 0 at once.
    pub fn send_burst(&mut self, count: usize, timeout: Micros) -> Vec<RequestId> {
        (0..count).map(|_| self.send_request(timeout)).collect()
    }

    /// Reports one event of each sort that names a request, attempt or timer, with ids that the
    /// balancer may not know.
    pub fn send_events_about(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        token: TimerToken,
    ) {
        self.handle_event(Event::Timer { token });
        self.handle_event(Event::ClientDisconnected { request });
        self.handle_event(Event::StreamStarted { request, attempt });
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome: Outcome::Error,
            latency: Micros(5),
            settled: false,
        }));
    }

    /// Ends an attempt; does nothing if it was not dispatched or has ended.
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

    /// Begins to stream an attempt's response, if the attempt is in flight and the client still
    /// waits for one.
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
        let record = self.requests.get_mut(&request).expect("a known request");
        record.completion = Some(Completion::ClientDisconnected);
        self.handle_event(Event::ClientDisconnected { request });
    }

    /// Lets time pass tick by tick: timers fire and attempts time out when due, and every deadline
    /// is checked.
    pub fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + self.config.tick).min(until);
            self.fire_due_timers();
            self.end_cancelled_attempts();
            self.time_out_attempts();
            self.check_deadlines();
        }
    }

    /// Lets time pass, then serves everything that is in flight.
    pub fn serve_in_flight_after(&mut self, span: Micros) {
        self.advance(span);
        self.serve_in_flight();
    }

    /// Serves everything that is in flight.
    pub fn serve_in_flight(&mut self) {
        for (request, attempt) in self.in_flight() {
            self.end_attempt(request, attempt, Outcome::Success);
        }
    }

    /// The attempts in flight, in the order of their requests.
    pub fn in_flight(&self) -> Vec<(RequestId, usize)> {
        let mut in_flight = Vec::new();
        for (request, record) in &self.requests {
            for (attempt, _) in record
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, a)| a.is_in_flight())
            {
                in_flight.push((*request, attempt));
            }
        }
        in_flight
    }

    /// An attempt that has been dispatched.
    pub fn attempt(&self, request: RequestId, attempt: usize) -> &AttemptRecord {
        &self.requests[&request].attempts[attempt]
    }

    /// How long ago an attempt was dispatched.
    pub fn attempt_age(&self, request: RequestId, attempt: usize) -> Micros {
        self.now - self.attempt(request, attempt).dispatched_at
    }

    /// The backends that a request's attempts were dispatched to, in this order.
    pub fn backends_of(&self, request: RequestId) -> Vec<u32> {
        self.requests[&request]
            .attempts
            .iter()
            .map(|attempt| attempt.backend.0 as u32)
            .collect()
    }

    /// How a request came to its end; `None` while it is open.
    pub fn completion(&self, request: RequestId) -> Option<Completion> {
        self.requests[&request].completion
    }

    /// How many of these requests came to this end.
    pub fn count_completed(&self, requests: &[RequestId], completion: Completion) -> usize {
        requests
            .iter()
            .filter(|request| self.completion(**request) == Some(completion))
            .count()
    }

    fn fire_due_timers(&mut self) {
        let timers = std::mem::take(&mut self.timers);
        let (due, pending): (Vec<_>, Vec<_>) = timers
            .into_iter()
            .partition(|timer| timer.due_at <= self.now);
        self.timers = pending;
        for PendingTimer { token, .. } in due {
            self.handle_event(Event::Timer { token });
        }
    }

    fn end_cancelled_attempts(&mut self) {
        for (request, attempt) in std::mem::take(&mut self.cancelled) {
            self.end_attempt(request, attempt, Outcome::Cancelled);
        }
    }

    fn time_out_attempts(&mut self) {
        for (request, attempt) in self.in_flight() {
            let record = &self.requests[&request];
            if record.deadline <= self.now && !record.streaming {
                self.end_attempt(request, attempt, Outcome::TimedOut);
            }
        }
    }

    fn check_deadlines(&self) {
        for (request, record) in &self.requests {
            let in_time = self.now < record.deadline + RESPONSE_TOLERANCE;
            assert!(
                !record.awaits_response() || in_time,
                "no final response in time for {request:?}"
            );
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, backend } => self.dispatch(request, backend),
            Action::Reject { request } => self.reject(request),
            Action::Fail { request } => self.open_request(request).complete(Completion::Failed),
            Action::Cancel { request, attempt } => self.cancel(request, attempt),
            Action::SetTimer { token, after } => {
                self.timers.push(PendingTimer {
                    due_at: self.now + after,
                    token,
                });
            }
            Action::LimitIdleConnections { max_idle } => self.idle_connection_limit = max_idle,
            Action::WatchEndpoints => {
                assert_ne!(
                    self.config.discovery,
                    DiscoveryMode::Push,
                    "polled though updates are pushed"
                );
                self.polls += 1;
            }
            Action::Log(event) => self.logs.push(event),
        }
    }

    fn open_request(&mut self, request: RequestId) -> &mut RequestRecord {
        self.requests.get_mut(&request).expect("a known request")
    }

    fn dispatch(&mut self, request: RequestId, backend: BackendId) {
        let record = self
            .requests
            .get_mut(&request)
            .expect("dispatch of a known request");
        assert!(
            record.completion.is_none(),
            "dispatched after the final response"
        );
        let endpoint = self
            .endpoints
            .get(&backend)
            .expect("dispatch to a listed backend");
        assert_eq!(
            endpoint.state,
            BackendState::Ready,
            "dispatched to a draining or removed backend"
        );
        assert!(
            record.attempts.len() < self.config.max_attempts as usize,
            "too many attempts"
        );
        let any_in_flight = record.attempts.iter().any(AttemptRecord::is_in_flight);
        assert!(
            self.config.hedging_allowed || !any_in_flight,
            "hedged though hedging is not allowed"
        );
        let idempotency = self.config.classes[record.class].idempotency;
        for earlier in record
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_executed())
        {
            earlier.check_retry_is_safe(idempotency, endpoint, self.now);
        }
        record.attempts.push(AttemptRecord::new(endpoint, self.now));
    }

    fn reject(&mut self, request: RequestId) {
        let record = self.requests.get_mut(&request).expect("a known request");
        let safe_to_repeat = matches!(
            self.config.classes[record.class].idempotency,
            Idempotency::Idempotent
                | Idempotency::IdempotencyKey {
                    scope: KeyScope::All,
                    ..
                }
        );
        assert!(
            safe_to_repeat || !record.may_have_executed(),
            "rejected a request that may have been executed"
        );
        record.complete(Completion::Rejected);
    }

    fn cancel(&mut self, request: RequestId, attempt: AttemptNumber) {
        assert!(
            self.config.cancellation_allowed,
            "cancelled though cancellation is not allowed"
        );
        let attempt = attempt.0 as usize;
        let dispatched = self.requests[&request].attempts.len();
        assert!(
            attempt < dispatched,
            "cancelled an attempt that was never dispatched"
        );
        self.cancelled.push((request, attempt));
    }
}
