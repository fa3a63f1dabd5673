//! The deployment's shape at any size: zones, kinds of machines, groups, names, tenants, and the
//! settings and lists that describe them.

use crate::failure::InputError;
use brookstack_balancer::settings::{self, stable_id, Key};
use brookstack_balancer::{
    BackendId, BackendState, CellId, Config, Endpoint, MachineTypeId, Time, ZoneId,
};
use serde::Serialize;
use serde_json::{json, Value};

/// Three regions with eight zones.
pub const ZONES: [&str; 8] = [
    "r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r2-c", "r3-a", "r3-b",
];
/// Backends that share a group, all of one zone.
const GROUP_SIZE: usize = 4;
/// Requests a second at the target's peak, over all proxies.
pub const PEAK_REQUESTS_PER_SECOND: f64 = 76_000.0;
/// Proxies at the target.
pub const TARGET_PROXIES: u32 = 1_100;
/// Backends at the target.
pub const TARGET_BACKENDS: usize = 17_000;

/// A kind of machine.
pub struct Kind {
    /// Its name in the list.
    pub name: &'static str,
    /// How many of ten backends are of it.
    pub count_in_ten: usize,
    /// Its time for a request of mean work when idle, s.
    pub service_secs: f64,
}

/// The kinds, from fast to slow.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "m3",
        count_in_ten: 3,
        service_secs: 0.045,
    },
    Kind {
        name: "m2",
        count_in_ten: 5,
        service_secs: 0.060,
    },
    Kind {
        name: "m1",
        count_in_ten: 2,
        service_secs: 0.080,
    },
];

/// Where a backend is and what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index into [`ZONES`].
    pub zone: usize,
    /// Index into [`KINDS`].
    pub kind: usize,
    /// Number of its group.
    pub group: u64,
}

/// The placement of the backend of that number: zones in turn, each with groups of four and the
/// same mix of kinds.
pub fn placement(backend: usize) -> Placement {
    let zone = backend % ZONES.len();
    let position_in_zone = backend / ZONES.len();
    Placement {
        zone,
        kind: kind_at(position_in_zone % 10),
        group: (position_in_zone / GROUP_SIZE * ZONES.len() + zone) as u64,
    }
}

/// The kind of the backend at a position among ten backends of a zone, an index into [`KINDS`].
fn kind_at(position: usize) -> usize {
    let mut next_kind_from = 0;
    let kind = KINDS.iter().position(|kind| {
        next_kind_from += kind.count_in_ten;
        position < next_kind_from
    });
    kind.unwrap_or(0)
}

/// Names as a deployment gives them: distinct, in no order.
pub fn backend_name(backend: usize) -> String {
    // An odd factor keeps 32-bit numbers distinct.
    format!(
        "s-{:08x}",
        (backend as u32).wrapping_mul(0x9e37_79b1) ^ 0x5be2_a07c
    )
}

/// The name of a tenant.
pub fn tenant_name(tenant: usize) -> String {
    format!("t-{tenant:05}")
}

/// An entry of the endpoint list as discovery sends it.
#[derive(Clone, Debug, Serialize)]
pub struct ListedEndpoint {
    /// The backend's name, the same at every proxy.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its zone's name.
    pub zone: &'static str,
    /// Its kind's name.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// Its group.
    pub group: u64,
    /// `ready`, `draining` or `gone`.
    pub status: &'static str,
    /// Its weight inside its kind.
    pub weight: f64,
    /// When it started, Unix milliseconds; 0 for long ago.
    #[serde(rename = "since_ms")]
    pub started_at_ms: u64,
}

/// The list's entry of a backend that started long ago and is ready.
pub fn listed_endpoint(backend: usize, address: String) -> ListedEndpoint {
    let placement = placement(backend);
    ListedEndpoint {
        name: backend_name(backend),
        address,
        zone: ZONES[placement.zone],
        kind: KINDS[placement.kind].name,
        group: placement.group,
        status: "ready",
        weight: 1.0,
        started_at_ms: 0,
    }
}

/// The entry of a backend as the balancer takes it.
pub fn balancer_endpoint(
    backend: usize,
    state: BackendState,
    started_at: Option<Time>,
) -> Endpoint {
    let placement = placement(backend);
    Endpoint {
        id: BackendId(stable_id(&backend_name(backend))),
        zone: ZoneId(stable_id(ZONES[placement.zone])),
        cell: CellId(placement.group),
        machine_type: MachineTypeId(stable_id(KINDS[placement.kind].name)),
        state,
        started_at,
        weight: 1.0,
    }
}

/// How proxies learn the list.
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
    /// How proxies learn the list.
    pub mode: DiscoveryMode,
    /// A connection that has been idle for this long is closed, s.
    pub connection_idle_secs: f64,
    /// What the goal loses when every request crosses zones once.
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
            "limits": {"cancel": true, "conn_idle_us": (self.connection_idle_secs * 1e6) as u64,
                       "dial_timeout_us": 1_000_000, "max_attempts": 4, "open_cap": 20_000, "parallel_tries": true},
            "my_zone": ZONES[self.proxy_index as usize % ZONES.len()],
            "over_share_worth": 0.1,
            "profiles": [{"name": "read", "effect": "free", "key_scope": "zone", "window_us": 1_200_000,
                          "aim_us": 500_000, "deadline_us": 2_000_000, "gain": 1.0, "late_worth": 0.0,
                          "stream": false}],
            "rules": {"cold_from": SLOW_START_FLOOR, "fall_multiple": OVERLOAD_MULTIPLE,
                      "must_ask_in_us": 10_000_000, "ramp_time_us": SLOW_START_MICROS,
                      "tip_after_us": OVERLOAD_WINDOW_MICROS},
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

    /// The configuration that the balancer reads from these settings.
    pub fn config(&self) -> Result<Config, InputError> {
        let settings = self.settings();
        let (config, _names) = settings::read(&Key::root(&settings))?;
        Ok(config)
    }
}

/// The fraction of its capacity that a backend has when it starts.
pub const SLOW_START_FLOOR: f64 = 0.3;
/// A backend that is warming up fails when it is sent more than this multiple of its present
/// capacity.
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// A backend that has started has its full capacity after this time, us.
pub const SLOW_START_MICROS: u64 = 9_000_000;
/// The time over which the requests of a backend that is warming up are counted, us.
pub const OVERLOAD_WINDOW_MICROS: u64 = 2_000_000;
