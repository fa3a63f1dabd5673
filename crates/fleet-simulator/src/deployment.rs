//! The settings document that a deployment gives to its proxies.

use crate::failure::InputError;
use crate::topology::{
    tenant_name, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MICROS, PEAK_REQUESTS_PER_SECOND,
    SLOW_START_FLOOR, SLOW_START_MICROS, ZONES,
};
use brookstack_balancer::settings::{self, Key};
use brookstack_balancer::Config;
use serde::Serialize;
use serde_json::{json, Value};

/// How proxies get the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum DiscoveryMode {
    /// From an agent beside the proxy, which pushes changes to it.
    Automatic,
    /// From a central service, which the proxy polls and watches.
    Subscribe,
}

/// The parameters that determine the settings of one proxy.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The number of proxies.
    pub proxy_count: u32,
    /// The index of this proxy, from 0.
    pub proxy_index: u32,
    /// The number of tenants.
    pub tenant_count: usize,
    /// How proxies get the endpoint list.
    pub mode: DiscoveryMode,
    /// The time after which backends close an idle connection, s.
    pub connection_idle_secs: f64,
    /// The setting `costs.cross_zone`: by how much the balancer's objective decreases if every
    /// request crosses zones once.
    pub cross_zone_cost: f64,
}

impl Deployment {
    /// The settings document in the JSON format of a deployment.
    pub fn settings(&self) -> Value {
        json!({
            "blend": {"whole": 0.7, "worst_class": 0.3},
            "costs": {"cross_zone": self.cross_zone_cost},
            "customers": self.tenants(),
            "discovery": self.mode,
            "granularity_us": 5000,
            "group_size": self.proxy_count,
            "position": self.proxy_index,
            "limits": self.limits(),
            "my_zone": ZONES[self.proxy_index as usize % ZONES.len()],
            "over_share_worth": 0.1,
            "profiles": [read_class()],
            "rules": slow_start_rules(),
            "weight_source": "rough",
            "zones": ZONES,
        })
    }

    /// The tenants' section of the settings. The peak rate is divided evenly among the tenants.
    fn tenants(&self) -> Vec<Value> {
        let quota = PEAK_REQUESTS_PER_SECOND / self.tenant_count.max(1) as f64;
        let quota = (quota * 1000.0).round() / 1000.0;
        (0..self.tenant_count)
            .map(|tenant| json!({"name": tenant_name(tenant), "quota_rps": quota}))
            .collect()
    }

    /// The `limits` section: limits on connections, attempts and open requests.
    fn limits(&self) -> Value {
        json!({
            "cancel": true,
            "conn_idle_us": (self.connection_idle_secs * 1e6) as u64,
            "dial_timeout_us": 1_000_000,
            "max_attempts": 4,
            "open_cap": 20_000,
            "parallel_tries": true,
        })
    }

    /// The balancer configuration that results from these settings.
    pub fn config(&self) -> Result<Config, InputError> {
        let settings = self.settings();
        let read = settings::read(&Key::root(&settings))?;
        Ok(read.config)
    }
}

/// The profile of the only traffic class. Its requests are idempotent.
fn read_class() -> Value {
    json!({
        "name": "read",
        "effect": "free",
        "key_scope": "zone",
        "window_us": 1_200_000,
        "aim_us": 500_000,
        "deadline_us": 2_000_000,
        "gain": 1.0,
        "late_worth": 0.0,
        "stream": false,
    })
}

/// The `rules` section: the slow start of backends, and the time within which a proxy has to poll
/// discovery.
fn slow_start_rules() -> Value {
    json!({
        "cold_from": SLOW_START_FLOOR,
        "fall_multiple": OVERLOAD_MULTIPLE,
        "must_ask_in_us": 10_000_000,
        "ramp_time_us": SLOW_START_MICROS,
        "tip_after_us": OVERLOAD_WINDOW_MICROS,
    })
}
