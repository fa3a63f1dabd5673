//! The command line: commands and their options. The doc comments of arguments and commands are
//! their help texts.

mod matrix;
mod setups;

use crate::deployment::DiscoveryMode;
use crate::simulated::scenario::Scenario;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Capacity and soak tests: resource use of one real proxy, the joint behavior of many simulated
/// proxies, and real proxies under injected faults.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// What to run.
    #[command(subcommand)]
    pub command: Command,
}

/// What to run.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Measures a real proxy, with stand-ins for discovery, backends and clients. Each combination
    /// of a number of backends and a number of tenants is one cell of a matrix, with its own proxy.
    Real(RealArgs),
    /// Measures the memory of a real proxy beside crowds of clients, and what usual clients get
    /// beside them. Each combination of a crowd, a memory limit and a limit on descriptors is one
    /// run, with its own proxy.
    Crowd(CrowdArgs),
    /// Runs simulated proxies on a simulated clock, and checks their joint behavior.
    Fleet(FleetArgs),
    /// Runs a fixed matrix of `real` and `fleet`, and prints a table for each.
    All(AllArgs),
    /// Runs real proxies with injected faults, and checks that they keep the operators' rules. The
    /// seed of a run determines its faults.
    Soak(SoakArgs),
}

/// Options of `soak`.
#[derive(Clone, Debug, Args)]
pub struct SoakArgs {
    /// Path of the proxy program.
    #[arg(long, default_value = "target/release/brookstack-proxy")]
    pub proxy: PathBuf,
    /// Number of seeds, including those to skip. Each seed that is not skipped is one run.
    #[arg(long, default_value_t = 50)]
    pub seeds: u64,
    /// Seed of the first run. Each further run has the next higher seed.
    #[arg(long, default_value_t = 1)]
    pub first_seed: u64,
    /// A seed to skip. The option may be repeated.
    #[arg(long)]
    pub except: Vec<u64>,
    /// Number of concurrent runs. Each needs about half a core.
    #[arg(long, default_value_t = 2)]
    pub jobs: usize,
    /// Writes the plans and results of all runs to this JSON file.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Options of `crowd`.
#[derive(Clone, Debug, Args)]
pub struct CrowdArgs {
    /// Path of the proxy program.
    #[arg(long, default_value = "target/release/brookstack-proxy")]
    pub proxy: PathBuf,
    /// Crowds, by name. By default, all of them.
    #[arg(long, value_delimiter = ',')]
    pub crowds: Vec<String>,
    /// Memory limits of the proxy, MiB.
    #[arg(long, value_delimiter = ',', default_value = "32")]
    pub memory_mb: Vec<u64>,
    /// Limits on the descriptors of the proxy.
    #[arg(long, value_delimiter = ',', default_value = "1024")]
    pub descriptors: Vec<u64>,
    /// Duration of each run, s.
    #[arg(long, default_value_t = 8.0)]
    pub secs: f64,
    /// Kills the proxy with SIGKILL in the middle of each run and starts it again.
    #[arg(long)]
    pub kill: bool,
    /// Writes the results to this JSON file.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Options of `real`.
#[derive(Clone, Debug, Args)]
pub struct RealArgs {
    /// Path of the proxy program.
    #[arg(long, default_value = "target/release/brookstack-proxy")]
    pub proxy: PathBuf,
    /// Numbers of backends in the endpoint list.
    #[arg(long, value_delimiter = ',', default_value = "200,2000,17000")]
    pub backends: Vec<usize>,
    /// Numbers of tenants in the settings. Each is measured with each number of backends.
    #[arg(long, value_delimiter = ',', default_value = "0,5800,58000")]
    pub tenants: Vec<usize>,
    /// How the proxy gets the endpoint list.
    #[arg(long, value_enum, default_value = "automatic")]
    pub discovery: DiscoveryMode,
    /// Puts the endpoint list into the configuration file, as after a restart. Otherwise the proxy
    /// has to get it from discovery.
    #[arg(long)]
    pub known: bool,
    /// Index of the proxy among the 1,100 proxies of the target deployment, from 0.
    #[arg(long, default_value_t = 0)]
    pub position: u32,
    /// Number of listeners that the backends share.
    #[arg(long, default_value_t = 256)]
    pub listeners: usize,
    /// Requests per second, on average.
    #[arg(long, default_value_t = 70.0)]
    pub rate: f64,
    /// Service time of a request at a backend, ms.
    #[arg(long, default_value_t = 5)]
    pub service_ms: u64,
    /// Duration of the idle phase, s.
    #[arg(long, default_value_t = 20.0)]
    pub idle_secs: f64,
    /// Duration of the load phase, s. New connections are reported for each half of it.
    #[arg(long, default_value_t = 120.0)]
    pub load_secs: f64,
    /// Time after which backends close an idle connection, s, as set in the proxy's settings. The
    /// proxy closes it after 75 % of this time.
    #[arg(long, default_value_t = 30.0)]
    pub conn_idle_secs: f64,
    /// Number of cells that run concurrently. Each needs about half a core.
    #[arg(long, default_value_t = 1)]
    pub jobs: usize,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Writes the results to this JSON file.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Options of `fleet`.
#[derive(Clone, Debug, Args)]
pub struct FleetArgs {
    /// Scenarios. There is one run per scenario.
    #[arg(
        long,
        value_enum,
        value_delimiter = ',',
        default_value = "calm,outage,cold,release,rebirth"
    )]
    pub scenario: Vec<Scenario>,
    /// Number of proxies.
    #[arg(long, default_value_t = 30)]
    pub proxies: u32,
    /// Number of backends.
    #[arg(long, default_value_t = 464)]
    pub backends: usize,
    /// Requests per second and proxy, on average. By default, the rate at which each backend has
    /// the load that it has at the peak of the target deployment.
    #[arg(long)]
    pub rate: Option<f64>,
    /// Ratio of the request rate at every tenth proxy to the rate at the others.
    #[arg(long, default_value_t = 1.0)]
    pub skew: f64,
    /// Simulated time, s, of which the first 4 s are not measured.
    #[arg(long, default_value_t = 24.0)]
    pub secs: f64,
    /// Time that discovery takes to serve a call, ms. By default, it takes 6.5 s to serve one call
    /// of each proxy.
    #[arg(long)]
    pub call_ms: Option<f64>,
    /// Backends that are replaced per second in the scenario `calm`.
    #[arg(long, default_value_t = 0.2)]
    pub churn: f64,
    /// Number of backends in the rack that fails in the scenarios `cold` and `rebirth`. By default,
    /// one in 425 backends, but at least 4.
    #[arg(long)]
    pub rack: Option<usize>,
    /// Time after which backends close an idle connection, s, as set in the proxies' settings. The
    /// proxies close it after 75 % of this time.
    #[arg(long, default_value_t = 30.0)]
    pub conn_idle_secs: f64,
    /// By how much the balancer's objective decreases if every request crosses zones once.
    #[arg(long, default_value_t = 0.0)]
    pub cross_zone: f64,
    /// Number of threads. The results do not depend on it.
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Writes the results to this JSON file. The same options give identical bytes.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Options of `all`.
#[derive(Clone, Debug, Args)]
pub struct AllArgs {
    /// Runs a smaller matrix: fewer sizes and scenarios, and shorter phases.
    #[arg(long)]
    pub quick: bool,
    /// Path of the proxy program.
    #[arg(long, default_value = "target/release/brookstack-proxy")]
    pub proxy: PathBuf,
    /// Number of threads per fleet, and number of cells of the real proxy that run concurrently.
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Writes the results to this JSON file.
    #[arg(long)]
    pub json: Option<PathBuf>,
}
