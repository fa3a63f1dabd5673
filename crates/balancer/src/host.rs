//! Helpers for hosts, the programs that run a balancer: a queue for the balancer's timers, and the
//! time that the balancer may take for the final response to a request.

use crate::{Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Number of ticks after a request's deadline within which the balancer may still give the final
/// response: its timers expire up to one tick late.
pub const RESPONSE_GRACE_TICKS: u64 = 2;

/// A pending timer. The derived order, by time and then by token, is the order of expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    expires_at: Time,
    token: TimerToken,
}

/// The pending timers that a balancer has set with [`Action::SetTimer`](crate::Action::SetTimer).
///
/// Timers expire in the order of their times; timers with the same time expire in the order of
/// their tokens.
#[derive(Clone, Debug, Default)]
pub struct TimerQueue {
    pending: BinaryHeap<Reverse<Timer>>,
}

impl TimerQueue {
    /// Adds a timer that expires at `expires_at`.
    pub fn set(&mut self, expires_at: Time, token: TimerToken) {
        self.pending.push(Reverse(Timer { expires_at, token }));
    }

    /// When the next timer expires; `None` if no timer is pending.
    pub fn next_expiry(&self) -> Option<Time> {
        self.pending.peek().map(|Reverse(timer)| timer.expires_at)
    }

    /// Removes the next timer that has expired by `now` and returns its token; `None` if there is
    /// none.
    pub fn pop_expired(&mut self, now: Time) -> Option<TimerToken> {
        if self.next_expiry()? > now {
            return None;
        }
        let Reverse(timer) = self.pending.pop()?;
        Some(timer.token)
    }

    /// Removes all timers.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

#[cfg(test)]
mod tests;
