//! Why a configuration file cannot be used.

use super::CONFIG_VARIABLE;
use brookstack_balancer::settings::InvalidValue;
use brookstack_balancer::ConfigError;
use std::io;
use std::path::PathBuf;

/// Why the configuration file cannot be used. Each text is one line that names the environment
/// variable or the path of a value in the file, what was expected there, and what was found.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The environment variable that names the file is not set.
    #[error("{CONFIG_VARIABLE}: missing, expected a file name")]
    MissingVariable,
    /// The file cannot be read.
    #[error("{CONFIG_VARIABLE}: expected a readable file, got {}: {source}", .path.display())]
    Unreadable {
        /// The file's name.
        path: PathBuf,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("{CONFIG_VARIABLE}: expected JSON in {}: {source}", .path.display())]
    NotJson {
        /// The file's name.
        path: PathBuf,
        /// Where it is not JSON.
        source: serde_json::Error,
    },
    /// The JSON is not an object, or its cached endpoint list is not valid.
    #[error(transparent)]
    InvalidDocument(serde_json::Error),
    /// A value is missing or not what is expected.
    #[error(transparent)]
    InvalidValue(#[from] InvalidValue),
    /// The settings of the balancer are out of their ranges.
    #[error("settings.{0}")]
    OutOfRange(#[from] ConfigError),
}
