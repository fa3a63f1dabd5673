//! The results of the run of a fleet.

use super::backends::OutcomeCounts;
use super::cold_start::ColdStartStatistics;
use super::discovery::DiscoveryStatistics;
use super::load::LoadStatistics;
use super::proxy::RequestCounts;
use super::setup::Setup;
use serde::Serialize;

/// The number of attempts on backends that take no new requests, sent by proxies that should have
/// known the backend's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LateAttempts {
    /// Attempts sent more than 0.5 s after the proxy was notified of the state.
    #[serde(rename = "after_told")]
    pub after_notification: u64,
    /// Attempts sent more than 6.5 s after the proxy could have been notified: a proxy has to be
    /// notified within 6 s, and has 0.5 s to react.
    #[serde(rename = "after_clock")]
    pub after_deadline: u64,
}

/// The result of one check, which compares a measured value with its bound.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Check {
    /// The name of the check.
    pub name: &'static str,
    /// Whether the measured value is within its bound.
    #[serde(rename = "holds")]
    pub passed: bool,
    /// The measured value.
    #[serde(rename = "got")]
    pub measured: f64,
    /// The bound.
    pub bound: f64,
}

impl Check {
    /// A check that the measured value does not exceed its bound.
    pub(super) fn at_most(name: &'static str, measured: f64, bound: f64) -> Check {
        Check {
            name,
            passed: measured <= bound,
            measured,
            bound,
        }
    }

    /// A check that the measured value is not below its bound.
    pub(super) fn at_least(name: &'static str, measured: f64, bound: f64) -> Check {
        Check {
            name,
            passed: measured >= bound,
            measured,
            bound,
        }
    }
}

/// The results of a run. The same setup gives the same results on any number of threads.
#[derive(Clone, Debug, Serialize)]
pub struct FleetResults {
    /// The setup of the run.
    pub setup: Setup,
    /// The number of requests by outcome.
    pub requests: RequestCounts,
    /// The number of requests without a final response at the end of the run.
    pub open_at_end: u64,
    /// The median latency of requests that were served in the measurement window, from arrival to
    /// response, ms.
    pub latency_p50_ms: f64,
    /// The 99th percentile of the latency, ms.
    pub latency_p99_ms: f64,
    /// The median queue delay in the measurement window, from the arrival of a request to its first
    /// attempt, ms. It includes the wait for the next tick, which is up to 5 ms.
    #[serde(rename = "held_p50_ms")]
    pub queue_delay_p50_ms: f64,
    /// The 99th percentile of the queue delay, ms.
    #[serde(rename = "held_p99_ms")]
    pub queue_delay_p99_ms: f64,
    /// The number of attempts by outcome.
    pub outcomes: OutcomeCounts,
    /// How the load was spread over backends, proxies and connections.
    pub load: LoadStatistics,
    /// The load on backends that were warming up.
    #[serde(rename = "cold")]
    pub cold_starts: ColdStartStatistics,
    /// Calls to discovery, and how long changes took to reach the proxies.
    #[serde(rename = "told")]
    pub discovery: DiscoveryStatistics,
    /// Attempts on backends that take no new requests, sent by proxies that should have known it.
    #[serde(rename = "late")]
    pub late_attempts: LateAttempts,
    /// The checks of these results.
    pub checks: Vec<Check>,
}

impl FleetResults {
    /// The fraction of the requests that were served. Requests that are still open, or that were
    /// interrupted by a restart of their proxy, are not counted.
    pub fn served_fraction(&self) -> f64 {
        let left_out = self.requests.interrupted + self.open_at_end;
        let ended = self.requests.arrived.saturating_sub(left_out);
        self.requests.served as f64 / ended.max(1) as f64
    }
}
