//! The results of one cell of the matrix, as they are printed and written as JSON.

use super::load::{NotServed, Observations};
use super::measurements::Measurements;
use super::phases::{LoadPhase, ProbePhase};
use super::setup::Setup;
use super::stall::Stall;
use crate::deployment::DiscoveryMode;
use crate::histogram::{millis, quantile_ms};
use hdrhistogram::Histogram;
use serde::Serialize;

/// The results of one cell. JSON has all of them as keys of a single object.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// The number of backends in the endpoint list.
    pub backends: usize,
    /// The number of tenants in the settings.
    pub tenants: usize,
    /// How the proxy learns the endpoint list.
    #[serde(rename = "mode")]
    pub discovery_mode: DiscoveryMode,
    /// Whether the configuration contains the endpoint list at the start.
    #[serde(rename = "known")]
    pub list_is_known: bool,
    /// The mean rate of the load, requests per second.
    #[serde(rename = "per_s")]
    pub requests_per_second: f64,
    /// The time from the start of the process to the first 200 response of `/-/ready`, s.
    pub ready_secs: f64,
    /// The proxy's memory.
    #[serde(flatten)]
    pub memory: MemoryUsage,
    /// The proxy's processor time.
    #[serde(flatten)]
    pub cpu: CpuUsage,
    /// The proxy's discovery traffic.
    #[serde(flatten)]
    pub discovery: DiscoveryTraffic,
    /// The counts of requests and connections under the load.
    #[serde(flatten)]
    pub requests: RequestStatistics,
    /// The latency that the proxy added to requests.
    #[serde(flatten)]
    pub latency: AddedLatency,
    /// The stalls of the data path.
    #[serde(flatten)]
    pub stalls: StallsByEvent,
}

/// The resident memory of the proxy.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MemoryUsage {
    /// Resident memory when the proxy is ready and has settled, MB.
    pub rss_start_mb: f64,
    /// Peak resident memory until the proxy is ready and has settled, MB.
    pub hwm_start_mb: f64,
    /// Resident memory after the load, MB.
    pub rss_load_mb: f64,
    /// Peak resident memory after the load, before further snapshots of the list are sent, MB.
    pub hwm_load_mb: f64,
    /// Peak resident memory at the end, after snapshots of the list were sent under load, MB.
    pub hwm_end_mb: f64,
}

/// The processor time of the proxy.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CpuUsage {
    /// Processor time in the idle phase, % of a core.
    pub cpu_idle_percent: f64,
    /// The duration of this measurement, s.
    pub idle_secs: f64,
    /// Processor time under the load, % of a core.
    pub cpu_load_percent: f64,
    /// The duration of this measurement, s.
    pub load_secs: f64,
    /// The time in which the proxy was runnable but had no core, % of the time: in the idle phase,
    /// under the load, and under the probes. A high value means that the machine was busy with
    /// other work, so that the measured times and stalls are too long.
    #[serde(rename = "waited_percent")]
    pub cpu_wait_percent: [f64; 3],
}

/// The traffic from discovery to the proxy.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DiscoveryTraffic {
    /// Bytes until the proxy is ready and has settled, including the heads of responses.
    pub list_bytes: u64,
    /// Bytes per second while the list does not change.
    pub idle_bytes_per_s: f64,
    /// Bytes per change of one entry. Includes all responses during the probes with changes.
    pub change_bytes: f64,
    /// The total number of calls.
    pub discovery_calls: u64,
}

/// The counts of requests and connections under the load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RequestStatistics {
    /// Requests that backends received, counting each attempt of a client's request.
    #[serde(rename = "requests")]
    pub forwarded: u64,
    /// Requests that did not get status 200, by the reason.
    pub not_served: NotServed,
    /// New connections to backends per request that a backend received, in each half of the load.
    #[serde(rename = "new_connections")]
    pub new_connections_per_request: [f64; 2],
}

/// The latency of served requests without the backend's service time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AddedLatency {
    /// The median, ms.
    pub added_p50_ms: f64,
    /// The 99th percentile, ms.
    pub added_p99_ms: f64,
    /// The maximum, ms.
    pub added_max_ms: f64,
    /// The part until the backend had received the request, including queueing and connecting, ms:
    /// median and 99th percentile.
    #[serde(rename = "before_ms")]
    pub before_backend_ms: [f64; 2],
    /// The part after the backend's response, ms: median and 99th percentile.
    #[serde(rename = "after_ms")]
    pub after_backend_ms: [f64; 2],
}

