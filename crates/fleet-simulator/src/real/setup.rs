//! The parameters of a cell of the matrix.

use crate::deployment::DiscoveryMode;
use std::path::PathBuf;
use std::time::Duration;

/// The parameters of one cell.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The proxy's executable file.
    pub program: PathBuf,
    /// The number of backends in the endpoint list.
    pub backends: usize,
    /// The number of tenants in the settings.
    pub tenants: usize,
    /// How the proxy learns the endpoint list.
    pub discovery_mode: DiscoveryMode,
    /// Whether the configuration contains the endpoint list, as after a restart. Otherwise the
    /// proxy has to get the list from discovery.
    pub list_is_known: bool,
    /// The index of the proxy among the 1,100 proxies of the target deployment, from 0.
    pub proxy_index: u32,
    /// The number of listeners that the backends share.
    pub listeners: usize,
    /// The mean rate of the load, requests per second.
    pub requests_per_second: f64,
    /// The time that a backend takes to serve a request.
    pub service_time: Duration,
    /// The duration of the idle phase.
    pub idle_duration: Duration,
    /// The duration of the load phase, which consists of two equal halves.
    pub load_duration: Duration,
    /// The setting `limits.conn_idle_us` of the proxy, converted to seconds: the time after which
    /// backends close an idle connection. The proxy closes it after 75 % of this time.
    pub connection_idle_secs: f64,
    /// The seed of the random arrival times and tenants.
    pub seed: u64,
}
