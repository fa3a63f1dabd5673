//! The matrix of the command `all`: its sizes and scenarios.

use super::{AllArgs, FleetArgs, RealArgs};
use crate::deployment::DiscoveryMode;
use crate::simulated::scenario::Scenario;

/// The sizes of the real proxy's cells, and the durations of their phases.
struct RealMatrix {
    backends: Vec<usize>,
    tenants: Vec<usize>,
    idle_secs: f64,
    load_secs: f64,
}

/// The size of a fleet, its simulated time, and its scenarios.
struct FleetSize {
    proxies: u32,
    backends: usize,
    secs: f64,
    scenarios: Vec<Scenario>,
}

const ALL_SCENARIOS: [Scenario; 5] = [
    Scenario::Calm,
    Scenario::Outage,
    Scenario::Cold,
    Scenario::Release,
    Scenario::Rebirth,
];

impl AllArgs {
    /// The options for the cells of the real proxy, from small sizes up to the target deployment's.
    pub fn real(&self) -> RealArgs {
        let matrix = self.real_matrix();
        RealArgs {
            proxy: self.proxy.clone(),
            backends: matrix.backends,
            tenants: matrix.tenants,
            discovery: DiscoveryMode::Automatic,
            known: false,
            position: 0,
            listeners: 256,
            rate: 70.0,
            service_ms: 5,
            idle_secs: matrix.idle_secs,
            load_secs: matrix.load_secs,
            conn_idle_secs: 30.0,
            jobs: self.threads,
            seed: self.seed,
            json: None,
        }
    }

    fn real_matrix(&self) -> RealMatrix {
        if self.quick {
            RealMatrix {
                backends: vec![200, 17_000],
                tenants: vec![0, 58_000],
                idle_secs: 6.0,
                load_secs: 20.0,
            }
        } else {
            RealMatrix {
                backends: vec![200, 2_000, 17_000],
                tenants: vec![0, 5_800, 58_000],
                idle_secs: 20.0,
                load_secs: 120.0,
            }
        }
    }

    /// The options for each fleet. The largest fleet is slow, so it runs only one scenario, for a
    /// short time; smaller fleets run all scenarios. The largest fleet is first, because only the
    /// first run of a process reports its memory.
    pub fn fleets(&self) -> Vec<FleetArgs> {
        let sizes = self.fleet_sizes();
        sizes.into_iter().map(|size| self.fleet(size)).collect()
    }

    fn fleet_sizes(&self) -> Vec<FleetSize> {
        let small = FleetSize {
            proxies: 30,
            backends: 464,
            secs: 24.0,
            scenarios: ALL_SCENARIOS.to_vec(),
        };
        let medium = FleetSize {
            proxies: 300,
            backends: 4_640,
            secs: 24.0,
            scenarios: ALL_SCENARIOS.to_vec(),
        };
        if self.quick {
            let short_medium = FleetSize {
                secs: 8.0,
                scenarios: vec![Scenario::Calm],
                ..medium
            };
            return vec![short_medium, small];
        }
        let target = FleetSize {
            proxies: 1_100,
            backends: 17_000,
            secs: 12.0,
            scenarios: vec![Scenario::Calm],
        };
        vec![target, medium, small]
    }

    fn fleet(&self, size: FleetSize) -> FleetArgs {
        FleetArgs {
            scenario: size.scenarios,
            proxies: size.proxies,
            backends: size.backends,
            rate: None,
            skew: 1.0,
            secs: size.secs,
            call_ms: None,
            churn: 0.2,
            rack: None,
            conn_idle_secs: 30.0,
            cross_zone: 0.0,
            threads: self.threads,
            seed: self.seed,
            json: None,
        }
    }
}
