//! Why the proxy could not start.

use crate::config::ConfigFileError;
use brookstack_balancer::ConfigError;
use std::io;
use std::net::SocketAddr;

/// Why the proxy could not start. Each text is one line for standard error.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The asynchronous runtime could not be built.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal could not be caught.
    #[error("{name}: {source}")]
    Signal {
        /// The signal's name.
        name: &'static str,
        /// Why it could not be caught.
        source: io::Error,
    },
    /// The configuration file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// The address for clients could not be bound.
    #[error("listen: expected a free address, got {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why it could not be bound.
        source: io::Error,
    },
    /// The balancer rejected its settings.
    #[error("settings.{0}")]
    Settings(#[source] ConfigError),
}
