//! Measures one cell of the matrix in phases: start, idling, load, and probes under load.

use super::backends::Backends;
use super::discovery::Discovery;
use super::load::Load;
use super::phases::{self, IdlePhase, LoadPhase, ProbePhase};
use super::process::{ProxyProcess, Usage};
use super::setup::Setup;
use super::stall::PROBE_SPAN;
use super::startup::{self, ReadyProxy};
use crate::failure::{Failure, InputError, MeasurementError};
use std::time::Duration;

/// The load continues for this time after the end of the probes.
const LOAD_AFTER_PROBES: Duration = Duration::from_secs(1);
/// The number of kinds of events for which stalls are measured: no event, a change of one entry,
/// and a snapshot of the full list.
const EVENT_KINDS: u32 = 3;

/// The measurements of all phases of a cell.
pub(super) struct Measurements {
    /// The time from the start of the process until the proxy was ready.
    pub(super) ready_after: Duration,
    pub(super) idle: IdlePhase,
    pub(super) load: LoadPhase,
    /// The proxy's resource usage after the load.
    pub(super) loaded: Usage,
    pub(super) probes: ProbePhase,
    /// The proxy's resource usage after the probes.
    pub(super) end: Usage,
    pub(super) discovery_calls: u64,
}

/// Measures a cell: starts the stand-ins and the proxy, and runs all phases. The proxy has ended
/// when this function returns.
pub(super) async fn measure(setup: &Setup) -> Result<Measurements, Failure> {
    let listeners = setup.listeners.min(setup.backends);
    let backends = Backends::start(listeners, setup.service_time).await?;
    let endpoints: Vec<String> = (0..setup.backends)
        .map(|backend| phases::endpoint_json(backend, &backends, "ready"))
        .collect();
    let discovery = Discovery::start(endpoints).await?;
    let proxy = startup::start(setup, &backends, &discovery).await?;
    run_phases(setup, proxy, &backends, &discovery).await
}

async fn run_phases(
    setup: &Setup,
    proxy: ReadyProxy,
    backends: &Backends,
    discovery: &Discovery,
) -> Result<Measurements, Failure> {
    let mut process = proxy.process;
    let idle_phase = phases::run_idle(&process, discovery, setup.idle_duration).await?;
    let mut load = new_load(setup, &process)?;
    let load_phase = phases::run_load(&mut load, backends, setup.load_duration).await?;
    let loaded = process.usage()?;

    // The probes measure stalls of the data path under load, so the load continues during them.
    let load_span = PROBE_SPAN * EVENT_KINDS + LOAD_AFTER_PROBES;
    let probes = phases::run_probes(&process, backends, discovery);
    let (probe_phase, _) = tokio::join!(probes, load.run(load_span));
    let probe_phase = probe_phase?;
    let end = process.usage()?;
    if process.has_exited() {
        return Err(MeasurementError::ProxyExited.into());
    }
    Ok(Measurements {
        ready_after: proxy.ready_after,
        idle: idle_phase,
        load: load_phase,
        loaded,
        probes: probe_phase,
        end,
        discovery_calls: discovery.calls(),
    })
}

fn new_load(setup: &Setup, process: &ProxyProcess) -> Result<Load, InputError> {
    Load::new(
        process.address,
        setup.requests_per_second,
        setup.tenants,
        setup.seed,
    )
}
