//! The soak test. It runs real proxy processes with stand-ins for clients, backends and discovery,
//! and injects faults that are drawn from a seed. It records every request, attempt and endpoint
//! list, and checks the operators' rules on these records.
//!
//! - `plan` draws the parameters, faults and signals of a run from its seed;
//! - `execution` starts the stand-ins and the proxies, and waits until the run has ended;
//! - `clients`, `backends` and `discovery` are the stand-ins, and `responses` are those of the
//!   backends;
//! - `proxies` starts, signals and monitors the proxy processes;
//! - `http` reads the HTTP messages of the stand-ins;
//! - `records` holds what was observed, and `checks` compares it with the rules;
//! - `report` formats the result as text and JSON.

mod backends;
mod checks;
mod clients;
mod discovery;
mod execution;
mod http;
pub mod plan;
mod proxies;
mod records;
pub mod report;
mod responses;

use crate::failure::Failure;
use plan::Plan;
use report::RunReport;
use std::path::{Path, PathBuf};

/// Threads that all stand-ins of one run share.
const STAND_IN_THREADS: usize = 2;

/// The parameters of a soak test.
#[derive(Clone, Debug)]
pub struct SoakSetup {
    /// The proxy's executable file.
    pub proxy: PathBuf,
    /// The seed of the first run. Each further run uses the next higher seed.
    pub first_seed: u64,
    /// The number of seeds, starting with `first_seed` and including those that are skipped. Each
    /// seed that is not skipped is one run.
    pub seeds: u64,
    /// Seeds that are skipped.
    pub except: Vec<u64>,
    /// How many runs are executed in parallel.
    pub jobs: usize,
}

/// Executes the runs in batches of `jobs`, and passes each result to `on_run` when its batch has
/// ended.
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
        .map_err(Failure::in_step("starting the threads of the stand-ins"))?;
    let records = runtime.block_on(execution::run(proxy, &plan))?;
    runtime.shutdown_background();
    Ok(RunReport::new(plan, &records))
}
