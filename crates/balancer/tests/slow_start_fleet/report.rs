//! The results of a simulation.

use crate::scenario::{Scenario, FAULT_AT, OVERLOAD_WINDOW, SLOW_START_DURATION};
use brookstack_balancer::{Micros, Time};

/// An attempt that was dispatched to a backend.
pub struct Dispatch {
    /// When it was dispatched.
    pub at: Time,
    /// Its work, in multiples of a mean request.
    pub work: f64,
}

/// The results of a simulation.
#[derive(Debug)]
pub struct Report {
    /// The most work in an overload window at any backend in slow start, as a multiple of the
    /// tolerated work. Above 1 the backend is overloaded.
    pub worst_overload: f64,
    /// Number of backends that were overloaded.
    pub overloaded: usize,
    /// Work sent to the backends in slow start, as a fraction of the work that the settings allow.
    pub quota_used: f64,
    /// Fraction of the requests after the fault that were served in time.
    pub served_in_time: f64,
}

impl Report {
    /// Evaluates the dispatches to the backends in slow start. `dispatches` has a list for each
    /// backend.
    pub fn new(scenario: &Scenario, dispatches: &[Vec<Dispatch>], served_in_time: f64) -> Report {
        let mut report = Report {
            worst_overload: 0.0,
            overloaded: 0,
            quota_used: 0.0,
            served_in_time,
        };
        let mut total_work = 0.0;
        for dispatches in &dispatches[..scenario.restarted_backends as usize] {
            let during_slow_start = FAULT_AT..FAULT_AT + SLOW_START_DURATION;
            let dispatches: Vec<&Dispatch> = dispatches
                .iter()
                .filter(|dispatch| during_slow_start.contains(&dispatch.at))
                .collect();
            total_work += dispatches.iter().map(|dispatch| dispatch.work).sum::<f64>();
            let overload = worst_overload(scenario, &dispatches);
            report.worst_overload = report.worst_overload.max(overload);
            report.overloaded += usize::from(overload > 1.0);
        }
        report.quota_used =
            total_work / (allowed_work(scenario) * f64::from(scenario.restarted_backends));
        report
    }
}

/// The most work in an overload window, as a multiple of the tolerated work. This is N + 2 sqrt(N)
/// + 2 with the overload limit N, which allows for random variation.
fn worst_overload(scenario: &Scenario, dispatches: &[&Dispatch]) -> f64 {
    let mut worst: f64 = 0.0;
    let mut window_start = 0;
    let mut window_work = 0.0;
    for dispatch in dispatches {
        window_work += dispatch.work;
        while dispatches[window_start].at + OVERLOAD_WINDOW <= dispatch.at {
            window_work -= dispatches[window_start].work;
            window_start += 1;
        }
        let limit = scenario.overload_limit(dispatch.at - FAULT_AT);
        worst = worst.max(window_work / (limit + 2.0 * limit.sqrt() + 2.0));
    }
    worst
}

/// The work that the settings allow for one backend during its slow start.
fn allowed_work(scenario: &Scenario) -> f64 {
    let windows = SLOW_START_DURATION.0 / OVERLOAD_WINDOW.0;
    let middle = |window: u64| Micros(window * OVERLOAD_WINDOW.0 + OVERLOAD_WINDOW.0 / 2);
    (0..windows)
        .map(|window| scenario.overload_limit(middle(window)))
        .sum()
}
