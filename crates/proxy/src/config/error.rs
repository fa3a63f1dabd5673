//! The errors of reading and validating the configuration file.

use super::CONFIG_VARIABLE;
use brookstack_balancer::settings::InvalidValue;
use brookstack_balancer::ConfigError;
use std::io;
use std::path::PathBuf;

/// The reason why the configuration file cannot be used. Each message is one line with what was
/// expected and what was found. It names the environment variable or the path of the value in the
/// file, unless the whole document is not an object.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The environment variable that names the file is not set.
    #[error(
        "{CONFIG_VARIABLE}: environment variable not set, \
         expected the path of the configuration file"
    )]
    MissingVariable,
    /// The file cannot be read.
    #[error(
        "{CONFIG_VARIABLE}: expected a readable configuration file, got {}: {source}",
        .path.display()
    )]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("{CONFIG_VARIABLE}: expected valid JSON in {}: {source}", .path.display())]
    NotJson {
        /// The path of the file.
        path: PathBuf,
        /// The syntax error and its position in the file.
        source: serde_json::Error,
    },
    /// The JSON is not an object, or its cached endpoint list is not valid.
    #[error(transparent)]
    InvalidDocument(serde_json::Error),
    /// A value is missing or invalid.
    #[error(transparent)]
    InvalidValue(#[from] InvalidValue),
    /// A setting of the balancer is out of its range.
    #[error("settings.{0}")]
    OutOfRange(#[from] ConfigError),
}
