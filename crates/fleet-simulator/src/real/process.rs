//! Starts and ends the real proxy's process, and reads its use of memory and processor time.

use crate::failure::{Failure, InputError};
use procfs::process::{LimitValue, Process};
use procfs::ProcResult;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// The environment variable with the proxy's log directives.
const LOG_VARIABLE: &str = "BROOKSTACK_LOG";

/// A running proxy. Dropping it kills the process and removes its configuration file.
pub struct ProxyProcess {
    child: Child,
    config_file: PathBuf,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// When it was started.
    pub started_at: Instant,
}

/// The memory that a process holds and the processor time that it has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Resident memory now, KB.
    pub rss_kb: u64,
    /// Peak resident memory so far, KB.
    pub hwm_kb: u64,
    /// Processor time so far, s. The operating system counts it in ticks of usually 0.01 s.
    pub cpu_secs: f64,
    /// Time so far in which the process was runnable but had no core, because the machine was busy
    /// with other work, s.
    pub cpu_wait_secs: f64,
    /// When these values were read.
    pub at: Instant,
}

impl Usage {
    /// Processor time since an earlier reading, % of a core.
    pub fn core_percent_since(&self, earlier: &Usage) -> f64 {
        100.0 * (self.cpu_secs - earlier.cpu_secs) / self.secs_since(earlier)
    }

    /// Time in which the process was runnable but had no core since an earlier reading, % of the
    /// time.
    pub fn cpu_wait_percent_since(&self, earlier: &Usage) -> f64 {
        100.0 * (self.cpu_wait_secs - earlier.cpu_wait_secs) / self.secs_since(earlier)
    }

    /// Time since an earlier reading, s.
    pub fn secs_since(&self, earlier: &Usage) -> f64 {
        (self.at - earlier.at).as_secs_f64()
    }
}

impl ProxyProcess {
    /// Starts the program with this configuration, after replacing `listen` by an address with a
    /// free port.
    pub fn start(program: &Path, config: Value) -> Result<ProxyProcess, Failure> {
        let address = free_address().map_err(Failure::in_step("searching for a free port"))?;
        ProxyProcess::start_at(program, config, address)
    }

    /// Starts the program with this configuration, after replacing `listen` by the address.
    pub fn start_at(
        program: &Path,
        mut config: Value,
        address: SocketAddr,
    ) -> Result<ProxyProcess, Failure> {
        config["listen"] = address.to_string().into();
        let config_file = config_file(address);
        std::fs::write(&config_file, config.to_string()).map_err(Failure::in_step(
            "writing the configuration file of the proxy",
        ))?;
        drop(config);
        let started_at = Instant::now();
        let child = Command::new(program)
            .env("BALANCER_CONFIG", &config_file)
            .env(LOG_VARIABLE, log_directives())
            .stdin(Stdio::null())
            .spawn()
            .map_err(|source| InputError::StartProxy {
                program: program.to_path_buf(),
                source,
            })?;
        Ok(ProxyProcess {
            child,
            config_file,
            address,
            started_at,
        })
    }

    /// Whether the process has exited. It is not expected to exit before it is killed.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Reads the memory that the process holds and the processor time that it has used so far.
    pub fn usage(&self) -> Result<Usage, Failure> {
        usage(self.child.id() as i32).map_err(Failure::in_step(
            "reading the memory and processor time of the proxy",
        ))
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}

fn usage(pid: i32) -> ProcResult<Usage> {
    let process = Process::new(pid)?;
    let stat = process.stat()?;
    let status = process.status()?;
    let cpu_ticks = stat.utime + stat.stime;
    Ok(Usage {
        rss_kb: status.vmrss.unwrap_or(0),
        hwm_kb: status.vmhwm.unwrap_or(0),
        cpu_secs: cpu_ticks as f64 / procfs::ticks_per_second() as f64,
        // This value covers only the first thread of the process. The proxy has no other thread.
        cpu_wait_secs: process
            .schedstat()
            .map_or(0.0, |schedule| schedule.run_delay as f64 / 1e9),
        at: Instant::now(),
    })
}

/// The resident memory of this process, KB.
pub fn own_rss_kb() -> Result<u64, Failure> {
    let own_pid = std::process::id() as i32;
    let usage = usage(own_pid).map_err(Failure::in_step("reading the memory of this process"))?;
    Ok(usage.rss_kb)
}

/// The soft limit on open file descriptors of this process, which the processes that it starts
/// inherit.
pub fn max_open_files() -> Result<u64, Failure> {
    let limits = Process::myself()
        .and_then(|own| own.limits())
        .map_err(Failure::in_step(
            "reading the limit on open file descriptors",
        ))?;
    Ok(match limits.max_open_files.soft_limit {
        LimitValue::Value(max) => max,
        LimitValue::Unlimited => u64::from(u32::MAX),
    })
}

/// The log directives of the proxy: those of this process, or only errors.
fn log_directives() -> String {
    std::env::var(LOG_VARIABLE).unwrap_or_else(|_| "error".to_string())
}

/// The path of the configuration file of the proxy at that address.
fn config_file(address: SocketAddr) -> PathBuf {
    let name = format!(
        "brookstack-fleet-simulator-{}-{}.json",
        std::process::id(),
        address.port()
    );
    std::env::temp_dir().join(name)
}

/// An address with a port that is free at this moment. The proxy's configuration has to contain a
/// fixed port, so another program may take the port before the proxy listens on it.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
