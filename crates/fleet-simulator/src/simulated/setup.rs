//! The setup of the run of a fleet.

use super::scenario::Scenario;
use serde::Serialize;

/// The time from the start of a run to its measurement window, s.
pub const WARM_UP_SECS: f64 = 4.0;

/// Faults that tests inject into the environment of the proxies, to show that the checks detect
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FaultInjection {
    /// The factor by which backends are slower than their machine type.
    pub slowdown: f64,
    /// Backends that are warming up tolerate only this fraction of the load that the settings
    /// allow.
    #[serde(rename = "frailty")]
    pub overload_tolerance: f64,
    /// Whether discovery sends no changes to watches.
    #[serde(rename = "mute")]
    pub watch_updates_suppressed: bool,
    /// The percentage of the backends that are hidden at the start: only one proxy in ten has them
    /// in its first endpoint list.
    #[serde(rename = "hidden")]
    pub hidden_percent: usize,
}

impl Default for FaultInjection {
    fn default() -> FaultInjection {
        FaultInjection {
            slowdown: 1.0,
            overload_tolerance: 1.0,
            watch_updates_suppressed: false,
            hidden_percent: 0,
        }
    }
}

/// The parameters of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Setup {
    /// The scenario.
    pub scenario: Scenario,
    /// The number of proxies.
    pub proxies: u32,
    /// The number of backends.
    pub backends: usize,
    /// Requests per second and proxy, on average over all proxies.
    #[serde(rename = "per_s")]
    pub requests_per_second: f64,
    /// The ratio of the request rate at every tenth proxy to the rate at the others.
    pub skew: f64,
    /// The simulated time, s. Its first [`WARM_UP_SECS`] are not measured.
    #[serde(rename = "secs")]
    pub duration_secs: f64,
    /// The time that discovery takes to serve a call, ms.
    #[serde(rename = "call_ms")]
    pub discovery_call_ms: f64,
    /// The number of backends that are replaced per second, in the scenario [`Scenario::Calm`].
    #[serde(rename = "churn_per_s")]
    pub replacements_per_second: f64,
    /// The number of backends in the rack that fails.
    #[serde(rename = "rack")]
    pub rack_size: usize,
    /// The setting `limits.conn_idle_us` of the proxies, converted to seconds: the time after which
    /// backends close an idle connection. The proxies close it after 75 % of this time.
    #[serde(rename = "conn_idle_secs")]
    pub connection_idle_secs: f64,
    /// By how much the balancer's objective decreases if every request crosses zones once.
    #[serde(rename = "cross_zone")]
    pub cross_zone_cost: f64,
    /// The seed of the random number generators.
    pub seed: u64,
    /// Faults of the environment that the settings of the proxies do not account for.
    #[serde(rename = "flaws")]
    pub faults: FaultInjection,
}

impl Setup {
    /// The rate at one proxy, in requests per second.
    pub(super) fn requests_per_second_of(&self, proxy: u32) -> f64 {
        // Every tenth proxy, the first among them, gets `skew` times as many requests as the
        // others. The mean over all proxies does not depend on `skew`.
        let busy_proxies = f64::from(self.proxies.div_ceil(10));
        let other_proxies = f64::from(self.proxies) - busy_proxies;
        let base = f64::from(self.proxies) / (other_proxies + busy_proxies * self.skew);
        let factor = if proxy % 10 == 0 { self.skew } else { 1.0 };
        self.requests_per_second * base * factor
    }
}
