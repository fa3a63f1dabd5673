//! Writes the calls to discovery and their answers to the log.

use super::endpoint_list::EndpointList;
use super::watch::WatchError;
use crate::log_target;
use std::net::SocketAddr;
use std::time::Duration;

/// Writes a line for a call that is made.
pub fn write_start(version: Option<u64>, wait: Duration) {
    tracing::debug!(
        target: log_target::DISCOVERY,
        version,
        ?wait,
        "call to discovery starts"
    );
}

/// Writes a line for a call that failed after `elapsed`.
pub fn write_failure(
    error: &WatchError,
    address: SocketAddr,
    version: Option<u64>,
    elapsed: Duration,
) {
    tracing::warn!(
        target: log_target::DISCOVERY,
        version,
        ?elapsed,
        "call to discovery at {address} failed: {error}"
    );
}

/// Writes a line for a list that was received after `elapsed`.
pub fn write_list(list: &EndpointList, elapsed: Duration, service_time: Duration) {
    tracing::debug!(
        target: log_target::DISCOVERY,
        version = list.version,
        is_snapshot = list.is_snapshot,
        entries = list.endpoints.len(),
        ?elapsed,
        ?service_time,
        "endpoint list received"
    );
}
