//! The proxy processes of a run, and the load balancer in front of them, through which clients
//! connect.

use super::discovery::{Discovery, ADDRESSES_PER_PROXY, ZONES};
use super::plan::{ListSource, Plan, PlannedSignal, ProxySignal, PROXIES};
use super::records::{LogLine, ProcessRecord, Recorder, RunClock};
use crate::failure::{Failure, InputError};
use procfs::process::Process;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The load balancer in front goes on sending new connections to a proxy for this time after
/// SIGTERM, s.
const NEW_CONNECTIONS_AFTER_SIGTERM_SECS: f64 = 0.3;
/// SIGKILL follows SIGTERM after the longest deadline of a client plus this time, s.
const KILL_DELAY_SECS: f64 = 0.7;
/// The upper limit on the deadline in the time between SIGTERM and SIGKILL, s.
const MAX_KILL_DEADLINE_SECS: f64 = 3.0;
/// The pause between the end of a process and the start of the next one, s.
const RESTART_DELAY_SECS: f64 = 0.1;
/// A new process gets no signal during this time, s. Until it has installed its signal handlers,
/// a signal would end it.
const SIGNAL_DELAY_SECS: f64 = 0.2;
/// The interval at which the state and the resources of a process are sampled, s.
const SAMPLE_INTERVAL_SECS: f64 = 0.02;

/// The load balancer in front of the proxies: it knows their addresses, and which of them accept
/// new connections.
#[derive(Clone)]
pub struct FrontLoadBalancer {
    addresses: [SocketAddr; PROXIES],
    open: Arc<[AtomicBool; PROXIES]>,
}

impl FrontLoadBalancer {
    /// Creates a load balancer for proxies at these addresses. None accepts connections yet.
    pub fn new(addresses: [SocketAddr; PROXIES]) -> FrontLoadBalancer {
        FrontLoadBalancer {
            addresses,
            open: Arc::default(),
        }
    }

    /// The address that a proxy listens on.
    pub fn address(&self, proxy: usize) -> SocketAddr {
        self.addresses[proxy]
    }

    /// Picks a random proxy among those that accept new connections; `None` if there is none.
    pub fn pick(&self, random: &mut Pcg64Mcg) -> Option<usize> {
        let open: Vec<usize> = (0..PROXIES)
            .filter(|proxy| self.open[*proxy].load(SeqCst))
            .collect();
        open.choose(random).copied()
    }

    fn set_open(&self, proxy: usize, is_open: bool) {
        self.open[proxy].store(is_open, SeqCst);
    }
}

/// One proxy of a run, with all of the processes that run for it one after another.
pub struct Proxy {
    /// The number of the proxy.
    pub number: usize,
    /// The proxy's executable file.
    pub program: PathBuf,
    /// The plan of the run.
    pub plan: Plan,
    /// The discovery addresses that this proxy can be moved between.
    pub discovery_addresses: [SocketAddr; ADDRESSES_PER_PROXY],
    /// Discovery, which knows the endpoint list that it last wrote to this proxy.
    pub discovery: Discovery,
    /// The load balancer in front of the proxies.
    pub load_balancer: FrontLoadBalancer,
    /// The clock of the run.
    pub clock: RunClock,
    /// Records the processes and their logs.
    pub recorder: Recorder,
}

/// A running process of a proxy. Dropping it kills the process.
struct RunningProcess {
    child: Child,
    record: ProcessRecord,
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Why the monitoring of a process ended.
enum MonitorResult {
    /// The time until which it was to be monitored was reached.
    TimeReached,
    /// The process exited before that time.
    Exited,
}

impl Proxy {
    /// Runs the processes of the proxy and sends its signals until the run ends at `end`, s.
    pub async fn run(self, end: f64) -> Result<(), Failure> {
        let mut discovery_index = 0;
        let mut process = self.start(discovery_index)?;
        let signals: Vec<PlannedSignal> = self.plan.signals.clone();
        for planned in signals.iter().filter(|s| s.proxy == self.number) {
            if planned.at < process.record.started_at + SIGNAL_DELAY_SECS {
                // The signal was sent during the shutdown, or the new process may not have
                // installed its signal handlers yet.
                continue;
            }
            self.monitor(&mut process, planned.at).await;
            match planned.signal {
                ProxySignal::MoveDiscovery => {
                    discovery_index = (discovery_index + 1) % ADDRESSES_PER_PROXY;
                    self.write_config(&self.config(discovery_index).to_string())?;
                    signal(&process, "-HUP");
                }
                ProxySignal::UnreadableConfiguration => {
                    self.write_config("{")?;
                    signal(&process, "-HUP");
                }
                ProxySignal::Restart => {
                    self.shut_down(&mut process).await;
                    process = self.replace(process, discovery_index).await?;
                }
                ProxySignal::Kill => {
                    process.record.killed_at = Some(self.clock.now());
                    let _ = process.child.kill();
                    self.load_balancer.set_open(self.number, false);
                    process = self.replace(process, discovery_index).await?;
                }
            }
        }
        self.monitor(&mut process, end).await;
        self.record(&process);
        let _ = std::fs::remove_file(self.config_file());
        Ok(())
    }

