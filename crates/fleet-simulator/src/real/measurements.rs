//! The measurements of one cell of the matrix: the real proxy at one size, phase by phase.

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

/// The load goes on for this long after the probes.
const LOAD_AFTER_PROBES: Duration = Duration::from_secs(1);
/// How many sorts of events stalls are measured for: no event, a change, and a whole list.
const EVENT_SORTS: u32 = 3;

/// What was measured, phase by phase.
pub(super) struct Measurements {
    /// From the start of the process until the proxy was ready.
    pub(super) ready_after: Duration,
    pub(super) idle: IdlePhase,
    pub(super) load: LoadPhase,
    /// The proxy's resources after the load.
    pub(super) loaded: Usage,
    pub(super) probes: ProbePhase,
    /// The proxy's resources at the end.
    pub(super) end: Usage,
    pub(super) discovery_calls: u64,
}

/// Measures a cell: starts the stand-ins and the proxy, and runs all phases. All of them have ended
/// when it returns.
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

    // Probes measure stalls of the data path under load, so the load goes on while they run.
    let load_span = PROBE_SPAN * EVENT_SORTS + LOAD_AFTER_PROBES;
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
