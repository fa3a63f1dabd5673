//! The source of the balancer's time, which is Unix time in microseconds. The start times of
//! backends use the same time scale.

use brookstack_balancer::{Micros, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Microseconds in a millisecond.
pub const MICROS_PER_MILLISECOND: u64 = 1_000;
/// The furthest that an instant returned by [`Clock::instant`] lies in the future: one hour.
const MAX_AHEAD: Micros = Micros(3_600_000_000);

/// A clock that reads the system time once and then advances with the monotonic clock, so that
/// corrections of the system time do not move deadlines.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// The system time at `start`.
    start_time: Time,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            start_time: Time(since_epoch.as_micros() as u64),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.start_time + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time to an instant for the runtime's timers. A time more than one hour in the
    /// future is converted to the instant one hour from now.
    pub fn instant(&self, time: Time) -> Instant {
        let latest = self.now() + MAX_AHEAD;
        let since_start = time.min(latest) - self.start_time;
        self.start + duration(since_start)
    }
}

/// Converts a time span to a duration for the runtime's timers.
pub fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
