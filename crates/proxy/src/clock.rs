//! The balancer's time: Unix microseconds, as in the start times of backends.

use brookstack_balancer::{Micros, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Microseconds in a millisecond.
pub const MICROS_PER_MILLISECOND: u64 = 1_000;
/// The latest instant that [`Clock::instant`] returns lies this far ahead: one hour.
const MAX_AHEAD: Micros = Micros(3_600_000_000);

/// A clock that reads the system's time once and carries it on with the monotonic clock, so that a
/// correction of the system's time moves no deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// The system's time at `start`.
    start_time: Time,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            start_time: Time(since_epoch.as_micros() as u64),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.start_time + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// The instant of a time, for the runtime's timers. For a time that is more than an hour ahead
    /// it returns the instant an hour from now.
    pub fn instant(&self, time: Time) -> Instant {
        let latest = self.now() + MAX_AHEAD;
        let since_start = time.min(latest) - self.start_time;
        self.start + duration(since_start)
    }
}

/// A time span for the runtime's timers.
pub fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