    /// Sends SIGTERM, and if the process is still running at the earliest time that the operators'
    /// rules allow, SIGKILL.
    async fn shut_down(&self, process: &mut RunningProcess) {
        let now = self.clock.now();
        process.record.terminated_at = Some(now);
        signal(process, "-TERM");
        let deadline = self.plan.deadline_secs.min(MAX_KILL_DEADLINE_SECS);
        let kill_at = now + deadline + KILL_DELAY_SECS;
        let load_balancer = self.load_balancer.clone();
        let (clock, number) = (self.clock, self.number);
        tokio::spawn(async move {
            clock
                .sleep_until(now + NEW_CONNECTIONS_AFTER_SIGTERM_SECS)
                .await;
            load_balancer.set_open(number, false);
        });
        // Planned SIGHUPs are also sent during the shutdown. They do not change the configuration
        // file.
        let sighups = self.plan.signals.iter().filter(|s| {
            let is_sighup = matches!(
                s.signal,
                ProxySignal::MoveDiscovery | ProxySignal::UnreadableConfiguration
            );
            s.proxy == self.number && is_sighup && s.at > now && s.at < kill_at
        });
        for sighup in sighups.copied().collect::<Vec<_>>() {
            if matches!(
                self.monitor(process, sighup.at).await,
                MonitorResult::Exited
            ) {
                return;
            }
            signal(process, "-HUP");
        }
        if matches!(
            self.monitor(process, kill_at).await,
            MonitorResult::TimeReached
        ) {
            process.record.killed_at = Some(self.clock.now());
            let _ = process.child.kill();
        }
    }

    async fn replace(
        &self,
        mut old: RunningProcess,
        discovery_index: usize,
    ) -> Result<RunningProcess, Failure> {
        let _ = old.child.wait();
        self.record(&old);
        drop(old);
        self.load_balancer.set_open(self.number, false);
        tokio::time::sleep(Duration::from_secs_f64(RESTART_DELAY_SECS)).await;
        self.start(discovery_index)
    }

    /// Monitors a process until a time: records when it is ready, when it ends, and the most memory
    /// and file descriptors that it holds.
    async fn monitor(&self, process: &mut RunningProcess, until: f64) -> MonitorResult {
        while self.clock.now() < until {
            self.sample_resources(process);
            if let Ok(Some(status)) = process.child.try_wait() {
                if process.record.exited_at.is_none() {
                    process.record.exited_at = Some(self.clock.now());
                    let is_exit_requested = process.record.terminated_at.is_some();
                    process.record.has_crashed = !status.success() || !is_exit_requested;
                }
                return MonitorResult::Exited;
            }
            let is_starting = process.record.ready_at.is_none();
            if is_starting && is_ready(self.load_balancer.address(self.number)).await {
                process.record.ready_at = Some(self.clock.now());
                if process.record.terminated_at.is_none() {
                    self.load_balancer.set_open(self.number, true);
                }
            }
            let pause = SAMPLE_INTERVAL_SECS.min((until - self.clock.now()).max(0.0));
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        }
        MonitorResult::TimeReached
    }

    fn sample_resources(&self, process: &mut RunningProcess) {
        // A forked process holds the descriptors of its parent until it executes its program.
        if self.clock.now() < process.record.started_at + SAMPLE_INTERVAL_SECS {
            return;
        }
        let Ok(stat) = Process::new(process.child.id() as i32) else {
            return;
        };
        let memory = stat.status().ok().and_then(|status| status.vmhwm);
        let record = &mut process.record;
        record.max_memory_kb = record.max_memory_kb.max(memory.unwrap_or(0));
        let descriptors = stat.fd_count().unwrap_or(0);
        if descriptors > record.max_descriptors {
            record.max_descriptors = descriptors;
            record.max_descriptors_at = self.clock.now();
        }
    }

    fn record(&self, process: &RunningProcess) {
        self.recorder.lock().processes.push(process.record.clone());
    }

