//! One cell of the matrix: the real proxy at one size, measured in phases.

use super::backends::Backends;
use super::discovery::Discovery;
use super::load::{Load, NotServed};
use super::phases::{self, IdlePhase, LoadPhase, ProbePhase};
use super::process::{ProxyProcess, Usage};
use super::setup::Setup;
use super::stall::{Stall, PROBE_SPAN};
use super::startup::{self, ReadyProxy};
use crate::failure::{Failure, InputError, MeasurementError};
use crate::histogram::{millis, quantile_ms};
use crate::world::DiscoveryMode;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// The load goes on for this long after the probes.
const LOAD_AFTER_PROBES: Duration = Duration::from_secs(1);
/// The sorts of events that stalls are measured for.
const EVENT_SORTS: u32 = 3;

/// What was measured in a cell.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// Backends in the list.
    pub backends: usize,
    /// Tenants in the settings.
    pub tenants: usize,
    /// How the proxy learnt the list.
    #[serde(rename = "mode")]
    pub discovery_mode: DiscoveryMode,
    /// The configuration held the list.
    #[serde(rename = "known")]
    pub list_is_known: bool,
    /// The rate of the load, requests a second.
    #[serde(rename = "per_s")]
    pub requests_per_second: f64,
    /// From the start of the process to the first 200 of `/-/ready`, s.
    pub ready_secs: f64,
    /// Resident memory once ready and settled, MB.
    pub rss_start_mb: f64,
    /// Highest resident memory until then, MB.
    pub hwm_start_mb: f64,
    /// Resident memory after the load, MB.
    pub rss_load_mb: f64,
    /// Highest resident memory after the load, before further whole lists, MB.
    pub hwm_load_mb: f64,
    /// Highest resident memory at the end, whole lists sent under load included, MB.
    pub hwm_end_mb: f64,
    /// Processor time when idle, % of a core.
    pub cpu_idle_percent: f64,
    /// How long that was measured, s.
    pub idle_secs: f64,
    /// Processor time under the load, % of a core.
    pub cpu_load_percent: f64,
    /// How long that was measured, s.
    pub load_secs: f64,
    /// Time without a core because the machine was busy with other work, % of the time: when idle,
    /// under the load and under the probes. Where this is much, times and stalls are not the
    /// proxy's own.
    #[serde(rename = "waited_percent")]
    pub cpu_wait_percent: [f64; 3],
    /// Bytes from discovery until ready and settled, heads included.
    pub list_bytes: u64,
    /// Bytes a second from discovery when nothing changes.
    pub idle_bytes_per_s: f64,
    /// Bytes from discovery for the change of one entry, with the call after it.
    pub change_bytes: f64,
    /// Calls on discovery in all.
    pub discovery_calls: u64,
    /// Requests that reached backends under the load.
    #[serde(rename = "requests")]
    pub forwarded_requests: u64,
    /// Requests that were not served.
    pub not_served: NotServed,
    /// New connections to backends a request, in each half of the load.
    #[serde(rename = "new_connections")]
    pub new_connections_per_request: [f64; 2],
    /// Latency beyond the backend's service time, ms: median.
    pub added_p50_ms: f64,
    /// The same, 99 in 100.
    pub added_p99_ms: f64,
    /// The longest, ms.
    pub added_max_ms: f64,
    /// The part of it until the backend had the request, queueing and connecting included, ms:
    /// median and 99 in 100.
    #[serde(rename = "before_ms")]
    pub before_backend_ms: [f64; 2],
    /// The part of it after the backend's response, ms: median and 99 in 100.
    #[serde(rename = "after_ms")]
    pub after_backend_ms: [f64; 2],
    /// The longest round trip of a probe under the load, without any event.
    #[serde(rename = "stall_plain")]
    pub stall_without_event: Stall,
    /// The same when one entry changes.
    pub stall_change: Stall,
    /// The same when a whole list comes.
    #[serde(rename = "stall_whole")]
    pub stall_snapshot: Stall,
    /// Probes in these three windows.
    pub probes: [usize; 3],
}

