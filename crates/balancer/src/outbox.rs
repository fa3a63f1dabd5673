//! The outbox: the actions that the present event calls for, and the limit on log lines.

use crate::{Action, LogEvent, Micros, Time};

/// Shortest time between two lines to the log, whatever they say: two a second at most.
const LOG_INTERVAL: Micros = Micros(500_000);

/// The actions that the event at hand has called for so far, in order.
#[derive(Default)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    /// Until then events for the log are dropped.
    next_log_at: Time,
}

impl Outbox {
    /// Adds an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Reports an event to the operators' log, unless the last one was too short a time ago.
    pub fn log(&mut self, now: Time, event: LogEvent) {
        if now >= self.next_log_at {
            self.next_log_at = now + LOG_INTERVAL;
            self.push(Action::Log(event));
        }
    }

    /// Reports an event that is for tracing single requests. The limit on log lines does not hold:
    /// hosts write such events only where an operator asks for them.
    pub fn trace(&mut self, event: LogEvent) {
        self.push(Action::Log(event));
    }

    /// Moves the actions to the end of the host's list.
    pub fn drain_into(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}

#[cfg(test)]
mod tests;
