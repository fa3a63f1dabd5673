//! Writes why a request may be rejected, and checks that none of its attempts may have been
//! executed.

use super::pending_requests::PendingRequest;
use crate::log_target;
use brookstack_balancer::{Class, Outcome, RequestId};

/// Writes each rejection and counts those that are not safe. A rejection tells the client that it
/// may send the request again.
pub struct RejectionLog {
    classes: Vec<Class>,
    unsafe_rejections: u64,
}

impl RejectionLog {
    /// Creates a log for requests of these classes.
    pub fn new(classes: Vec<Class>) -> RejectionLog {
        RejectionLog {
            classes,
            unsafe_rejections: 0,
        }
    }

    /// Writes the outcomes of the request's attempts, which have to show that the request was not
    /// executed. Writes an error if they do not and the request must not be repeated anywhere.
    pub fn write(&mut self, request: RequestId, pending: &PendingRequest) {
        let written = pending
            .ended_attempts
            .iter()
            .filter(|attempt| attempt.written_whole);
        let outcomes: Vec<Outcome> = pending
            .ended_attempts
            .iter()
            .map(|one| one.outcome)
            .collect();
        let in_flight = pending.sent_in_flight();
        let class = &self.classes[pending.class.0];
        tracing::debug!(
            target: log_target::REQUEST,
            request = request.0,
            written_whole = written.count() + in_flight,
            in_flight,
            ?outcomes,
            "request rejected"
        );
        let may_have_run = in_flight > 0 || !outcomes.iter().all(|outcome| outcome.not_executed());
        if may_have_run && !class.idempotency.is_repeatable_anywhere() {
            self.unsafe_rejections += 1;
            tracing::error!(
                target: log_target::REQUEST,
                request = request.0,
                ?outcomes,
                in_flight,
                total = self.unsafe_rejections,
                "a request that may have been executed was rejected"
            );
        }
    }
}
