//! Reads and validates the configuration file and converts it to a [`Config`].

mod document;
mod error;

pub use error::ConfigFileError;

use crate::discovery::endpoint_list::EndpointList;
use brookstack_balancer::settings::{self, Key, Names, Settings};
use brookstack_balancer::Micros;
use document::ConfigDocument;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// The lowest accepted limit on file descriptors. Some are reserved for other purposes, so a lower
/// limit would leave too few for clients and backends, or none.
const MIN_DESCRIPTORS: u32 = 64;
/// The number of bytes in a megabyte, the unit of the memory limit in the configuration file.
const BYTES_PER_MB: usize = 1 << 20;
/// The JSON text of an endpoint list may be as large as the memory limit divided by this number.
/// With a limit of 64 MB that is 8 MB, the size of an indented list of 17,000 entries with long
/// names.
const LIST_MEMORY_DIVISOR: usize = 8;
/// An endpoint list of up to this many bytes is accepted with every memory limit. It holds several
/// thousand entries.
const MIN_LIST_BYTES: usize = 4 << 20;

/// The configuration of a proxy.
pub struct Config {
    /// The address on which the proxy accepts client connections.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of all random choices.
    pub seed: u64,
    /// The maximum number of open file descriptors of the process.
    pub max_descriptors: usize,
    /// The memory limit of the process, in bytes.
    pub memory_limit_bytes: usize,
    /// The last endpoint list of an earlier run of this proxy, if the file contains one.
    pub cached_endpoints: Option<EndpointList>,
    /// The configuration of the balancer.
    pub balancer: brookstack_balancer::Config,
    /// Maps the configured names of classes and tenants to the balancer's identifiers.
    pub names: Names,
    /// The maximum number of requests that wait for their response or have attempts in flight.
    /// Requests beyond it are rejected before they reach the balancer.
    pub max_pending_requests: usize,
    /// The idle timeout of the backends: they close an idle connection after this time at the
    /// latest.
    pub backend_idle_timeout: Micros,
    /// The time after which an attempt to connect to a backend counts as failed.
    pub connect_timeout: Micros,
    /// The longest deadline of any class, and the longest time that a client may wait for a
    /// response.
    pub longest_deadline: Micros,
    /// The maximum size of an endpoint list's JSON text, in bytes.
    pub max_list_bytes: usize,
    /// The content of the file without the cached endpoint list. A reload compares it with the
    /// content of the reloaded file.
    pub document: Value,
}

/// Reads the configuration file that the environment variable `BALANCER_CONFIG` names.
pub fn load() -> Result<Config, ConfigFileError> {
    let path = std::env::var_os(CONFIG_VARIABLE)
        .map(PathBuf::from)
        .ok_or(ConfigFileError::MissingVariable)?;
    let document = read_document(path)?;
    parse(document)
}

fn read_document(path: PathBuf) -> Result<ConfigDocument, ConfigFileError> {
    let json = match std::fs::read(&path) {
        Ok(json) => json,
        Err(source) => return Err(ConfigFileError::Unreadable { path, source }),
    };
    serde_json::from_slice(&json).map_err(|error| {
        if error.is_data() {
            ConfigFileError::InvalidDocument(error)
        } else {
            let source = error;
            ConfigFileError::NotJson { path, source }
        }
    })
}

fn parse(document: ConfigDocument) -> Result<Config, ConfigFileError> {
    let root = Key::root(&document.other_members);
    let process_limits = root.get("limits");
    let settings = root.get("settings");
    let request_limits = settings.get("limits");
    let max_descriptors = max_descriptors(&process_limits)?;
    let Settings {
        config: balancer,
        names,
    } = settings::read(&settings)?;
    balancer.validate()?;
    let memory_limit_bytes = memory_limit_bytes(&process_limits)?;
    Ok(Config {
        listen: socket_address(&root.get("listen"))?,
        discovery: socket_address(&root.get("discovery"))?,
        seed: seed(&root.get("seed"))?,
        max_descriptors,
        memory_limit_bytes,
        max_list_bytes: (memory_limit_bytes / LIST_MEMORY_DIVISOR).max(MIN_LIST_BYTES),
        balancer,
        names,
        max_pending_requests: request_limits.get("open_cap").count()? as usize,
        backend_idle_timeout: request_limits.get("conn_idle_us").micros()?,
        connect_timeout: request_limits.get("dial_timeout_us").micros()?,
        longest_deadline: longest_deadline(&settings)?,
        cached_endpoints: document.cached_endpoints,
        document: document.other_members,
    })
}

fn socket_address(key: &Key) -> Result<SocketAddr, ConfigFileError> {
    let parsed = key.text()?.parse().ok();
    Ok(key.require(parsed, "an IP address and a port")?)
}

fn seed(key: &Key) -> Result<u64, ConfigFileError> {
    let parsed = u64::from_str_radix(key.text()?, 16).ok();
    Ok(key.require(parsed, "up to 16 hex digits")?)
}

fn max_descriptors(process_limits: &Key) -> Result<usize, ConfigFileError> {
    let key = process_limits.get("sockets");
    let enough = Some(key.count()?).filter(|count| *count >= MIN_DESCRIPTORS);
    Ok(key.require(enough, "at least 64 file descriptors")? as usize)
}

fn memory_limit_bytes(process_limits: &Key) -> Result<usize, ConfigFileError> {
    let megabytes = process_limits.get("memory_mb").count()? as usize;
    Ok(megabytes.saturating_mul(BYTES_PER_MB))
}

fn longest_deadline(settings: &Key) -> Result<Micros, ConfigFileError> {
    let mut longest = Micros(0);
    for class in settings.get("profiles").list()? {
        longest = longest.max(class.get("deadline_us").micros()?);
    }
    Ok(longest)
}
