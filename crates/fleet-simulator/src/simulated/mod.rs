//! Simulated proxies: many balancers in one process, on a simulated clock.
//!
//! The proxies share nothing but the world around them, which moves in steps of 5 ms. In each step
//! all proxies run one tick, in parallel. Then the world takes what they sent, in the order of the
//! proxies' numbers. So the figures do not depend on the number of threads.
//!
//! The model is simpler than reality, which limits what its figures show:
//! - A backend has two processors. It works on all its attempts at once, and rejects attempts
//!   beyond 64.
//! - The duration of an attempt is set when it arrives at its backend. It depends on the work of
//!   the attempt, on how many attempts the backend has then, and on how far the backend has warmed
//!   up.
//! - An attempt reaches its backend at once and without a handshake.
//! - Connections are only counted. A proxy keeps one connection to each backend that it has used,
//!   whatever [`brookstack_balancer::Action::LimitIdleConnections`] says.
//! - When a backend stops, its attempts end as resets. Each ends at the time at which it would have
//!   been served.
//! - A proxy renews a watch at no cost. Discovery spends time only on the calls that proxies make
//!   after a start or a failure.
//! - A backend that is overloaded while it warms up is counted, but goes on.
//! - Clients wait 2 s for an answer, send requests of one idempotent class, and never retry.

pub mod backend;
pub mod backends;
pub mod checks;
pub mod cold_start;
pub mod context;
pub mod discovery;
pub mod figures;
pub mod fleet;
pub mod load;
pub mod messages;
pub mod propagation;
pub mod proxy;
pub mod scenario;
pub mod setup;
pub mod timeline;

use crate::failure::Failure;
use figures::Figures;
use fleet::Fleet;
use serde::Serialize;
pub use setup::{FaultInjection, Setup, WARM_UP_SECS};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Instant;

/// What the run cost on this machine. It differs from run to run, so it is not part of the figures.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// The number of threads.
    pub threads: usize,
    /// Real time, s.
    pub wall_secs: f64,
    /// Growth of this process's resident memory over the run, KB per proxy. It holds the state of
    /// the balancers and of their requests. `None` after the first run of a process, as a later run
    /// reuses memory that earlier ones have freed.
    #[serde(rename = "kb_a_proxy")]
    pub kb_per_proxy: Option<f64>,
}

/// A run's figures, and what it cost.
pub struct FleetRun {
    /// The figures.
    pub figures: Figures,
    /// What the run cost.
    pub cost: Cost,
}

/// Whether this process has run a fleet before.
static HAS_RUN: AtomicBool = AtomicBool::new(false);

/// Runs a fleet on this many threads.
pub fn run(setup: &Setup, threads: usize) -> Result<FleetRun, Failure> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
    let pool = pool.map_err(Failure::in_step("threads"))?;
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
        figures: fleet.into_figures(),
        cost,
    })
}
