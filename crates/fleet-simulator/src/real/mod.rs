//! The real proxy beside stand-ins: what it costs with a number of backends and tenants.

pub mod backends;
pub mod cell;
pub mod client;
pub mod discovery;
pub mod load;
mod measurements;
mod phases;
pub mod process;
mod setup;
pub mod stall;
mod startup;

use crate::failure::{Failure, MeasurementError};
use cell::Cell;
pub use setup::Setup;
use tokio::signal::unix::{signal, SignalKind};

/// Threads that the stand-ins of all cells share.
const STAND_IN_THREADS: usize = 2;

/// Runs cells, `jobs` of them at once, and returns them in the order of their setups.
pub fn run_all(setups: Vec<Setup>, jobs: usize) -> Result<Vec<Cell>, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(STAND_IN_THREADS)
        .enable_all()
        .build()
        .map_err(Failure::in_step("the stand-ins' threads"))?;
    // On a signal the tasks of the cells are dropped, which ends the proxies that they started.
    runtime.block_on(async {
        let mut terminated =
            signal(SignalKind::terminate()).map_err(Failure::in_step("SIGTERM"))?;
        tokio::select! {
            cells = run_batches(setups, jobs) => cells,
            _ = tokio::signal::ctrl_c() => Err(MeasurementError::Interrupted.into()),
            _ = terminated.recv() => Err(MeasurementError::Terminated.into()),
        }
    })
}

/// Runs one cell.
async fn run_cell(setup: Setup) -> Result<Cell, Failure> {
    let measurements = measurements::measure(&setup).await?;
    Ok(Cell::new(&setup, &measurements))
}

/// Runs cells in batches of `jobs`: each batch begins when the one before has ended.
async fn run_batches(setups: Vec<Setup>, jobs: usize) -> Result<Vec<Cell>, Failure> {
    let mut cells = Vec::new();
    for batch in setups.chunks(jobs.max(1)) {
        let running: Vec<_> = batch
            .iter()
            .cloned()
            .map(|setup| tokio::spawn(run_cell(setup)))
            .collect();
        for task in running {
            let cell = task.await.map_err(Failure::in_step("a cell"))??;
            tracing::info!(
                backends = cell.backends,
                tenants = cell.tenants,
                "cell done"
            );
            cells.push(cell);
        }
    }
    Ok(cells)
}
