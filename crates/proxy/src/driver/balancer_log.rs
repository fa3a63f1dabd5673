//! Writes the balancer's log events to the proxy's log.

use super::upstreams::Upstreams;
use brookstack_balancer::{BackendId, LogEvent, Outcome};

/// Writes one line for an event. The line shows a backend's address and not its identifier, because
/// operators cannot look up the identifier.
pub fn write(event: LogEvent, upstreams: &Upstreams) {
    match event {
        LogEvent::BackendEjected { backend, outcome } => {
            write_ejection(backend, outcome, upstreams);
        }
        LogEvent::WatchFailed => tracing::info!("discovery watch failed, polling again"),
        LogEvent::WatchTimedOut => tracing::info!("discovery watch timed out, polling again"),
    }
}

fn write_ejection(backend: BackendId, outcome: Outcome, upstreams: &Upstreams) {
    if let Some(address) = upstreams.address(backend) {
        tracing::info!(%address, ?outcome, "backend ejected");
    } else {
        let id = backend.0;
        tracing::info!(
            id,
            ?outcome,
            "backend ejected; it is no longer on the endpoint list, so its address is not known"
        );
    }
}

#[cfg(test)]
mod tests;
