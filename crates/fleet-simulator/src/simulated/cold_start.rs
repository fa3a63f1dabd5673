//! Counts the attempts on backends that are warming up. Such backends tolerate less load than warm
//! ones.

use super::backend::{Backend, CORES};
use crate::topology::{MACHINE_TYPES, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MICROS};
use brookstack_balancer::{BackendState, Micros, Time};
use serde::Serialize;

/// Statistics of the load on backends that were warming up.
///
/// Attempts are counted over a sliding overload window. The budget N is the number of attempts in
/// the window above which, according to the settings, such a backend is overloaded. Arrivals are
/// random, so proxies that keep to the budget on average exceed it at times. The bound is therefore
/// `N + 2 * sqrt(N) + 2`: two standard deviations of a Poisson variable above the budget, and 2
/// more for small budgets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ColdStartStatistics {
    /// The number of backends that received attempts while they were warming up.
    pub backends: usize,
    /// The number of attempts that exceeded the bound of their window.
    #[serde(rename = "over")]
    pub attempts_over_bound: u64,
    /// The number of attempts in the worst window: the one with the highest ratio of attempts to
    /// bound.
    #[serde(rename = "worst_requests")]
    pub worst_window_attempts: usize,
    /// The budget N of the worst window.
    #[serde(rename = "worst_budget")]
    pub worst_window_budget: f64,
    /// The attempts of the worst window as a fraction of its bound.
    #[serde(rename = "worst_part_of_bound")]
    pub worst_fraction_of_bound: f64,
}

/// Counts the attempts on backends that are warming up.
pub struct ColdStartMonitor {
    /// An injected fault: such backends tolerate only this fraction of the load that the settings
    /// allow. 1 means no fault.
    overload_tolerance: f64,
    statistics: ColdStartStatistics,
    /// For each backend, whether it received an attempt while it was warming up.
    seen: Vec<bool>,
}

impl ColdStartMonitor {
    /// A monitor for the given number of backends.
    pub fn new(backends: usize, overload_tolerance: f64) -> ColdStartMonitor {
        ColdStartMonitor {
            overload_tolerance,
            statistics: ColdStartStatistics::default(),
            seen: vec![false; backends],
        }
    }

    /// Records an attempt that arrives at a backend. Ignores backends that are warm or take no new
    /// requests.
    pub fn record(&mut self, now: Time, number: u32, backend: &mut Backend) {
        let warmup_fraction = backend.warmup_fraction(now);
        if warmup_fraction >= 1.0 || backend.state != BackendState::Ready {
            return;
        }
        let seen = &mut self.seen[number as usize];
        if !*seen {
            *seen = true;
            self.statistics.backends += 1;
        }
        let recent = &mut backend.recent_attempts;
        recent.retain(|at| now - *at < Micros(OVERLOAD_WINDOW_MICROS));
        recent.push_back(now);
        let attempts = recent.len();
        let budget = self.budget(backend.machine_type, warmup_fraction);
        let bound = budget + 2.0 * budget.sqrt() + 2.0;
        let fraction = attempts as f64 / bound;
        self.statistics.attempts_over_bound += u64::from(fraction > 1.0);
        if fraction > self.statistics.worst_fraction_of_bound {
            self.statistics.worst_fraction_of_bound = fraction;
            self.statistics.worst_window_attempts = attempts;
            self.statistics.worst_window_budget = budget;
        }
    }

    /// The number of attempts within an overload window that a backend tolerates, given its machine
    /// type and its current fraction of its full capacity.
    fn budget(&self, machine_type: usize, warmup_fraction: f64) -> f64 {
        let full_speed = self.overload_tolerance * CORES / MACHINE_TYPES[machine_type].service_secs;
        OVERLOAD_MULTIPLE * warmup_fraction * full_speed * OVERLOAD_WINDOW_MICROS as f64 / 1e6
    }

    /// The statistics so far.
    pub fn statistics(&self) -> ColdStartStatistics {
        self.statistics
    }
}
