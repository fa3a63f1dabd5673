//! The test host's records of requests and their attempts.

use brookstack_balancer::*;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A backend's response was returned to the client.
    Served,
    /// The balancer rejected the request.
    Rejected,
    /// The balancer failed the request.
    Failed,
    /// The client disconnected before it received a final response.
    ClientDisconnected,
}

/// An attempt that the balancer dispatched.
#[derive(Clone)]
pub struct AttemptRecord {
    /// The backend that it was dispatched to.
    pub backend: BackendId,
    /// The backend's zone.
    pub zone: ZoneId,
    /// The backend's cell.
    pub cell: CellId,
    /// When it was dispatched.
    pub dispatched_at: Time,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl AttemptRecord {
    /// Records an attempt that is dispatched at `now`.
    pub fn new(endpoint: &Endpoint, now: Time) -> AttemptRecord {
        AttemptRecord {
            backend: endpoint.id,
            zone: endpoint.zone,
            cell: endpoint.cell,
            dispatched_at: now,
            outcome: None,
        }
    }

    /// Whether the attempt has not ended yet.
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether the backend may have executed the attempt: no outcome proves the opposite.
    pub fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.not_executed())
    }

    /// Checks that a retry on the backend `next` is safe. The backend of this attempt may have
    /// executed it.
    pub fn check_retry_is_safe(&self, idempotency: Idempotency, next: &Endpoint, now: Time) {
        match idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => panic!("a non-idempotent request was dispatched twice"),
            Idempotency::IdempotencyKey { scope, window } => {
                let key_expires_at = self.dispatched_at + window;
                assert!(
                    now <= key_expires_at,
                    "an idempotency key was reused after its window"
                );
                let in_scope = match scope {
                    KeyScope::All => true,
                    KeyScope::Zone => self.zone == next.zone,
                    KeyScope::Cell => self.cell == next.cell,
                };
                assert!(in_scope, "an idempotency key was reused outside its scope");
            }
        }
    }
}

/// A request that the host reported to the balancer.
pub struct RequestRecord {
    /// Index of its traffic class.
    pub class: usize,
    /// When the client gives up.
    pub deadline: Time,
    /// Its attempts, in the order of dispatch.
    pub attempts: Vec<AttemptRecord>,
    /// Whether a response is being streamed to the client.
    pub streaming: bool,
    /// How it ended; `None` while it is open.
    pub completion: Option<Completion>,
}

impl RequestRecord {
    /// Whether the client is still waiting for the start of a response.
    pub fn awaits_response(&self) -> bool {
        self.completion.is_none() && !self.streaming
    }

    /// Whether a backend may have executed one of the attempts.
    pub fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::may_have_executed)
    }

    /// Records the final response and checks that it is the only one.
    pub fn complete(&mut self, completion: Completion) {
        let earlier = self.completion.replace(completion);
        assert!(earlier.is_none(), "a request got two final responses");
    }
}
