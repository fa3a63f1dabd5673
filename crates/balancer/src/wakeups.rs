//! Wake-ups: when the balancer has something to do without an event, and the timer that the host is
//! asked for.

use crate::{Action, Micros, Time, TimerToken};

/// When something is next to be done without an event, and the pending timer.
///
/// It owns both. The host may have several timers, of which only the newest counts.
pub(crate) struct Wakeups {
    next_wakeup: Time,
    /// The token of the newest timer; timers with older tokens are ignored.
    newest_token: TimerToken,
    /// The wake-up that the pending timer is for; `None` if no timer is pending. The timer may
    /// expire up to a tick after it.
    pending_wakeup: Option<Time>,
}

impl Wakeups {
    /// The first wake-up is due at once.
    pub fn new() -> Wakeups {
        Wakeups {
            next_wakeup: Time(0),
            newest_token: TimerToken(0),
            pending_wakeup: None,
        }
    }

    /// Sees to it that the balancer is called at that time at the latest.
    pub fn wake_by(&mut self, at: Time) {
        self.next_wakeup = self.next_wakeup.min(at);
    }

    /// Records that a timer has expired; returns whether it counts.
    pub fn accept_timer(&mut self, token: TimerToken) -> bool {
        let is_newest = token == self.newest_token;
        if is_newest {
            self.pending_wakeup = None;
        }
        is_newest
    }

    /// Whether a wake-up is due; if so, it counts as done.
    pub fn take_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_wakeup;
        if is_due {
            self.next_wakeup = Time::NEVER;
        }
        is_due
    }

    /// Sets a timer for the next wake-up and returns the action for the host. `None` if the pending
    /// timer is early enough or no wake-up is scheduled. No timer is shorter than a tick.
    pub fn arm_timer(&mut self, now: Time, tick: Micros) -> Option<Action> {
        let is_covered = self.pending_wakeup.is_some_and(|at| at <= self.next_wakeup);
        if is_covered || self.next_wakeup == Time::NEVER {
            return None;
        }
        self.newest_token = TimerToken(self.newest_token.0 + 1);
        self.pending_wakeup = Some(self.next_wakeup);
        Some(Action::SetTimer {
            token: self.newest_token,
            after: (self.next_wakeup - now).max(tick),
        })
    }
}

#[cfg(test)]
mod tests;
