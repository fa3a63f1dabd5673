//! The topology of the target deployment, scaled to any number of backends: zones, machine types,
//! groups, backend and tenant names, and the entries of the endpoint list.

use brookstack_balancer::settings::stable_id;
use brookstack_balancer::{BackendId, BackendState, CellId, Endpoint, MachineTypeId, Time, ZoneId};
use serde::Serialize;

/// The zones of the deployment: eight zones in three regions.
pub const ZONES: [&str; 8] = [
    "r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r2-c", "r3-a", "r3-b",
];
/// The number of backends per group. All backends of a group are in the same zone. The balancer
/// calls a group a cell.
const GROUP_SIZE: usize = 4;
/// The peak rate of the target deployment, in requests per second over all proxies.
pub const PEAK_REQUESTS_PER_SECOND: f64 = 76_000.0;
/// The number of proxies in the target deployment.
pub const TARGET_PROXIES: u32 = 1_100;
/// The number of backends in the target deployment.
pub const TARGET_BACKENDS: usize = 17_000;

/// The fraction of its full capacity that a backend has at its start.
pub const SLOW_START_FLOOR: f64 = 0.3;
/// In the target deployment, a backend that is warming up fails if its load exceeds this multiple
/// of its current capacity.
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// The time from the start of a backend until it has its full capacity, us.
pub const SLOW_START_MICROS: u64 = 9_000_000;
/// The length of the sliding window in which the load of a warming backend is counted, us.
pub const OVERLOAD_WINDOW_MICROS: u64 = 2_000_000;

/// A machine type of backends.
pub struct MachineType {
    /// Its name in the endpoint list.
    pub name: &'static str,
    /// How many out of every ten backends of a zone are of this type.
    pub count_in_ten: usize,
    /// The service time of a request of average work on an otherwise idle backend, s.
    pub service_secs: f64,
}

/// The machine types, from the fastest to the slowest.
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

/// The zone, machine type and group of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index into [`ZONES`].
    pub zone: usize,
    /// Index into [`MACHINE_TYPES`].
    pub machine_type: usize,
    /// The number of its group.
    pub group: u64,
}

/// The placement of a backend, given its number. Backends are assigned to the zones in turn. Each
/// zone has groups of four backends and the same mix of machine types.
pub fn placement(backend: usize) -> Placement {
    let zone = backend % ZONES.len();
    let position_in_zone = backend / ZONES.len();
    Placement {
        zone,
        machine_type: machine_type_at(position_in_zone % 10),
        group: (position_in_zone / GROUP_SIZE * ZONES.len() + zone) as u64,
    }
}

/// The machine type at a position (0 to 9) among ten backends of a zone, as an index into
/// [`MACHINE_TYPES`].
fn machine_type_at(position: usize) -> usize {
    let mut next_type_from = 0;
    let machine_type = MACHINE_TYPES.iter().position(|machine_type| {
        next_type_from += machine_type.count_in_ten;
        position < next_type_from
    });
    machine_type.unwrap_or(0)
}

/// The name of a backend. As in a deployment, names are unique and in no particular order.
pub fn backend_name(backend: usize) -> String {
    // Multiplication by an odd factor is a bijection on 32-bit numbers, so names are unique.
    format!(
        "s-{:08x}",
        (backend as u32).wrapping_mul(0x9e37_79b1) ^ 0x5be2_a07c
    )
}

/// The name of a tenant.
pub fn tenant_name(tenant: usize) -> String {
    format!("t-{tenant:05}")
}

/// An entry of the endpoint list in the JSON format of discovery.
#[derive(Clone, Debug, Serialize)]
pub struct ListedEndpoint {
    /// The backend's name, the same in the lists of all proxies.
    pub name: String,
    /// The address that it listens on.
    pub address: String,
    /// Its zone's name.
    pub zone: &'static str,
    /// The name of its machine type.
    #[serde(rename = "type")]
    pub machine_type: &'static str,
    /// The number of its group.
    pub group: u64,
    /// `ready`, `draining` or `gone`.
    pub status: &'static str,
    /// Its weight among the backends of its machine type.
    pub weight: f64,
    /// When it started, in Unix milliseconds; 0 if it started so long ago that it is warm.
    #[serde(rename = "since_ms")]
    pub started_at_ms: u64,
}

/// The list entry of a ready backend that started so long ago that it is warm.
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

/// The entry of a backend in the form that the balancer takes. A `started_at` of `None` means that
/// the backend started so long ago that it is warm.
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
