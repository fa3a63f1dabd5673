//! The simulated clock: fires timers, times out attempts and checks deadlines.

use super::{PendingTimer, TestHost};
use brookstack_balancer::*;

/// The longest time after its deadline for which a request may still be without a response.
const RESPONSE_TOLERANCE: Micros = Micros(16_000);

impl TestHost {
    /// Advances the clock tick by tick. At each tick, fires the due timers, ends cancelled and
    /// overdue attempts, and checks all deadlines.
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
                "{request:?} has no response after its deadline"
            );
        }
    }
}
