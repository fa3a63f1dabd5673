//! Points in time and time spans, in whole microseconds. Sums and differences saturate instead of
//! overflowing.

use std::ops::{Add, Sub};

const MICROS_PER_SECOND: f64 = 1e6;

/// A point in time, in microseconds of the host's clock. The origin of the clock is arbitrary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A span of time in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl Time {
    /// The latest representable time, which stands for "never".
    pub const NEVER: Time = Time(u64::MAX);
}

impl Add<Micros> for Time {
    type Output = Time;

    fn add(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Time {
    type Output = Micros;

    /// The span from `earlier` to this time; zero if `earlier` is later than this time.
    fn sub(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Micros {
    /// A span of `secs` seconds, rounded down to whole microseconds; zero if `secs` is negative.
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * MICROS_PER_SECOND) as u64)
    }

    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// The span multiplied by `factor`, rounded down to whole microseconds; zero if `factor` is
    /// negative.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

#[cfg(test)]
mod tests;
