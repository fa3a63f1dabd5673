//! Simulated proxies: many balancers in one process, on a simulated clock. They share nothing but
//! the world around them, which moves in steps: in each, all proxies have their tick in parallel,
//! then what they sent reaches the world in the order of their numbers. So the number of threads
//! changes no figure.
//!
//! The model is simpler than reality, which limits what its figures show:
//! - A backend has two processors and works on all its attempts at once; an attempt's duration is set as it
//!   arrives, by its work, by how many attempts are there then and by how far the backend has warmed up. A backend
//!   rejects attempts beyond 64.
//! - An attempt reaches its backend at once and without a handshake; connections are only counted, one kept for
//!   each backend that a proxy used, whatever [`brookstack_balancer::Action::LimitIdleConnections`] says.
//! - Attempts on a backend that stops end as resets at the time at which they would have been served.
//! - A watch in place is renewed at no cost; discovery's time goes into calls after a start or a failure.
//! - Backends that are overloaded while they warm up are counted and go on.
//! - Clients wait 2 s, send requests of one idempotent class, and never retry by themselves.

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

/// What the run cost on this machine: not part of the figures, for it differs from run to run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// Threads.
    pub threads: usize,
    /// Real time, s.
    pub wall_secs: f64,
    /// Growth of this process's resident memory over the run, KB a proxy: the balancer's state, and
    /// its requests'. Of the first run of a process only: a later one reuses what earlier ones
    /// freed.
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
