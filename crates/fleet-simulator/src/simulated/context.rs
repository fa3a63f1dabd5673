//! The read-only context that all simulated proxies share during a tick.

use brookstack_balancer::{BackendId, Micros, Time};
use std::collections::HashMap;

/// Maps the id of a backend in the balancer to its number in the simulation.
pub type BackendIndex = HashMap<BackendId, u32>;

/// The time span in which loads and latencies are measured, divided into two equal halves.
#[derive(Clone, Copy, Debug)]
pub struct MeasurementWindow {
    /// Its start.
    pub start: Time,
    /// The start of its second half.
    pub middle: Time,
    /// Its end, which is no longer part of it.
    pub end: Time,
}

impl MeasurementWindow {
    /// The window from `start` up to, but not including, `end`.
    pub fn new(start: Time, end: Time) -> MeasurementWindow {
        MeasurementWindow {
            start,
            middle: start + Micros((end - start).0 / 2),
            end,
        }
    }

    /// The half of the window that contains the time `at`, 0 or 1; `None` outside the window.
    pub fn half(&self, at: Time) -> Option<usize> {
        if at < self.start || at >= self.end {
            None
        } else if at < self.middle {
            Some(0)
        } else {
            Some(1)
        }
    }

    /// Whether the window contains the time `at`.
    pub fn contains(&self, at: Time) -> bool {
        self.half(at).is_some()
    }

    /// Its length, s.
    pub fn secs(&self) -> f64 {
        (self.end - self.start).secs()
    }
}

/// The data that all proxies read during their tick.
pub struct SharedContext {
    /// Maps the id of a backend in the balancer to its number.
    pub backend_index: BackendIndex,
    /// The time after which a proxy closes an idle connection.
    pub connection_idle_timeout: Micros,
    /// The measurement window.
    pub window: MeasurementWindow,
}
