//! What all simulated proxies read and none of them changes.

use brookstack_balancer::{BackendId, Micros, Time};
use std::collections::HashMap;

/// The numbers of backends by their id in the balancer.
pub type BackendIndex = HashMap<BackendId, u32>;

/// The time over which figures are counted, in two equal halves.
#[derive(Clone, Copy, Debug)]
pub struct MeasurementWindow {
    /// Its first moment.
    pub start: Time,
    /// The first moment of its second half.
    pub middle: Time,
    /// The first moment after it.
    pub end: Time,
}

impl MeasurementWindow {
    /// The window between two moments.
    pub fn new(start: Time, end: Time) -> MeasurementWindow {
        MeasurementWindow {
            start,
            middle: start + Micros((end - start).0 / 2),
            end,
        }
    }

    /// Which half of the window a time falls into, 0 or 1; `None` outside the window.
    pub fn half(&self, at: Time) -> Option<usize> {
        if at < self.start || at >= self.end {
            None
        } else if at < self.middle {
            Some(0)
        } else {
            Some(1)
        }
    }

    /// Whether a time falls into the window.
    pub fn contains(&self, at: Time) -> bool {
        self.half(at).is_some()
    }

    /// Its length, s.
    pub fn secs(&self) -> f64 {
        (self.end - self.start).secs()
    }
}

/// What all proxies read during their tick.
pub struct SharedContext {
    /// The numbers of backends by their id.
    pub backend_index: BackendIndex,
    /// A proxy closes a connection that has been idle for this long.
    pub connection_idle_timeout: Micros,
    /// The time over which figures are counted.
    pub window: MeasurementWindow,
}
