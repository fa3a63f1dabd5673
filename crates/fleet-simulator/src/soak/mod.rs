//! A soak: real proxy processes beside stand-ins for clients, backends and discovery, under faults
//! that a seed draws. Every request, attempt and endpoint list is recorded, and the operators'
//! rules are checked on the records.
//!
//! - `plan` draws what happens in a run;
//! - `world` starts the stand-ins and the proxies, and carries the plan out;
//! - `clients`, `backends` and `discovery` are the stand-ins, `proxies` the processes;
//! - `records` holds what they have seen, `checks` compares it with the rules;
//! - `report` is the result, as text and JSON.

mod backends;
mod checks;
mod clients;
mod discovery;
mod http;
pub mod plan;
mod proxies;
mod records;
pub mod report;
mod world;

use crate::failure::Failure;
use plan::Plan;
use report::RunReport;
use std::path::{Path, PathBuf};

/// Threads that the stand-ins of one run share.
const STAND_IN_THREADS: usize = 2;

/// What a soak is made of.
#[derive(Clone, Debug)]
pub struct SoakSetup {
    /// The proxy's program.
    pub proxy: PathBuf,
    /// The seed of the first run; each further run has the next one.
    pub first_seed: u64,
    /// How many runs there are.
    pub seeds: u64,
    /// Seeds that are left out.
    pub except: Vec<u64>,
    /// How many runs there are at once.
    pub jobs: usize,
}

/// Makes the runs, and hands each result to `on_run` as soon as it is there.
pub fn run(
    setup: &SoakSetup,
    on_run: &(dyn Fn(&RunReport) + Sync),
) -> Result<Vec<RunReport>, Failure> {
    let seeds: Vec<u64> = (0..setup.seeds)
        .map(|number| setup.first_seed.wrapping_add(number))
        .filter(|seed| !setup.except.contains(seed))
        .collect();
    let mut reports = Vec::new();
    for batch in seeds.chunks(setup.jobs.max(1)) {
        let results: Vec<Result<RunReport, Failure>> = std::thread::scope(|scope| {
            let running: Vec<_> = batch
                .iter()
                .map(|seed| scope.spawn(|| run_seed(&setup.proxy, *seed)))
                .collect();
            running.into_iter().map(join).collect()
        });
        for result in results {
            let report = result?;
            on_run(&report);
            reports.push(report);
        }
    }
    Ok(reports)
}

fn join<T>(thread: std::thread::ScopedJoinHandle<'_, T>) -> T {
    thread
        .join()
        .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}

fn run_seed(proxy: &Path, seed: u64) -> Result<RunReport, Failure> {
    let plan = Plan::draw(seed);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(STAND_IN_THREADS)
        .enable_all()
        .build()
        .map_err(Failure::in_step("the stand-ins' threads"))?;
    let world = runtime.block_on(world::play(proxy, &plan))?;
    runtime.shutdown_background();
    Ok(RunReport::new(plan, &world))
}