    fn start(&self, discovery_index: usize) -> Result<RunningProcess, Failure> {
        self.write_config(&self.config(discovery_index).to_string())?;
        let started_at = self.clock.now();
        let mut child = Command::new(&self.program)
            .env("BALANCER_CONFIG", self.config_file())
            .env("BROOKSTACK_LOG", "debug")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| InputError::StartProxy {
                program: self.program.clone(),
                source,
            })?;
        if let Some(stderr) = child.stderr.take() {
            collect_log(stderr, self.number, self.recorder.clone());
        }
        let record = ProcessRecord {
            proxy: self.number,
            started_at,
            ..ProcessRecord::default()
        };
        Ok(RunningProcess { child, record })
    }

    fn config_file(&self) -> PathBuf {
        let name = format!(
            "brookstack-soak-{}-{}-{}.json",
            std::process::id(),
            self.plan.seed,
            self.number
        );
        std::env::temp_dir().join(name)
    }

    fn write_config(&self, text: &str) -> Result<(), Failure> {
        std::fs::write(self.config_file(), text).map_err(Failure::in_step(
            "writing the configuration file of a proxy",
        ))
    }

    fn config(&self, discovery_index: usize) -> Value {
        json!({
            "name": format!("n{}", self.number),
            "listen": self.load_balancer.address(self.number).to_string(),
            "discovery": self.discovery_addresses[discovery_index].to_string(),
            "seed": format!("{:x}", self.plan.seed.wrapping_mul(31) + self.number as u64 + 1),
            "limits": {
                "cores": 1.0,
                "memory_mb": self.plan.limits.memory_mb,
                "sockets": self.plan.limits.descriptors,
            },
            "known": self.discovery.known_list(self.number),
            "settings": settings(&self.plan, self.number),
        })
    }
}

fn settings(plan: &Plan, proxy: usize) -> Value {
    let deadline_us = (plan.deadline_secs * 1e6) as u64;
    let class = |name: &str, effect: &str| {
        json!({
            "name": name, "effect": effect, "key_scope": plan.key_scope,
            "window_us": (plan.key_window_secs * 1e6) as u64,
            "aim_us": deadline_us / 2, "deadline_us": deadline_us,
            "gain": 1.0, "late_worth": 0.2, "stream": false,
        })
    };
    let source = match plan.list_source {
        ListSource::Push => "automatic",
        ListSource::Poll => "subscribe",
    };
    json!({
        "blend": {"whole": 0.7, "worst_class": 0.3},
        "costs": {"cross_zone": 0.0},
        "customers": [],
        "discovery": source,
        "granularity_us": 5000,
        "group_size": PROXIES,
        "position": proxy,
        "limits": {
            "cancel": plan.cancellation_allowed, "conn_idle_us": 20_000_000,
            "dial_timeout_us": 250_000, "max_attempts": 4, "open_cap": 2_000,
            "parallel_tries": plan.hedging_allowed,
        },
        "my_zone": ZONES[proxy % ZONES.len()],
        "over_share_worth": 0.1,
        "profiles": [class("read", "free"), class("vote", "guarded"), class("pay", "single_shot")],
        "rules": {
            "cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 10_000_000,
            "ramp_time_us": 3_000_000, "tip_after_us": 2_000_000,
        },
        "weight_source": "rough",
        "zones": ZONES,
    })
}

fn signal(process: &RunningProcess, name: &str) {
    let pid = process.child.id().to_string();
    let _ = Command::new("kill")
        .args([name, &pid])
        .stderr(Stdio::null())
        .status();
}

async fn is_ready(address: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = "GET /-/ready HTTP/1.1\r\nHost: soak\r\n\r\n";
        stream.write_all(request.as_bytes()).await.ok()?;
        let response = super::http::MessageReader::default()
            .read(&mut stream)
            .await;
        response.ok()?.status()
    };
    let limit = Duration::from_secs(1);
    matches!(tokio::time::timeout(limit, check).await, Ok(Some(200)))
}

/// Records the lines that a process writes to standard error, until it ends.
fn collect_log(stderr: ChildStderr, proxy: usize, recorder: Recorder) {
    std::thread::spawn(move || {
        for text in BufReader::new(stderr).lines().map_while(Result::ok) {
            recorder.lock().log.push(LogLine { proxy, text });
        }
    });
}

/// Checks that the proxy's executable file exists.
pub fn check_program(program: &Path) -> Result<(), InputError> {
    if program.is_file() {
        return Ok(());
    }
    Err(InputError::proxy_is_not_a_file(program))
}
