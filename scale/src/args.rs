//! What the command line says.

use crate::failure::Failure;
use crate::real;
use crate::world::{Mode, TARGET_PROXIES};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::time::Duration;

/// Scale tests: what one real proxy costs at a size, and what many hollow ones do together.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    /// What to run.
    #[command(subcommand)]
    pub command: Command,
}

/// What to run.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// The real proxy beside stand-ins, cell by cell of backends x tenants.
    Real(RealArgs),
}

/// Options of `real`.
#[derive(Clone, Debug, Args)]
pub struct RealArgs {
    /// The proxy's program.
    #[arg(long, default_value = "target/release/gaugesaddle")]
    pub proxy: PathBuf,
    /// Backends in the list; more than one make more cells.
    #[arg(long, value_delimiter = ',', default_value = "200,2000,17000")]
    pub backends: Vec<usize>,
    /// Tenants in the settings; more than one make more cells.
    #[arg(long, value_delimiter = ',', default_value = "0,5800,58000")]
    pub tenants: Vec<usize>,
    /// How the proxy learns the list.
    #[arg(long, value_enum, default_value = "automatic")]
    pub discovery: Mode,
    /// The configuration holds the list, as after a restart; else it has to come from discovery.
    #[arg(long)]
    pub known: bool,
    /// Which of the 1,100 proxies it is.
    #[arg(long, default_value_t = 0)]
    pub position: u32,
    /// Listeners that stand for the backends.
    #[arg(long, default_value_t = 256)]
    pub listeners: usize,
    /// Requests a second.
    #[arg(long, default_value_t = 70.0)]
    pub rate: f64,
    /// A backend's time for a request, ms.
    #[arg(long, default_value_t = 5)]
    pub service_ms: u64,
    /// How long the proxy is left alone, s.
    #[arg(long, default_value_t = 20.0)]
    pub idle_secs: f64,
    /// How long the load lasts, s; new connections are told for each half.
    #[arg(long, default_value_t = 120.0)]
    pub load_secs: f64,
    /// A connection that has been idle for so long is closed, s.
    #[arg(long, default_value_t = 30.0)]
    pub conn_idle_secs: f64,
    /// Cells that run at once; each needs about half a core.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// For all that is random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Writes the figures to this file, as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// The cells of a matrix may hold so many backends and tenants.
const MOST: usize = 200_000;

fn check(holds: bool, text: impl FnOnce() -> String) -> Result<(), Failure> {
    holds.then_some(()).ok_or_else(|| Failure::Input(text()))
}

fn span(name: &str, secs: f64, least: f64) -> Result<Duration, Failure> {
    let sound = (least..=3_600.0).contains(&secs);
    check(sound, || format!("--{name}: expected {least} to 3600 seconds, got {secs}"))?;
    Ok(Duration::from_secs_f64(secs))
}

fn rate(name: &str, per_s: f64, most: f64) -> Result<f64, Failure> {
    let sound = per_s > 0.0 && per_s <= most;
    check(sound, || format!("--{name}: expected over 0 up to {most} a second, got {per_s}"))?;
    Ok(per_s)
}

impl RealArgs {
    /// One setup a cell, rows of backends first.
    pub fn setups(&self) -> Result<Vec<real::Setup>, Failure> {
        let within = |n: &usize| (1..=MOST).contains(n);
        check(!self.backends.is_empty() && self.backends.iter().all(within), || {
            format!("--backends: expected 1 to {MOST}, got {:?}", self.backends)
        })?;
        check(!self.tenants.is_empty() && self.tenants.iter().all(|n| *n <= MOST), || {
            format!("--tenants: expected up to {MOST}, got {:?}", self.tenants)
        })?;
        check(self.position < TARGET_PROXIES, || {
            format!("--position: expected less than {TARGET_PROXIES}, got {}", self.position)
        })?;
        check((1..=2_000).contains(&self.listeners), || {
            format!("--listeners: expected 1 to 2000, got {}", self.listeners)
        })?;
        check((1..=16).contains(&self.jobs), || format!("--jobs: expected 1 to 16, got {}", self.jobs))?;
        check(self.proxy.is_file(), || {
            format!("--proxy: expected the built proxy, got {}; build it first", self.proxy.display())
        })?;
        let cells = self.backends.iter().flat_map(|b| self.tenants.iter().map(move |t| (*b, *t)));
        let setup = |(backends, tenants)| {
            Ok(real::Setup {
                program: self.proxy.clone(),
                backends,
                tenants,
                mode: self.discovery,
                known: self.known,
                position: self.position,
                listeners: self.listeners,
                per_s: rate("rate", self.rate, 5_000.0)?,
                service: Duration::from_millis(self.service_ms),
                idle: span("idle-secs", self.idle_secs, 1.0)?,
                load: span("load-secs", self.load_secs, 2.0)?,
                conn_idle_secs: span("conn-idle-secs", self.conn_idle_secs, 1.0)?.as_secs_f64(),
                seed: self.seed,
            })
        };
        cells.map(setup).collect()
    }
}
