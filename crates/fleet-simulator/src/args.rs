//! The command line: its commands and their options.

mod matrix;
mod setups;

use crate::deployment::DiscoveryMode;
use crate::simulated::scenario::Scenario;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Capacity tests: what one real proxy costs, and what many simulated proxies do together.
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
    /// The real proxy beside stand-ins, one cell for each number of backends and of tenants.
    Real(RealArgs),
    /// Simulated proxies on a simulated clock.
    Fleet(FleetArgs),
    /// A fixed set of both, with a table for each.
    All(AllArgs),
    /// Real proxies under faults that seeds draw, and the operators' rules.
    Soak(SoakArgs),
}

/// Options of `soak`.
#[derive(Clone, Debug, Args)]
pub struct SoakArgs {
    /// The proxy's program.
    #[arg(long, default_value = "target/release/brookstack-proxy")]
    pub proxy: PathBuf,
    /// How many runs there are, each with a seed of its own.
    #[arg(long, default_value_t = 50)]
    pub seeds: u64,
    /// The seed of the first run; each further run has the next one.
    #[arg(long, default_value_t = 1)]
    pub first_seed: u64,
    /// A seed that is left out. May be given several times.
    #[arg(long)]
    pub except: Vec<u64>,
    /// Runs at once. Each needs about half a core.
    #[arg(long, default_value_t = 2)]
    pub jobs: usize,
    /// Writes plans and results to this file, as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Options of `real`.
#[derive(Clone, Debug, Args)]
pub struct RealArgs {
    /// The proxy's program.
    #[arg(long, default_value = "target/release/brookstack-proxy")]
    pub proxy: PathBuf,
    /// Numbers of backends in the endpoint list. Each number makes a row of cells.
    #[arg(long, value_delimiter = ',', default_value = "200,2000,17000")]
    pub backends: Vec<usize>,
    /// Numbers of tenants in the settings. Each number makes a cell for each number of backends.
    #[arg(long, value_delimiter = ',', default_value = "0,5800,58000")]
    pub tenants: Vec<usize>,
    /// How the proxy learns the endpoint list.
    #[arg(long, value_enum, default_value = "automatic")]
    pub discovery: DiscoveryMode,
    /// Puts the endpoint list into the configuration, as after a restart. Otherwise the proxy has
    /// to get it from discovery.
    #[arg(long)]
    pub known: bool,
    /// Which of the 1,100 proxies of the target deployment it is, from 0.
    #[arg(long, default_value_t = 0)]
    pub position: u32,
    /// Listeners that the backends share.
    #[arg(long, default_value_t = 256)]
    pub listeners: usize,
    /// Requests a second.
    #[arg(long, default_value_t = 70.0)]
    pub rate: f64,
    /// The time that a backend takes for a request, ms.
    #[arg(long, default_value_t = 5)]
    pub service_ms: u64,
    /// How long the proxy idles, s.
    #[arg(long, default_value_t = 20.0)]
    pub idle_secs: f64,
    /// How long the load lasts, s. New connections are reported for each half of it.
    #[arg(long, default_value_t = 120.0)]
    pub load_secs: f64,
    /// A connection that has been idle for this long is closed, s.
    #[arg(long, default_value_t = 30.0)]
    pub conn_idle_secs: f64,
    /// Cells that run at once. Each needs about half a core.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// The seed of all that is random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Writes the figures to this file, as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Options of `fleet`.
#[derive(Clone, Debug, Args)]
pub struct FleetArgs {
    /// What happens. There is one run for each scenario.
    #[arg(
        long,
        value_enum,
        value_delimiter = ',',
        default_value = "calm,outage,cold,release,rebirth"
    )]
    pub scenario: Vec<Scenario>,
    /// How many proxies there are.
    #[arg(long, default_value_t = 30)]
    pub proxies: u32,
    /// How many backends there are.
    #[arg(long, default_value_t = 464)]
    pub backends: usize,
    /// Requests a second at a proxy, on average. By default, the rate that gives each backend its
    /// load at the target's peak.
    #[arg(long)]
    pub rate: Option<f64>,
    /// One proxy in ten gets this many times as many requests as the others.
    #[arg(long, default_value_t = 1.0)]
    pub skew: f64,
    /// Simulated seconds, 4 of them to warm up.
    #[arg(long, default_value_t = 24.0)]
    pub secs: f64,
    /// The time that discovery takes to serve a call, ms. By default, it serves all proxies once in
    /// 6.5 s.
    #[arg(long)]
    pub call_ms: Option<f64>,
    /// Backends replaced a second, in the scenario `calm`.
    #[arg(long, default_value_t = 0.2)]
    pub churn: f64,
    /// The number of backends in the rack that fails. By default, one in 425 backends, at least 4.
    #[arg(long)]
    pub rack: Option<usize>,
    /// A connection that has been idle for this long is closed, s.
    #[arg(long, default_value_t = 30.0)]
    pub conn_idle_secs: f64,
    /// What the balancer's objective loses if every request crosses zones once.
    #[arg(long, default_value_t = 0.0)]
    pub cross_zone: f64,
    /// Threads. The figures do not depend on their number.
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
    /// The seed of all that is random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Writes the figures to this file, as JSON. The same options give the same bytes.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Options of `all`.
#[derive(Clone, Debug, Args)]
pub struct AllArgs {
    /// Runs fewer sizes and scenarios, and shorter phases.
    #[arg(long)]
    pub quick: bool,
    /// The proxy's program.
    #[arg(long, default_value = "target/release/brookstack-proxy")]
    pub proxy: PathBuf,
    /// Threads of a fleet, and cells of the real proxy that run at once.
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
    /// The seed of all that is random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Writes the figures to this file, as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
}
