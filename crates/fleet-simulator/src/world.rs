//! The deployment's shape at any size: its zones, machine types, groups, names and tenants, and
//! the entries of the endpoint list.

use brookstack_balancer::settings::stable_id;
use brookstack_balancer::{BackendId, BackendState, CellId, Endpoint, MachineTypeId, Time, ZoneId};
use serde::Serialize;

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

/// The fraction of its capacity that a backend has when it starts.
pub const SLOW_START_FLOOR: f64 = 0.3;
/// A backend that is warming up fails when it is sent more than this multiple of its present
/// capacity.
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// A backend that has started has its full capacity after this time, us.
pub const SLOW_START_MICROS: u64 = 9_000_000;
/// The time over which the requests of a backend that is warming up are counted, us.
pub const OVERLOAD_WINDOW_MICROS: u64 = 2_000_000;

/// A machine type.
pub struct MachineType {
    /// Its name in the list.
    pub name: &'static str,
    /// How many of ten backends are of this type.
    pub count_in_ten: usize,
    /// The time that an idle backend takes for a request of mean work, s.
    pub service_secs: f64,
}

/// The machine types, from fast to slow.
pub const MACHINE_TYPES: [MachineType; 3] = [
    MachineType {
        name: "m3",
        count_in_ten: 3,
        service_secs: 0.045,
    },
    MachineType {
        name: "m2",
        count_in_ten: 5,
        service_secs: 0.060,
    },
    MachineType {
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
    /// Index into [`MACHINE_TYPES`].
    pub machine_type: usize,
    /// Number of its group.
    pub group: u64,
}

/// The placement of the backend of that number: zones in turn, each with groups of four and the
/// same mix of machine types.
pub fn placement(backend: usize) -> Placement {
    let zone = backend % ZONES.len();
    let position_in_zone = backend / ZONES.len();
    Placement {
        zone,
        machine_type: machine_type_at(position_in_zone % 10),
        group: (position_in_zone / GROUP_SIZE * ZONES.len() + zone) as u64,
    }
}

/// The machine type of the backend at a position among ten backends of a zone, an index into
/// [`MACHINE_TYPES`].
fn machine_type_at(position: usize) -> usize {
    let mut next_type_from = 0;
    let machine_type = MACHINE_TYPES.iter().position(|machine_type| {
        next_type_from += machine_type.count_in_ten;
        position < next_type_from
    });
    machine_type.unwrap_or(0)
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
    /// The name of its machine type.
    #[serde(rename = "type")]
    pub machine_type: &'static str,
    /// Its group.
    pub group: u64,
    /// `ready`, `draining` or `gone`.
    pub status: &'static str,
    /// Its weight among the backends of its machine type.
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
        machine_type: MACHINE_TYPES[placement.machine_type].name,
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
        machine_type: MachineTypeId(stable_id(MACHINE_TYPES[placement.machine_type].name)),
        state,
        started_at,
        weight: 1.0,
    }
}
