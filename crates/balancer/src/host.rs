//! What the hosts of a balancer have in common: the queue of its timers, and how long it may take
//! to respond.

use crate::{Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Ticks after a request's deadline within which the balancer may still respond. Its timers expire
/// one tick late at most.
pub const RESPONSE_GRACE_TICKS: u64 = 2;

/// A timer that has not expired. The order of the fields is the order of expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    expires_at: Time,
    token: TimerToken,
}

/// The timers that a balancer has set with [`Action::SetTimer`](crate::Action::SetTimer).
///
/// It owns the timers that have not expired. It takes the time as an argument. Timers expire in the
/// order of their times; those with the same time expire in the order of their tokens.
#[derive(Clone, Debug, Default)]
pub struct TimerQueue {
    pending: BinaryHeap<Reverse<Timer>>,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&mut self, expires_at: Time, token: TimerToken) {
        self.pending.push(Reverse(Timer { expires_at, token }));
    }

    /// When the next timer expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.pending.peek().map(|Reverse(timer)| timer.expires_at)
    }

    /// Takes the next timer that has expired.
    pub fn pop_expired(&mut self, now: Time) -> Option<TimerToken> {
        if self.next_expiry()? > now {
            return None;
        }
        let Reverse(timer) = self.pending.pop()?;
        Some(timer.token)
    }

    /// Drops all timers.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

#[cfg(test)]
mod tests;
