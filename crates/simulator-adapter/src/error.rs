//! Errors of the adapter. Error texts state where the error occurred, what was expected and, where
//! possible, what was found.

use brookstack_balancer::settings::InvalidValue;
use brookstack_balancer::ConfigError;
use serde_json::Value;
use std::io;

/// An error that ends the process.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input could not be read.
    #[error("could not read line {line_number} of standard input: {source}")]
    Read {
        /// The number of the line, from 1.
        line_number: u64,
        /// Why the read failed.
        source: io::Error,
    },
    /// A line is not a valid message.
    #[error("invalid message in line {line_number}: {source}")]
    Message {
        /// The number of the line, from 1.
        line_number: u64,
        /// What is wrong with the line.
        source: MessageError,
    },
    /// Standard output could not be written.
    #[error("could not write the reply to the batch that ended in line {line_number}: {source}")]
    Write {
        /// The number of the line that completed the batch, from 1.
        line_number: u64,
        /// Why the write failed.
        source: io::Error,
    },
}

/// What is wrong with a line of input.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error("expected a JSON array, got invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is JSON, but not an array.
    #[error("expected a JSON array")]
    NotAnArray,
    /// The array is empty, or its first element is not a string.
    #[error("expected a message name as the first element of the array")]
    MissingName,
    /// No message has this name.
    #[error("unknown message {0}")]
    UnknownName(String),
    /// The message has too few or too many values after its name.
    #[error("{message}: expected {expected} values after the name, got {got}")]
    ValueCount {
        /// The message's name.
        message: &'static str,
        /// The number of values that this message must have.
        expected: usize,
        /// The number of values that the line has.
        got: usize,
    },
    /// The message is outside of a batch, where only `TICK`, which starts a batch, is valid.
    #[error("{message}: expected TICK as the first message of a batch")]
    ClockNotSet {
        /// The message's name.
        message: &'static str,
    },
    /// A value of the message has the wrong type, is out of range, or refers to an instance, list,
    /// class or tenant that does not exist.
    #[error("{message}: value {index}: expected {expected}, got {got}")]
    InvalidValue {
        /// The message's name.
        message: &'static str,
        /// The index of the value; the first value after the name has index 0.
        index: usize,
        /// What was expected.
        expected: &'static str,
        /// The value as received.
        got: Value,
    },
    /// A row of an endpoint list is not an array of the right length, or one of its values has the
    /// wrong type or is out of range.
    #[error("endpoint list row {row}: expected {expected}")]
    InvalidRow {
        /// The row as received.
        row: Value,
        /// What was expected.
        expected: &'static str,
    },
    /// Two addresses have the same backend id, which is a hash of the address.
    #[error("endpoint list row {row}: its address has the same backend id as {known_address}")]
    BackendIdCollision {
        /// The row as received.
        row: Value,
        /// The address of the earlier row with the same backend id.
        known_address: String,
    },
}

/// The reason why an instance could not be created. It is reported to the simulator in the reply
/// and does not affect the other instances.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSettings {
    /// A key is missing or has an invalid value. The error text names the key.
    #[error(transparent)]
    Unreadable(#[from] InvalidValue),
    /// Every key could be read, but the balancer rejected the resulting configuration.
    #[error(transparent)]
    Rejected(#[from] ConfigError),
}
