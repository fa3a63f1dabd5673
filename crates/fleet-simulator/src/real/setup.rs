//! The setup of a cell.

use crate::deployment::DiscoveryMode;
use std::path::PathBuf;
use std::time::Duration;

/// What a cell is run with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The proxy's program.
    pub program: PathBuf,
    /// Backends in the endpoint list.
    pub backends: usize,
    /// Tenants in the settings.
    pub tenants: usize,
    /// How the proxy learns the endpoint list.
    pub discovery_mode: DiscoveryMode,
    /// Whether the configuration holds the endpoint list, as after a restart. Otherwise the proxy
    /// has to get it from discovery.
    pub list_is_known: bool,
    /// Which of the 1,100 proxies of the target deployment it is.
    pub proxy_index: u32,
    /// Listeners that the backends share.
    pub listeners: usize,
    /// Requests a second.
    pub requests_per_second: f64,
    /// The time that a backend takes for a request.
    pub service_time: Duration,
    /// How long the proxy idles.
    pub idle_duration: Duration,
    /// How long the load lasts, in two equal parts.
    pub load_duration: Duration,
    /// The setting `limits.conn_idle_us` of the proxy, here in seconds: the time after which an
    /// idle connection is closed.
    pub connection_idle_secs: f64,
    /// The seed of arrival times and tenants.
    pub seed: u64,
}