/// The longest round trips of probes under the load, for each kind of event during the probes.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StallsByEvent {
    /// Stalls without an event.
    #[serde(rename = "stall_plain")]
    pub without_event: Stall,
    /// Stalls when one entry of the list changes.
    #[serde(rename = "stall_change")]
    pub change: Stall,
    /// Stalls when a snapshot of the full list arrives.
    #[serde(rename = "stall_whole")]
    pub snapshot: Stall,
    /// The number of probes in each of these three cases, in the same order.
    pub probes: [usize; 3],
}

impl Cell {
    pub(super) fn new(setup: &Setup, measurements: &Measurements) -> Cell {
        Cell {
            backends: setup.backends,
            tenants: setup.tenants,
            discovery_mode: setup.discovery_mode,
            list_is_known: setup.list_is_known,
            requests_per_second: setup.requests_per_second,
            ready_secs: measurements.ready_after.as_secs_f64(),
            memory: MemoryUsage::new(measurements),
            cpu: CpuUsage::new(measurements),
            discovery: DiscoveryTraffic::new(measurements),
            requests: RequestStatistics::new(&measurements.load),
            latency: AddedLatency::new(&measurements.load.observations),
            stalls: StallsByEvent::new(&measurements.probes),
        }
    }
}

impl MemoryUsage {
    fn new(measurements: &Measurements) -> MemoryUsage {
        let settled = &measurements.idle.settled;
        let loaded = &measurements.loaded;
        MemoryUsage {
            rss_start_mb: megabytes(settled.rss_kb),
            hwm_start_mb: megabytes(settled.hwm_kb),
            rss_load_mb: megabytes(loaded.rss_kb),
            hwm_load_mb: megabytes(loaded.hwm_kb),
            hwm_end_mb: megabytes(measurements.end.hwm_kb),
        }
    }
}

impl CpuUsage {
    fn new(measurements: &Measurements) -> CpuUsage {
        let settled = &measurements.idle.settled;
        let idle = &measurements.idle.end;
        let loaded = &measurements.loaded;
        let end = &measurements.end;
        CpuUsage {
            cpu_idle_percent: idle.core_percent_since(settled),
            idle_secs: idle.secs_since(settled),
            cpu_load_percent: loaded.core_percent_since(idle),
            load_secs: loaded.secs_since(idle),
            cpu_wait_percent: [
                idle.cpu_wait_percent_since(settled),
                loaded.cpu_wait_percent_since(idle),
                end.cpu_wait_percent_since(loaded),
            ],
        }
    }
}

impl DiscoveryTraffic {
    fn new(measurements: &Measurements) -> DiscoveryTraffic {
        let idle = &measurements.idle;
        let idle_bytes = idle.end_bytes - idle.settled_bytes;
        let idle_secs = idle.end.secs_since(&idle.settled);
        DiscoveryTraffic {
            list_bytes: idle.settled_bytes,
            idle_bytes_per_s: idle_bytes as f64 / idle_secs,
            change_bytes: measurements.probes.change_bytes,
            discovery_calls: measurements.discovery_calls,
        }
    }
}

impl RequestStatistics {
    fn new(load: &LoadPhase) -> RequestStatistics {
        RequestStatistics {
            forwarded: load.forwarded_requests,
            not_served: load.observations.not_served,
            new_connections_per_request: load.new_connections_per_request,
        }
    }
}

impl AddedLatency {
    fn new(observations: &Observations) -> AddedLatency {
        let added_latency = &observations.added_latency;
        AddedLatency {
            added_p50_ms: quantile_ms(added_latency, 0.5),
            added_p99_ms: quantile_ms(added_latency, 0.99),
            added_max_ms: millis(added_latency.max()),
            before_backend_ms: median_and_p99_ms(&observations.before_backend),
            after_backend_ms: median_and_p99_ms(&observations.after_backend),
        }
    }
}

impl StallsByEvent {
    fn new(probes: &ProbePhase) -> StallsByEvent {
        StallsByEvent {
            without_event: probes.without_event.stall,
            change: probes.change.stall,
            snapshot: probes.snapshot.stall,
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
