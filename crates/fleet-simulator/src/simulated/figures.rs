//! The figures of a fleet's run.

use super::backends::OutcomeCounts;
use super::cold_start::ColdStartFigures;
use super::discovery::DiscoveryFigures;
use super::load::Load;
use super::proxy::RequestCounts;
use super::setup::Setup;
use serde::Serialize;

/// Attempts on backends that take no new requests, by proxies that should have known it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LateAttempts {
    /// Sent more than 0.5 s after the proxy was notified.
    #[serde(rename = "after_told")]
    pub after_notification: u64,
    /// Sent more than 6.5 s after the proxy could have been notified: 6 s until it has to be
    /// notified, and 0.5 s to react.
    #[serde(rename = "after_clock")]
    pub after_deadline: u64,
}

/// The result of one check: a figure against its bound.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Check {
    /// What is checked.
    pub name: &'static str,
    /// Whether the figure is within its bound.
    #[serde(rename = "holds")]
    pub passed: bool,
    /// The figure.
    #[serde(rename = "got")]
    pub measured: f64,
    /// Its bound.
    pub bound: f64,
}

impl Check {
    /// A figure that may not exceed its bound.
    pub(super) fn at_most(name: &'static str, measured: f64, bound: f64) -> Check {
        Check {
            name,
            passed: measured <= bound,
            measured,
            bound,
        }
    }

    /// A figure that may not fall below its bound.
    pub(super) fn at_least(name: &'static str, measured: f64, bound: f64) -> Check {
        Check {
            name,
            passed: measured >= bound,
            measured,
            bound,
        }
    }
}

/// All figures of a run. The same setup gives the same figures on any number of threads.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// What was run.
    pub setup: Setup,
    /// What became of requests.
    pub requests: RequestCounts,
    /// Requests that were still open at the end.
    pub open_at_end: u64,
    /// From arrival to answer, of served requests, ms: median.
    pub latency_p50_ms: f64,
    /// The same, 99th percentile, ms.
    pub latency_p99_ms: f64,
    /// From arrival to the first attempt, ms: median. The wait for the next tick, of up to 5 ms, is
    /// part of it.
    #[serde(rename = "held_p50_ms")]
    pub queue_delay_p50_ms: f64,
    /// The same, 99th percentile, ms.
    #[serde(rename = "held_p99_ms")]
    pub queue_delay_p99_ms: f64,
    /// How attempts ended.
    pub outcomes: OutcomeCounts,
    /// The load of backends.
    pub load: Load,
    /// The load of backends that were warming up.
    #[serde(rename = "cold")]
    pub cold_starts: ColdStartFigures,
    /// Discovery, and how long changes took to reach proxies.
    #[serde(rename = "told")]
    pub discovery: DiscoveryFigures,
    /// Attempts on backends that take no new requests, by proxies that should have known it.
    #[serde(rename = "late")]
    pub late_attempts: LateAttempts,
    /// The checks of these figures.
    pub checks: Vec<Check>,
}

impl Figures {
    /// The fraction of requests that were served. Requests that are still open, or that were
    /// interrupted by a restart of their proxy, are left out.
    pub fn served_fraction(&self) -> f64 {
        let left_out = self.requests.interrupted + self.open_at_end;
        let ended = self.requests.arrived.saturating_sub(left_out);
        self.requests.served as f64 / ended.max(1) as f64
    }
}
