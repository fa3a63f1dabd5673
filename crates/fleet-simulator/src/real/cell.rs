//! The figures of one cell of the matrix: the real proxy at one size.

use super::load::{NotServed, Observations};
use super::measurements::Measurements;
use super::phases::{LoadPhase, ProbePhase};
use super::setup::Setup;
use super::stall::Stall;
use crate::deployment::DiscoveryMode;
use crate::histogram::{millis, quantile_ms};
use hdrhistogram::Histogram;
use serde::Serialize;

/// What was measured in a cell. In JSON all figures stand side by side.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// Backends in the endpoint list.
    pub backends: usize,
    /// Tenants in the settings.
    pub tenants: usize,
    /// How the proxy learns the endpoint list.
    #[serde(rename = "mode")]
    pub discovery_mode: DiscoveryMode,
    /// Whether the configuration holds the endpoint list at the start.
    #[serde(rename = "known")]
    pub list_is_known: bool,
    /// The rate of the load, requests a second.
    #[serde(rename = "per_s")]
    pub requests_per_second: f64,
    /// From the start of the process to the first 200 of `/-/ready`, s.
    pub ready_secs: f64,
    /// The proxy's memory.
    #[serde(flatten)]
    pub memory: MemoryFigures,
    /// The proxy's processor time.
    #[serde(flatten)]
    pub cpu: CpuFigures,
    /// What the proxy received from discovery.
    #[serde(flatten)]
    pub discovery: DiscoveryFigures,
    /// The requests of the load.
    #[serde(flatten)]
    pub requests: RequestFigures,
    /// The latency that the proxy added to requests.
    #[serde(flatten)]
    pub latency: LatencyFigures,
    /// The stalls of the data path.
    #[serde(flatten)]
    pub stalls: StallFigures,
}

/// Resident memory of the proxy.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MemoryFigures {
    /// Once the proxy is ready and has settled, MB.
    pub rss_start_mb: f64,
    /// The highest until then, MB.
    pub hwm_start_mb: f64,
    /// After the load, MB.
    pub rss_load_mb: f64,
    /// The highest after the load, before further whole lists are sent, MB.
    pub hwm_load_mb: f64,
    /// The highest at the end, after whole lists were sent under load, MB.
    pub hwm_end_mb: f64,
}

/// Processor time of the proxy.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CpuFigures {
    /// Processor time when idle, % of a core.
    pub cpu_idle_percent: f64,
    /// How long that was measured, s.
    pub idle_secs: f64,
    /// Processor time under the load, % of a core.
    pub cpu_load_percent: f64,
    /// How long that was measured, s.
    pub load_secs: f64,
    /// Time in which the proxy was runnable and had no core, % of the time: when idle, under the
    /// load and under the probes. Where this is much, the machine was busy with other work, and has
    /// lengthened the times and stalls that were measured.
    #[serde(rename = "waited_percent")]
    pub cpu_wait_percent: [f64; 3],
}

/// What the proxy received from discovery.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DiscoveryFigures {
    /// Bytes until the proxy is ready and has settled, heads of responses included.
    pub list_bytes: u64,
    /// Bytes a second when nothing changes.
    pub idle_bytes_per_s: f64,
    /// Bytes for the change of one entry, those of the next call included.
    pub change_bytes: f64,
    /// Calls in all.
    pub discovery_calls: u64,
}

/// The requests of the load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RequestFigures {
    /// Requests that reached backends.
    #[serde(rename = "requests")]
    pub forwarded: u64,
    /// Requests that were not served.
    pub not_served: NotServed,
    /// New connections to backends per request, in each half of the load.
    #[serde(rename = "new_connections")]
    pub new_connections_per_request: [f64; 2],
}

/// Latency beyond the backend's service time, of served requests.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencyFigures {
    /// The median, ms.
    pub added_p50_ms: f64,
    /// The 99th percentile, ms.
    pub added_p99_ms: f64,
    /// The longest, ms.
    pub added_max_ms: f64,
    /// The part until the backend had the request, queueing and connecting included, ms: median and
    /// 99th percentile.
    #[serde(rename = "before_ms")]
    pub before_backend_ms: [f64; 2],
    /// The part after the backend's response, ms: median and 99th percentile.
    #[serde(rename = "after_ms")]
    pub after_backend_ms: [f64; 2],
}

/// The longest round trips of probes under the load, by what happened during them.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StallFigures {
    /// Nothing happened.
    #[serde(rename = "stall_plain")]
    pub without_event: Stall,
    /// One entry of the list changed.
    #[serde(rename = "stall_change")]
    pub change: Stall,
    /// A whole list came.
    #[serde(rename = "stall_whole")]
    pub snapshot: Stall,
    /// How many probes there were in each of these three cases.
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
            memory: MemoryFigures::new(measurements),
            cpu: CpuFigures::new(measurements),
            discovery: DiscoveryFigures::new(measurements),
            requests: RequestFigures::new(&measurements.load),
            latency: LatencyFigures::new(&measurements.load.observations),
            stalls: StallFigures::new(&measurements.probes),
        }
    }
}

impl MemoryFigures {
    fn new(measurements: &Measurements) -> MemoryFigures {
        let settled = &measurements.idle.settled;
        let loaded = &measurements.loaded;
        MemoryFigures {
            rss_start_mb: megabytes(settled.rss_kb),
            hwm_start_mb: megabytes(settled.hwm_kb),
            rss_load_mb: megabytes(loaded.rss_kb),
            hwm_load_mb: megabytes(loaded.hwm_kb),
            hwm_end_mb: megabytes(measurements.end.hwm_kb),
        }
    }
}

impl CpuFigures {
    fn new(measurements: &Measurements) -> CpuFigures {
        let settled = &measurements.idle.settled;
        let idle = &measurements.idle.end;
        let loaded = &measurements.loaded;
        let end = &measurements.end;
        CpuFigures {
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

impl DiscoveryFigures {
    fn new(measurements: &Measurements) -> DiscoveryFigures {
        let idle = &measurements.idle;
        let idle_bytes = idle.end_bytes - idle.settled_bytes;
        let idle_secs = idle.end.secs_since(&idle.settled);
        DiscoveryFigures {
            list_bytes: idle.settled_bytes,
            idle_bytes_per_s: idle_bytes as f64 / idle_secs,
            change_bytes: measurements.probes.change_bytes,
            discovery_calls: measurements.discovery_calls,
        }
    }
}

impl RequestFigures {
    fn new(load: &LoadPhase) -> RequestFigures {
        RequestFigures {
            forwarded: load.forwarded_requests,
            not_served: load.observations.not_served,
            new_connections_per_request: load.new_connections_per_request,
        }
    }
}

impl LatencyFigures {
    fn new(observations: &Observations) -> LatencyFigures {
        let added_latency = &observations.added_latency;
        LatencyFigures {
            added_p50_ms: quantile_ms(added_latency, 0.5),
            added_p99_ms: quantile_ms(added_latency, 0.99),
            added_max_ms: millis(added_latency.max()),
            before_backend_ms: median_and_p99_ms(&observations.before_backend),
            after_backend_ms: median_and_p99_ms(&observations.after_backend),
        }
    }
}

impl StallFigures {
    fn new(probes: &ProbePhase) -> StallFigures {
        StallFigures {
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
