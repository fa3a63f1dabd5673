//! Measures the memory of a real proxy beside crowds of clients and slow backends, and what usual
//! clients get beside them. Each combination of a crowd, a memory limit and a limit on descriptors
//! is one run, with its own proxy.

mod catalogue;
mod execution;
mod report;

use crate::failure::{Failure, InputError};
pub use catalogue::{named, NamedCrowd};
pub use report::{CrowdRun, TABLE_HEAD};
use std::path::PathBuf;
use std::time::Duration;

/// The number of threads that the stand-ins of a run share.
const STAND_IN_THREADS: usize = 2;

/// The parameters of a series of runs.
#[derive(Clone, Debug)]
pub struct CrowdSetup {
    /// The proxy's executable file.
    pub proxy: PathBuf,
    /// The crowds, one for each run.
    pub crowds: Vec<NamedCrowd>,
    /// The memory limits, MiB.
    pub memory_mb: Vec<u64>,
    /// The limits on descriptors.
    pub descriptors: Vec<u64>,
    /// The duration of each run.
    pub duration: Duration,
    /// Whether the proxy is killed in the middle of each run and started again.
    pub kills: bool,
}

/// Executes the runs one after another, and passes each result to `on_run` when it has ended.
pub fn run_all(setup: &CrowdSetup, on_run: &dyn Fn(&CrowdRun)) -> Result<Vec<CrowdRun>, Failure> {
    if !setup.proxy.is_file() {
        return Err(InputError::proxy_is_not_a_file(&setup.proxy).into());
    }
    let mut runs = Vec::new();
    for crowd in &setup.crowds {
        for memory_mb in &setup.memory_mb {
            for descriptors in &setup.descriptors {
                let limits = execution::Limits {
                    memory_mb: *memory_mb,
                    descriptors: *descriptors,
                };
                let runtime = tokio::runtime::Builder::new_multi_thread()
                    .worker_threads(STAND_IN_THREADS)
                    .enable_all()
                    .build()
                    .map_err(Failure::in_step("starting the threads of the stand-ins"))?;
                let run = runtime.block_on(execution::run(setup, crowd, limits))?;
                runtime.shutdown_background();
                on_run(&run);
                runs.push(run);
            }
        }
    }
    Ok(runs)
}