/// What was measured, phase by phase.
struct Measurements {
    ready_after: Duration,
    idle: IdlePhase,
    load: LoadPhase,
    /// The proxy's resources after the load.
    loaded: Usage,
    probes: ProbePhase,
    /// The proxy's resources at the end.
    end: Usage,
    discovery_calls: u64,
}

/// Runs a cell. Nothing is left running.
pub async fn run(setup: &Setup) -> Result<Cell, Failure> {
    let listeners = setup.listeners.min(setup.backends);
    let backends = Backends::start(listeners, setup.service_time).await?;
    let endpoints: Vec<String> = (0..setup.backends)
        .map(|backend| phases::endpoint_json(backend, &backends, "ready"))
        .collect();
    let discovery = Discovery::start(endpoints).await?;
    let proxy = startup::start(setup, &backends, &discovery).await?;
    let measurements = measure(setup, proxy, &backends, &discovery).await?;
    Ok(Cell::new(setup, &measurements))
}

async fn measure(
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

    // The load goes on under the probes: it is the data path that may stall.
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

impl Cell {
    fn new(setup: &Setup, measurements: &Measurements) -> Cell {
        let Measurements {
            idle: idle_phase,
            load,
            loaded,
            probes,
            end,
            ..
        } = measurements;
        let settled = &idle_phase.settled;
        let idle = &idle_phase.end;
        let idle_bytes = idle_phase.end_bytes - idle_phase.settled_bytes;
        let observations = &load.observations;
        Cell {
            backends: setup.backends,
            tenants: setup.tenants,
            discovery_mode: setup.discovery_mode,
            list_is_known: setup.list_is_known,
            requests_per_second: setup.requests_per_second,
            ready_secs: measurements.ready_after.as_secs_f64(),
            rss_start_mb: megabytes(settled.rss_kb),
            hwm_start_mb: megabytes(settled.hwm_kb),
            rss_load_mb: megabytes(loaded.rss_kb),
            hwm_load_mb: megabytes(loaded.hwm_kb),
            hwm_end_mb: megabytes(end.hwm_kb),
            cpu_idle_percent: idle.core_percent_since(settled),
            idle_secs: idle.secs_since(settled),
            cpu_load_percent: loaded.core_percent_since(idle),
            load_secs: loaded.secs_since(idle),
            cpu_wait_percent: [
                idle.cpu_wait_percent_since(settled),
                loaded.cpu_wait_percent_since(idle),
                end.cpu_wait_percent_since(loaded),
            ],
            list_bytes: idle_phase.settled_bytes,
            idle_bytes_per_s: idle_bytes as f64 / idle.secs_since(settled),
            change_bytes: probes.change_bytes,
            discovery_calls: measurements.discovery_calls,
            forwarded_requests: load.forwarded_requests,
            not_served: observations.not_served,
            new_connections_per_request: load.new_connections_per_request,
            added_p50_ms: quantile_ms(&observations.added_latency, 0.5),
            added_p99_ms: quantile_ms(&observations.added_latency, 0.99),
            added_max_ms: millis(observations.added_latency.max()),
            before_backend_ms: median_and_p99_ms(&observations.before_backend),
            after_backend_ms: median_and_p99_ms(&observations.after_backend),
            stall_without_event: probes.without_event.stall,
            stall_change: probes.change.stall,
            stall_snapshot: probes.snapshot.stall,
            probes: [
                probes.without_event.probes,
                probes.change.probes,
                probes.snapshot.probes,
            ],
        }
    }
}

fn megabytes(kilobytes: u64) -> f64 {
    kilobytes as f64 / 1024.0
}

fn median_and_p99_ms(micros: &Histogram<u64>) -> [f64; 2] {
    [0.5, 0.99].map(|quantile| quantile_ms(micros, quantile))
}
