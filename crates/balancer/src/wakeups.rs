//! Wake-ups: the next time at which the balancer must run even if no event arrives, and the timer
//! that the host sets for it.

use crate::{Action, Micros, Time, TimerToken};

/// The time of the next wake-up, and the pending timer.
///
/// Timers cannot be cancelled: the host may have several pending timers, of which only the newest
/// has an effect.
pub(crate) struct Wakeups {
    /// When the balancer must run next; [`Time::NEVER`] if no wake-up is scheduled.
    next_wakeup: Time,
    /// The token of the newest timer; older timers are ignored when they expire.
    newest_token: TimerToken,
    /// The wake-up for which the pending timer was set; `None` if no timer is pending. The timer
    /// may expire up to one tick after this time.
    pending_wakeup: Option<Time>,
}

impl Wakeups {
    /// Schedules the first wake-up, which is due immediately.
    pub fn new() -> Wakeups {
        Wakeups {
            next_wakeup: Time(0),
            newest_token: TimerToken(0),
            pending_wakeup: None,
        }
    }

    /// Schedules a wake-up at `at` or earlier.
    pub fn wake_by(&mut self, at: Time) {
        self.next_wakeup = self.next_wakeup.min(at);
    }

    /// Records that a timer has expired. Returns whether it is the newest one; all others are to be
    /// ignored.
    pub fn accept_timer(&mut self, token: TimerToken) -> bool {
        let is_newest = token == self.newest_token;
        if is_newest {
            self.pending_wakeup = None;
        }
        is_newest
    }

    /// Whether a wake-up is due. If so, clears it.
    pub fn take_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_wakeup;
        if is_due {
            self.next_wakeup = Time::NEVER;
        }
        is_due
    }

    /// Returns the action that sets a timer for the next wake-up, or `None` if the pending timer
    /// expires early enough or no wake-up is scheduled. No timer is shorter than `tick`.
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
