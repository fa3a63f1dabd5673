//! Measures the memory, processor time, latency and discovery traffic of a real proxy process, with
//! stand-ins for clients, backends and discovery. Each combination of a number of backends and a
//! number of tenants is one cell of a matrix.

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

/// The number of threads that the stand-ins of all cells share.
const STAND_IN_THREADS: usize = 2;

/// Measures cells, `jobs` of them in parallel, and returns the results in the order of the setups.
pub fn run_all(setups: Vec<Setup>, jobs: usize) -> Result<Vec<Cell>, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(STAND_IN_THREADS)
        .enable_all()
        .build()
        .map_err(Failure::in_step("starting the threads of the stand-ins"))?;
    // When a signal arrives, the tasks of the cells are dropped, which kills their proxies.
    runtime.block_on(async {
        let mut terminated = signal(SignalKind::terminate())
            .map_err(Failure::in_step("installing the SIGTERM handler"))?;
        tokio::select! {
            cells = run_batches(setups, jobs) => cells,
            _ = tokio::signal::ctrl_c() => Err(MeasurementError::Interrupted.into()),
            _ = terminated.recv() => Err(MeasurementError::Terminated.into()),
        }
    })
}

/// Measures one cell.
async fn run_cell(setup: Setup) -> Result<Cell, Failure> {
    let measurements = measurements::measure(&setup).await?;
    Ok(Cell::new(&setup, &measurements))
}

/// Measures cells in batches of `jobs`. Each batch begins when the previous one has ended.
async fn run_batches(setups: Vec<Setup>, jobs: usize) -> Result<Vec<Cell>, Failure> {
    let mut cells = Vec::new();
    for batch in setups.chunks(jobs.max(1)) {
        let running: Vec<_> = batch
            .iter()
            .cloned()
            .map(|setup| tokio::spawn(run_cell(setup)))
            .collect();
        for task in running {
            let cell = task.await.map_err(Failure::in_step("measuring a cell"))??;
            tracing::info!(
                backends = cell.backends,
                tenants = cell.tenants,
                "measured a cell"
            );
            cells.push(cell);
        }
    }
    Ok(cells)
}
