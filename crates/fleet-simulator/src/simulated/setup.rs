//! What a run of a fleet is set up with.

use super::scenario::Scenario;
use serde::Serialize;

/// Seconds before the measurement window.
pub const WARM_UP_SECS: f64 = 4.0;

/// Faults that tests inject into the world, to show that a check of the figures fails.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FaultInjection {
    /// Backends are this many times slower than their machine type says.
    pub slowdown: f64,
    /// Backends that warm up bear this fraction of the load that the settings allow.
    #[serde(rename = "frailty")]
    pub fragility: f64,
    /// Discovery sends nothing to watches.
    #[serde(rename = "mute")]
    pub unresponsive_discovery: bool,
    /// This many of a hundred backends are hidden at the start: only one proxy in ten has them in
    /// its first list.
    #[serde(rename = "hidden")]
    pub hidden_percent: usize,
}

impl Default for FaultInjection {
    fn default() -> FaultInjection {
        FaultInjection {
            slowdown: 1.0,
            fragility: 1.0,
            unresponsive_discovery: false,
            hidden_percent: 0,
        }
    }
}

/// What is run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Setup {
    /// The scenario.
    pub scenario: Scenario,
    /// How many proxies there are.
    pub proxies: u32,
    /// How many backends there are.
    pub backends: usize,
    /// Requests a second at a proxy, on average over all proxies.
    #[serde(rename = "per_s")]
    pub requests_per_second: f64,
    /// One proxy in ten gets this many times as many requests as the others.
    pub skew: f64,
    /// Simulated seconds, warm-up included.
    #[serde(rename = "secs")]
    pub duration_secs: f64,
    /// The time that discovery takes to serve a call, ms.
    #[serde(rename = "call_ms")]
    pub discovery_call_ms: f64,
    /// Backends replaced a second, in the scenario [`Scenario::Calm`].
    #[serde(rename = "churn_per_s")]
    pub replacements_per_second: f64,
    /// The number of backends in the rack that fails.
    #[serde(rename = "rack")]
    pub rack_size: usize,
    /// The setting `limits.conn_idle_us` of the proxies, here in seconds: the time after which an
    /// idle connection is closed.
    #[serde(rename = "conn_idle_secs")]
    pub connection_idle_secs: f64,
    /// What the balancer's objective loses if every request crosses zones once.
    #[serde(rename = "cross_zone")]
    pub cross_zone_cost: f64,
    /// The seed of all that is random.
    pub seed: u64,
    /// Faults of the world that the settings of the proxies do not show.
    #[serde(rename = "flaws")]
    pub faults: FaultInjection,
}

impl Setup {
    /// Requests a second at one proxy.
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
