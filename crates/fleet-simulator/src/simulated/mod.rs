//! Simulated proxies: many balancers in one process, on a simulated clock.
//!
//! The proxies share no state except their environment: the backends and discovery. The simulation
//! advances in steps of 5 ms. In each step all proxies run one tick, in parallel. Then the outputs
//! of the proxies are processed sequentially, in the order of the proxies' numbers. The results
//! therefore do not depend on the number of threads.
//!
//! The model simplifies reality in these ways, which limits what its results show:
//! - A backend has two processors. It works on all its attempts concurrently, and rejects further
//!   attempts while it works on 64.
//! - The duration of an attempt is fixed when the attempt arrives at its backend. It depends on the
//!   work of the attempt, on the number of attempts that the backend has at that time, and on how
//!   far the backend has warmed up.
//! - An attempt reaches its backend without delay and without a handshake.
//! - Connections are only counted. A proxy keeps one connection to each backend that it has used,
//!   and ignores [`brookstack_balancer::Action::LimitIdleConnections`].
//! - When a backend stops, its attempts end with a reset. Each ends at the time at which it would
//!   have been served.
//! - Renewing a watch costs nothing. Discovery spends time only on the calls that proxies make
//!   after a start or a failure.
//! - An overload of a backend that is warming up is counted, but the backend does not fail.
//! - Clients wait 2 s for a response, send requests of one idempotent class, and never retry.
//!
//! Some fields of the results and of the setup have a JSON key that differs from their name.
//! Scripts read these keys, so the keys must not change.

pub mod backend;
pub mod backends;
pub mod checks;
pub mod cold_start;
pub mod context;
pub mod discovery;
pub mod fleet;
pub mod load;
pub mod messages;
pub mod propagation;
pub mod proxy;
pub mod results;
pub mod scenario;
pub mod setup;
pub mod timeline;

use crate::failure::Failure;
use fleet::Fleet;
use results::FleetResults;
use serde::Serialize;
pub use setup::{FaultInjection, Setup, WARM_UP_SECS};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Instant;

/// The time and memory that a run took on this machine. They differ from run to run, so they are
/// not part of the results.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// The number of threads.
    pub threads: usize,
    /// Wall-clock time of the run, s.
    pub wall_secs: f64,
    /// Growth of this process's resident memory during the run, KB per proxy. The memory holds the
    /// state of the balancers and of their requests. `None` in all but the first run of a process,
    /// because later runs reuse memory that earlier ones have freed.
    #[serde(rename = "kb_a_proxy")]
    pub kb_per_proxy: Option<f64>,
}

/// The results and the cost of a run.
pub struct FleetRun {
    /// The results.
    pub results: FleetResults,
    /// The time and memory that the run took.
    pub cost: Cost,
}

/// Whether this process has already run a fleet.
static HAS_RUN: AtomicBool = AtomicBool::new(false);

/// Runs a fleet on the given number of threads.
pub fn run(setup: &Setup, threads: usize) -> Result<FleetRun, Failure> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
    let pool = pool.map_err(Failure::in_step("starting the thread pool"))?;
    let started_at = Instant::now();
    let memory_before = crate::real::process::own_rss_kb()?;
    let mut fleet = Fleet::new(setup)?;
    pool.install(|| fleet.run())?;
    let memory_after = crate::real::process::own_rss_kb()?;
    let growth = memory_after.saturating_sub(memory_before);
    let kb_per_proxy = growth as f64 / f64::from(setup.proxies);
    let is_first_run = !HAS_RUN.swap(true, Relaxed);
    let cost = Cost {
        threads,
        wall_secs: started_at.elapsed().as_secs_f64(),
        kb_per_proxy: is_first_run.then_some(kb_per_proxy),
    };
    Ok(FleetRun {
        results: fleet.into_results(),
        cost,
    })
}
