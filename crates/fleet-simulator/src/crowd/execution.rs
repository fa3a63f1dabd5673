//! Executes a run: a proxy, its backends and discovery, usual clients and a crowd.

use super::{CrowdRun, CrowdSetup, NamedCrowd};
use crate::failure::Failure;
use crate::real::discovery::Discovery;
use crate::real::process::ProxyProcess;
use brookstack_crowd::{Crowd, CrowdReport, PacedBackend, UsualClients, UsualReport};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The number of backends.
const BACKENDS: usize = 4;
/// The usual clients: about 50 requests/s together.
const USUAL_CLIENTS: UsualClients = UsualClients {
    clients: 10,
    pause: Duration::from_millis(190),
    split_pause: None,
};
/// The time from a start until the crowd comes.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// The pause between a SIGKILL and the next start.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// The pause between two readiness probes.
const PROBE_PAUSE: Duration = Duration::from_millis(20);

/// The limits of a proxy.
#[derive(Clone, Copy)]
pub(super) struct Limits {
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// The peak memory of the processes of a run, and whether one ended by itself.
#[derive(Default)]
struct ProcessResult {
    peak_kb: u64,
    after_kb: u64,
    has_ended: bool,
}

impl ProcessResult {
    fn add(&mut self, process: &mut ProxyProcess) -> Result<(), Failure> {
        if process.has_exited() {
            self.has_ended = true;
            return Ok(());
        }
        let usage = process.usage()?;
        self.peak_kb = self.peak_kb.max(usage.hwm_kb);
        self.after_kb = usage.rss_kb;
        Ok(())
    }
}

/// Executes a run.
pub(super) async fn run(
    setup: &CrowdSetup,
    crowd: &NamedCrowd,
    limits: Limits,
) -> Result<CrowdRun, Failure> {
    let discovery = Discovery::start(start_backends().await?).await?;
    let config = config(discovery.address, limits);
    let mut process = ProxyProcess::start(&setup.proxy, config.clone())?;
    let address = process.address;
    wait_until_ready(address).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let usual = tokio::spawn(USUAL_CLIENTS.run(address, setup.duration));
    let crowds = tokio::spawn(run_crowds(crowd.crowds.clone(), address, setup.duration));
    let mut result = ProcessResult::default();
    if setup.kills {
        tokio::time::sleep(setup.duration / 2).await;
        process = replace(process, &setup.proxy, config, &mut result).await?;
    }
    let report = crowds.await.map_err(Failure::in_step("running a crowd"))?;
    let usual = usual.await.map_err(Failure::in_step("running clients"))?;
    tokio::time::sleep(SETTLE_TIME).await;
    result.add(&mut process)?;
    Ok(crowd_run(crowd, limits, &result, &usual, report))
}

/// Starts the backends and returns their entries in the endpoint list.
async fn start_backends() -> Result<Vec<String>, Failure> {
    let mut endpoints = Vec::new();
    for number in 0..BACKENDS {
        let backend = PacedBackend::start()
            .await
            .map_err(Failure::in_step("starting a backend"))?;
        endpoints.push(endpoint(number, backend.address).to_string());
    }
    Ok(endpoints)
}

/// Runs crowds beside each other, and adds up what they got.
async fn run_crowds(crowds: Vec<Crowd>, address: SocketAddr, duration: Duration) -> CrowdReport {
    let running: Vec<_> = crowds
        .into_iter()
        .map(|crowd| tokio::spawn(crowd.run(address, duration)))
        .collect();
    let mut sum = CrowdReport::default();
    for crowd in running {
        let report = crowd.await.unwrap_or_default();
        sum.served += report.served;
        sum.refused += report.refused;
        sum.closed += report.closed;
    }
    sum
}

fn crowd_run(
    crowd: &NamedCrowd,
    limits: Limits,
    process: &ProcessResult,
    usual: &UsualReport,
    report: CrowdReport,
) -> CrowdRun {
    CrowdRun {
        crowd: crowd.name.to_string(),
        memory_mb: limits.memory_mb,
        descriptors: limits.descriptors,
        peak_kb: process.peak_kb,
        after_kb: process.after_kb,
        usual_served: usual.served.len(),
        usual_refused: usual.refused.len(),
        usual_lost: usual.lost,
        usual_unanswered: usual.unanswered,
        usual_p50_ms: usual.quantile(0.5).as_secs_f64() * 1e3,
        usual_p99_ms: usual.quantile(0.99).as_secs_f64() * 1e3,
        crowd_served: report.served,
        crowd_refused: report.refused,
        crowd_closed: report.closed,
        has_ended: process.has_ended,
    }
}

/// Kills the process and starts another one at the same address.
async fn replace(
    mut process: ProxyProcess,
    program: &Path,
    config: Value,
    result: &mut ProcessResult,
) -> Result<ProxyProcess, Failure> {
    result.add(&mut process)?;
    let address = process.address;
    drop(process);
    tokio::time::sleep(RESTART_DELAY).await;
    ProxyProcess::start_at(program, config, address)
}

async fn wait_until_ready(address: SocketAddr) {
    while !is_ready(address).await {
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let probe = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut status_line = [0; 12];
        stream.read_exact(&mut status_line).await.ok()?;
        Some(status_line.ends_with(b"200"))
    };
    probe.await == Some(true)
}

fn endpoint(number: usize, address: SocketAddr) -> Value {
    json!({
        "name": format!("b{number}"), "address": address.to_string(), "zone": "east",
        "type": "m1", "group": 1, "status": "ready", "weight": 1.0, "since_ms": 0,
    })
}

fn config(discovery: SocketAddr, limits: Limits) -> Value {
    json!({
        "name": "n0",
        "listen": "",
        "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {
            "cores": 1.0,
            "memory_mb": limits.memory_mb,
            "sockets": limits.descriptors,
        },
        "known": {"index": 0, "snapshot": true, "endpoints": []},
        "settings": settings(),
    })
}

fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({
            "name": name, "effect": effect, "key_scope": "all", "window_us": 5_000_000,
            "aim_us": 1_000_000, "deadline_us": 2_000_000, "gain": 1.0, "late_worth": 0.2,
            "stream": false,
        })
    };
    json!({
        "blend": {"whole": 0.7, "worst_class": 0.3},
        "costs": {"cross_zone": 0.0},
        "customers": [],
        "discovery": "automatic",
        "granularity_us": 5000,
        "group_size": 1,
        "position": 0,
        "limits": {
            "cancel": true, "conn_idle_us": 20_000_000, "dial_timeout_us": 250_000,
            "max_attempts": 4, "open_cap": 20_000, "parallel_tries": false,
        },
        "my_zone": "east",
        "over_share_worth": 0.1,
        "profiles": [
            class("read", "free"), class("vote", "guarded"), class("pay", "single_shot")
        ],
        "rules": {
            "cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 10_000_000,
            "ramp_time_us": 3_000_000, "tip_after_us": 2_000_000,
        },
        "weight_source": "rough",
        "zones": ["east", "west"],
    })
}
