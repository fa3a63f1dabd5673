//! The errors that prevent the proxy from starting.

use crate::config::ConfigFileError;
use brookstack_balancer::ConfigError;
use std::io;
use std::net::SocketAddr;

/// The reason why the proxy could not start. Each message is one line for standard error.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The asynchronous runtime could not be built.
    #[error("cannot start the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The handler of a signal could not be installed.
    #[error("cannot install the handler for {name}: {source}")]
    Signal {
        /// The signal's name.
        name: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The configuration file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// The listen address could not be bound.
    #[error("listen: expected an address that the proxy can bind, got {address}: {source}")]
    Listen {
        /// The listen address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The balancer rejected the settings.
    #[error("settings.{0}")]
    Settings(#[source] ConfigError),
}
