//! Carries out the balancer's actions and checks with each of them that the balancer keeps its
//! guarantees.

use super::{PendingTimer, TestHost};
use crate::common::records::{AttemptRecord, Completion, RequestRecord};
use brookstack_balancer::*;

impl TestHost {
    /// Carries out an action and checks the guarantees that apply to it.
    pub(super) fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, backend } => self.dispatch(request, backend),
            Action::Reject { request } => self.reject(request),
            Action::Fail { request } => self.known_request(request).complete(Completion::Failed),
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
                    "polled discovery although updates are pushed"
                );
                self.polls += 1;
            }
            Action::Log(event) => self.logs.push(event),
        }
    }

    fn known_request(&mut self, request: RequestId) -> &mut RequestRecord {
        self.requests
            .get_mut(&request)
            .expect("the host knows the request of an action")
    }

    fn dispatch(&mut self, request: RequestId, backend: BackendId) {
        let endpoint = self
            .endpoints
            .get(&backend)
            .expect("the backend of a dispatch is in the endpoint list");
        self.check_dispatch(request, endpoint);
        let attempt = AttemptRecord::new(endpoint, self.now);
        self.known_request(request).attempts.push(attempt);
    }

    fn check_dispatch(&self, request: RequestId, endpoint: &Endpoint) {
        let record = self
            .requests
            .get(&request)
            .expect("the host knows the request of a dispatch");
        assert!(
            record.completion.is_none(),
            "dispatched a request after its final response"
        );
        assert_eq!(
            endpoint.state,
            BackendState::Ready,
            "dispatched to a draining or removed backend"
        );
        assert!(
            record.attempts.len() < self.config.max_attempts as usize,
            "dispatched more attempts than allowed"
        );
        let any_in_flight = record.attempts.iter().any(AttemptRecord::is_in_flight);
        assert!(
            self.config.hedging_allowed || !any_in_flight,
            "hedged a request although hedging is not allowed"
        );
        let idempotency = self.config.classes[record.class].idempotency;
        let earlier_attempts = record.attempts.iter();
        for attempt in earlier_attempts.filter(|attempt| attempt.may_have_executed()) {
            attempt.check_retry_is_safe(idempotency, endpoint, self.now);
        }
    }

    fn reject(&mut self, request: RequestId) {
        let record = self
            .requests
            .get_mut(&request)
            .expect("the host knows the request of a rejection");
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
            "cancelled an attempt although cancellation is not allowed"
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
