//! What the hosts of a balancer have in common: the queue of its timers, and how long it may take
//! to respond.

use crate::{Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Ticks after a request's deadline in which the balancer may still respond: its timers expire a
/// tick late at most.
pub const RESPONSE_GRACE_TICKS: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    expires_at: Time,
    token: TimerToken,
}

/// The timers that a balancer has set with [`Action::SetTimer`](crate::Action::SetTimer), in the
/// order of their expiry; of those that expire at the same time, in the order of their tokens.
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
        self.next_expiry().filter(|expiry| *expiry <= now)?;
        self.pending.pop().map(|Reverse(timer)| timer.token)
    }

    /// Drops all timers.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
