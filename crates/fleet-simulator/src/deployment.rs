//! The settings that a deployment gives to its proxies.

use crate::failure::InputError;
use crate::world::{
    tenant_name, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MICROS, PEAK_REQUESTS_PER_SECOND,
    SLOW_START_FLOOR, SLOW_START_MICROS, ZONES,
};
use brookstack_balancer::settings::{self, Key};
use brookstack_balancer::Config;
use serde::Serialize;
use serde_json::{json, Value};

/// How proxies learn the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum DiscoveryMode {
    /// An agent beside the proxy holds it.
    Automatic,
    /// A central service is polled and watched.
    Subscribe,
}

/// What the settings of a proxy depend on.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// How many proxies there are.
    pub proxy_count: u32,
    /// Which of them this one is.
    pub proxy_index: u32,
    /// How many tenants there are.
    pub tenant_count: usize,
    /// How proxies learn the endpoint list.
    pub mode: DiscoveryMode,
    /// A connection that has been idle for this long is closed, s.
    pub connection_idle_secs: f64,
    /// The setting `costs.cross_zone`: how much the balancer's objective loses when every request
    /// crosses zones once.
    pub cross_zone_cost: f64,
}

impl Deployment {
    /// The settings object, as a deployment writes it.
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
            "rules": warm_up_rules(),
            "weight_source": "rough",
            "zones": ZONES,
        })
    }

    /// The tenants' part of the settings: the peak rate is spread evenly over them.
    fn tenants(&self) -> Vec<Value> {
        let quota = PEAK_REQUESTS_PER_SECOND / self.tenant_count.max(1) as f64;
        let quota = (quota * 1000.0).round() / 1000.0;
        (0..self.tenant_count)
            .map(|tenant| json!({"name": tenant_name(tenant), "quota_rps": quota}))
            .collect()
    }

    /// The limits on connections, attempts and open requests.
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

    /// The configuration that the balancer reads from these settings.
    pub fn config(&self) -> Result<Config, InputError> {
        let settings = self.settings();
        let read = settings::read(&Key::root(&settings))?;
        Ok(read.config)
    }
}

/// The only service class: idempotent requests.
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

/// How backends warm up, and within which time a proxy has to send its first call to discovery.
fn warm_up_rules() -> Value {
    json!({
        "cold_from": SLOW_START_FLOOR,
        "fall_multiple": OVERLOAD_MULTIPLE,
        "must_ask_in_us": 10_000_000,
        "ramp_time_us": SLOW_START_MICROS,
        "tip_after_us": OVERLOAD_WINDOW_MICROS,
    })
}
