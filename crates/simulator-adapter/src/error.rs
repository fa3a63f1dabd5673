//! Errors of the adapter. Each says where it occurred, what was expected and what was found.

use brookstack_balancer::settings::InvalidValue;
use brookstack_balancer::ConfigError;
use serde_json::Value;
use std::io;

/// An error that ends the process.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// The number of the line, from 1.
        line: u64,
        /// Why the read failed.
        source: io::Error,
    },
    /// A line is not a valid message.
    #[error("line {line}: {source}")]
    Message {
        /// The number of the line, from 1.
        line: u64,
        /// What is wrong with the line.
        source: MessageError,
    },
    /// Standard output could not be written.
    #[error("reply after line {line}: {source}")]
    Write {
        /// The number of the line that completed the batch, from 1.
        line: u64,
        /// Why the write failed.
        source: io::Error,
    },
}

/// What is wrong with a line of input.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error("expected a JSON array: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is JSON, but not an array.
    #[error("expected a JSON array")]
    NotAnArray,
    /// The array does not start with text.
    #[error("expected a message name first")]
    MissingName,
    /// No message has this name.
    #[error("unknown message {0}")]
    UnknownName(String),
    /// The number of values after the name is not that of the message.
    #[error("{message}: expected {expected} values, got {got}")]
    ValueCount {
        /// The message's name.
        message: &'static str,
        /// How many values the message must have.
        expected: usize,
        /// How many values the line has.
        got: usize,
    },
    /// The line is between two batches, where only a message that sets the clock is valid.
    #[error("{message}: expected TICK first")]
    ClockNotSet {
        /// The message's name.
        message: &'static str,
    },
    /// A value of the message has the wrong type or is out of range, or it names something unknown.
    #[error("{message}: value {index}: expected {expected}, got {got}")]
    InvalidValue {
        /// The message's name.
        message: &'static str,
        /// The value's index, from 0 after the name.
        index: usize,
        /// What was expected.
        expected: &'static str,
        /// The value that the line has.
        got: Value,
    },
    /// A row of an endpoint list is not an array of the right length, or one of its values has the
    /// wrong type or is out of range.
    #[error("list entry {row}: expected {expected}")]
    InvalidRow {
        /// The row as received.
        row: Value,
        /// What was expected.
        expected: &'static str,
    },
    /// Two addresses have the same backend id.
    #[error("list entry {row}: its address has the number of {known_address}")]
    BackendIdCollision {
        /// The row as received.
        row: Value,
        /// The address that an earlier row had with this id.
        known_address: String,
    },
}

/// Why an instance could not be created. The reply reports it to the simulator, and the other
/// instances go on.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSettings {
    /// A key is missing or has an invalid value. The text of the error names the key.
    #[error(transparent)]
    Unreadable(#[from] InvalidValue),
    /// Every key could be read, but the balancer rejects the configuration.
    #[error(transparent)]
    Rejected(#[from] ConfigError),
}
