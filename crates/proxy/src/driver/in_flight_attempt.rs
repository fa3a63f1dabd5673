//! An attempt that runs in its own task, and the guard that reports its end.

use crate::attempt::{Attempt, SendProgress};
use crate::backend_response::AttemptResult;
use crate::message::{AttemptId, DriverEvent};
use brookstack_balancer::{AttemptEnd, Event, Micros, Outcome, Time};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Why the driver aborts an attempt.
#[derive(Clone, Copy, Debug)]
pub enum AbortReason {
    /// The balancer cancelled the attempt, or the client no longer waits for the response.
    Cancelled,
    /// The request's deadline has passed.
    DeadlineExceeded,
}

impl AbortReason {
    /// The outcome of an attempt that is aborted for this reason. If no byte was sent
    /// (`has_started` is false), the attempt was not executed.
    fn outcome(self, has_started: bool) -> Outcome {
        match (self, has_started) {
            (AbortReason::Cancelled, true) => Outcome::Cancelled,
            (AbortReason::Cancelled, false) => Outcome::NotSent,
            (AbortReason::DeadlineExceeded, true) => Outcome::TimedOut,
            // A connection that was not established by the deadline counts as failed.
            (AbortReason::DeadlineExceeded, false) => Outcome::ConnectFailed,
        }
    }
}

/// An attempt whose end has not been reported to the balancer.
pub struct InFlightAttempt {
    /// The attempt's identifier.
    pub id: AttemptId,
    /// The time at which the balancer dispatched the attempt.
    pub dispatched_at: Time,
    /// How much of the request has been sent.
    pub progress: Rc<SendProgress>,
    /// When the response arrived, if it is held back.
    pub response_held_at: Option<Time>,
    /// Aborts the task that runs the attempt.
    pub task: AbortHandle,
}

impl InFlightAttempt {
    /// Starts an attempt in a local task that sends the attempt's end to the driver.
    pub fn start(dispatched_at: Time, attempt: Attempt) -> InFlightAttempt {
        let id = attempt.id;
        let progress = attempt.progress.clone();
        let mut guard = AttemptGuard {
            events: attempt.events.clone(),
            id,
            reported: false,
        };
        let task = tokio::task::spawn_local(async move {
            let result = attempt.run().await;
            guard.report(result);
        });
        InFlightAttempt {
            id,
            dispatched_at,
            progress,
            response_held_at: None,
            task: task.abort_handle(),
        }
    }

    /// The balancer's event for an attempt that ended with a result. `settled` tells whether the
    /// client no longer waits for a response to the request.
    pub fn finished(&self, now: Time, result: &AttemptResult, settled: bool) -> Event {
        self.ended(now, result.outcome, settled)
    }

    fn ended(&self, now: Time, outcome: Outcome, settled: bool) -> Event {
        Event::AttemptEnded(AttemptEnd {
            request: self.id.request,
            attempt: self.id.attempt,
            outcome,
            latency: self.response_held_at.unwrap_or(now) - self.dispatched_at,
            settled,
        })
    }

    /// Aborts the attempt and returns the balancer's event for its end.
    pub fn abort(self, now: Time, reason: AbortReason, settled: bool) -> Event {
        self.task.abort();
        self.ended(now, self.abort_outcome(reason), settled)
    }

    /// The outcome of the attempt if it is aborted now.
    pub fn abort_outcome(&self, reason: AbortReason) -> Outcome {
        if self.response_held_at.is_some() {
            // The backend has responded in time.
            return Outcome::Cancelled;
        }
        reason.outcome(self.progress.has_started())
    }
}

/// The balancer's event for an attempt that was dispatched but not started.
pub fn not_sent(id: AttemptId, settled: bool) -> Event {
    Event::AttemptEnded(AttemptEnd {
        request: id.request,
        attempt: id.attempt,
        outcome: Outcome::NotSent,
        latency: Micros(0),
        settled,
    })
}

/// Ensures that the end of an attempt is reported to the driver. If the task panics, the attempt is
/// reported as reset, because the request may have been executed. A task that the driver aborts
/// also reports a reset, which the driver ignores.
struct AttemptGuard {
    events: mpsc::UnboundedSender<DriverEvent>,
    id: AttemptId,
    reported: bool,
}

impl AttemptGuard {
    fn report(&mut self, result: AttemptResult) {
        self.reported = true;
        let ended = DriverEvent::AttemptEnded(self.id, result);
        let _ = self.events.send(ended);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.reported {
            self.report(Outcome::Reset.into());
        }
    }
}
