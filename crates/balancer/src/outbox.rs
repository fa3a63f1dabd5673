//! The outbox: the actions to return for the current event, and the rate limit on log lines.

use crate::{Action, LogEvent, Micros, Time};

/// Shortest time between two log lines of any kind: at most two lines per second are written.
const LOG_INTERVAL: Micros = Micros(500_000);

/// Collects the actions to return for the current event, in the order in which they are executed.
#[derive(Default)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    /// Log events before this time are dropped.
    next_log_at: Time,
}

impl Outbox {
    /// Adds an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Writes an event to the log. Drops it if the last one was less than [`LOG_INTERVAL`] ago.
    pub fn log(&mut self, now: Time, event: LogEvent) {
        if now >= self.next_log_at {
            self.next_log_at = now + LOG_INTERVAL;
            self.push(Action::Log(event));
        }
    }

    /// Moves the collected actions to the end of `actions`.
    pub fn drain_into(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}

#[cfg(test)]
mod tests;
