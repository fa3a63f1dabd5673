//! Counts the attempts on backends that are warming up, which bear less load than warm ones.

use super::backend::{Backend, CORES};
use crate::world::{MACHINE_TYPES, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MICROS};
use brookstack_balancer::{BackendState, Micros, Time};
use serde::Serialize;

/// The heaviest load of backends that were warming up.
///
/// Attempts are counted over a sliding overload window. The budget N is the number of attempts in
/// the window above which, by the settings, such a backend is overloaded. Arrivals are random, so
/// proxies that keep to the budget on average exceed it at times. The bound is therefore
/// `N + 2 * sqrt(N) + 2`: two standard deviations of a Poisson number above the budget, and 2 more
/// for small budgets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ColdStartFigures {
    /// Backends that got attempts while they were warming up.
    pub backends: usize,
    /// Attempts that arrived when the window held more than the bound.
    #[serde(rename = "over")]
    pub attempts_over_bound: u64,
    /// Attempts in the worst window: the one with the largest number of attempts over its bound.
    #[serde(rename = "worst_requests")]
    pub worst_window_attempts: usize,
    /// The budget N of the worst window.
    #[serde(rename = "worst_budget")]
    pub worst_window_budget: f64,
    /// The attempts of the worst window as a fraction of its bound.
    #[serde(rename = "worst_part_of_bound")]
    pub worst_fraction_of_bound: f64,
}

/// Observes the attempts on backends that are warming up.
pub struct ColdStartMonitor {
    /// An injected fault: such backends bear only this fraction of the load that the settings
    /// allow. 1 is no fault.
    fragility: f64,
    figures: ColdStartFigures,
    /// For each backend, whether it got an attempt while it was warming up.
    seen: Vec<bool>,
}

impl ColdStartMonitor {
    /// A monitor of this many backends.
    pub fn new(backends: usize, fragility: f64) -> ColdStartMonitor {
        ColdStartMonitor {
            fragility,
            figures: ColdStartFigures::default(),
            seen: vec![false; backends],
        }
    }

    /// Records an attempt that reaches a backend. Nothing is recorded for a backend that is warm or
    /// takes no requests.
    pub fn record(&mut self, now: Time, number: u32, backend: &mut Backend) {
        let warmup_fraction = backend.warmup_fraction(now);
        if warmup_fraction >= 1.0 || backend.state != BackendState::Ready {
            return;
        }
        let seen = &mut self.seen[number as usize];
        if !*seen {
            *seen = true;
            self.figures.backends += 1;
        }
        let recent = &mut backend.recent_attempts;
        recent.retain(|at| now - *at < Micros(OVERLOAD_WINDOW_MICROS));
        recent.push_back(now);
        let attempts = recent.len();
        let budget = self.budget(backend.machine_type, warmup_fraction);
        let bound = budget + 2.0 * budget.sqrt() + 2.0;
        let fraction = attempts as f64 / bound;
        self.figures.attempts_over_bound += u64::from(fraction > 1.0);
        if fraction > self.figures.worst_fraction_of_bound {
            self.figures.worst_fraction_of_bound = fraction;
            self.figures.worst_window_attempts = attempts;
            self.figures.worst_window_budget = budget;
        }
    }

    /// The number of attempts within an overload window that a backend of that machine type bears.
    fn budget(&self, machine_type: usize, warmup_fraction: f64) -> f64 {
        let full_speed = self.fragility * CORES / MACHINE_TYPES[machine_type].service_secs;
        OVERLOAD_MULTIPLE * warmup_fraction * full_speed * OVERLOAD_WINDOW_MICROS as f64 / 1e6
    }

    /// What was counted so far.
    pub fn figures(&self) -> ColdStartFigures {
        self.figures
    }
}
