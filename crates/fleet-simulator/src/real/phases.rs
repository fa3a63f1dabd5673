//! The phases of measuring a cell: idling, load in two halves, and probes of the data path.

use super::backends::Backends;
use super::discovery::Discovery;
use super::load::{Load, Observations};
use super::process::{ProxyProcess, Usage};
use super::stall::{self, StallMeasurement};
use crate::failure::Failure;
use crate::topology;
use serde_json::json;
use std::time::{Duration, Instant};

/// How long the proxy may go on with the work of its start after it is ready, before the idle phase
/// begins.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The measurements of the idle phase.
pub(super) struct IdlePhase {
    /// The proxy's resource usage once it had settled.
    pub(super) settled: Usage,
    /// Bytes that discovery had written once the proxy had settled.
    pub(super) settled_bytes: u64,
    /// The proxy's resource usage at the end of the phase.
    pub(super) end: Usage,
    /// Bytes that discovery had written at the end of the phase.
    pub(super) end_bytes: u64,
}

/// The measurements of the load phase.
pub(super) struct LoadPhase {
    pub(super) observations: Observations,
    pub(super) new_connections_per_request: [f64; 2],
    pub(super) forwarded_requests: u64,
}

/// The measurements of one half of the load phase.
struct LoadHalf {
    observations: Observations,
    new_connections_per_request: f64,
}

/// The measurements of the probe phase.
pub(super) struct ProbePhase {
    pub(super) without_event: StallMeasurement,
    pub(super) change: StallMeasurement,
    pub(super) snapshot: StallMeasurement,
    /// The bytes that discovery wrote during the probes with changes, per change of one entry.
    pub(super) change_bytes: f64,
}

/// Waits until the proxy has settled, and then lets it idle for `duration`.
pub(super) async fn run_idle(
    process: &ProxyProcess,
    discovery: &Discovery,
    duration: Duration,
) -> Result<IdlePhase, Failure> {
    tokio::time::sleep(SETTLE_TIME).await;
    let settled = process.usage()?;
    let settled_bytes = discovery.bytes();
    tokio::time::sleep(duration).await;
    Ok(IdlePhase {
        settled,
        settled_bytes,
        end: process.usage()?,
        end_bytes: discovery.bytes(),
    })
}

/// Runs the load for `duration`, in two halves that are measured separately.
pub(super) async fn run_load(
    load: &mut Load,
    backends: &Backends,
    duration: Duration,
) -> Result<LoadPhase, Failure> {
    let requests_before = backends.requests();
    let first = run_half(load, backends, duration / 2).await;
    let second = run_half(load, backends, duration / 2).await;
    let new_connections_per_request = [
        first.new_connections_per_request,
        second.new_connections_per_request,
    ];
    let mut observations = first.observations;
    observations.add(&second.observations)?;
    Ok(LoadPhase {
        observations,
        new_connections_per_request,
        forwarded_requests: backends.requests() - requests_before,
    })
}

async fn run_half(load: &mut Load, backends: &Backends, duration: Duration) -> LoadHalf {
    let connections_before = backends.connections();
    let requests_before = backends.requests();
    let observations = load.run(duration).await;
    let connections = backends.connections() - connections_before;
    let requests = backends.requests() - requests_before;
    LoadHalf {
        observations,
        new_connections_per_request: connections as f64 / requests.max(1) as f64,
    }
}

/// Measures the stalls of the data path without an event, around changes of one entry of the list,
/// and around snapshots of the full list.
pub(super) async fn run_probes(
    process: &ProxyProcess,
    backends: &Backends,
    discovery: &Discovery,
) -> Result<ProbePhase, Failure> {
    let started_at = Instant::now();
    let without_event = stall::measure_stalls(process.address, |_| {}).await?;
    let bytes_before = discovery.bytes();
    let change_endpoint = |event: usize| {
        // The status alternates, so that each event changes the entry.
        let status = if event % 2 == 0 { "draining" } else { "ready" };
        discovery.change(0, endpoint_json(0, backends, status));
    };
    let change = stall::measure_stalls(process.address, change_endpoint).await?;
    let change_bytes = (discovery.bytes() - bytes_before) as f64 / stall::EVENTS as f64;
    let snapshot = stall::measure_stalls(process.address, |_| discovery.push_snapshot()).await?;
    tracing::debug!("probes took {:?}", started_at.elapsed());
    Ok(ProbePhase {
        without_event,
        change,
        snapshot,
        change_bytes,
    })
}

/// An entry of the endpoint list as JSON, in the form in which discovery sends it.
pub(super) fn endpoint_json(backend: usize, backends: &Backends, status: &'static str) -> String {
    let endpoint = topology::ListedEndpoint {
        status,
        ..topology::listed_endpoint(backend, backends.address(backend).to_string())
    };
    json!(endpoint).to_string()
}
