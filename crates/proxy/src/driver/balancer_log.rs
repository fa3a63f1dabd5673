//! Writes what the balancer reports to the operators' log.

use super::upstreams::Upstreams;
use brookstack_balancer::LogEvent;

/// Writes one line for an event, with a backend's address as the endpoint list gives it.
pub fn write(event: LogEvent, upstreams: &Upstreams) {
    match event {
        LogEvent::BackendEjected { backend, outcome } => {
            let address = upstreams.address(backend);
            let address = address.map_or_else(|| "unknown".into(), |known| known.to_string());
            tracing::info!(%address, ?outcome, "backend ejected");
        }
        LogEvent::WatchFailed => tracing::info!("discovery watch failed, polling again"),
        LogEvent::WatchTimedOut => tracing::info!("discovery watch timed out, polling again"),
    }
}
