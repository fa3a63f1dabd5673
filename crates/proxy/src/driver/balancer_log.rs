//! Writes what the balancer reports to the operators' log.

use super::upstreams::Upstreams;
use brookstack_balancer::{BackendId, LogEvent, Outcome};

/// Writes one line for an event. A backend is named by its address on the endpoint list, because
/// operators cannot look up its identifier.
pub fn write(event: LogEvent, upstreams: &Upstreams) {
    match event {
        LogEvent::BackendEjected { backend, outcome } => {
            write_ejection(backend, outcome, upstreams);
        }
        LogEvent::WatchFailed => tracing::info!("discovery watch failed, polling again"),
        LogEvent::WatchTimedOut => tracing::info!("discovery watch timed out, polling again"),
        LogEvent::UnconfirmedListUsed {
            request,
            backend,
            accepted,
            list,
        } => {
            let address = upstreams.address(backend);
            tracing::debug!(
                request = request.0,
                ?address,
                ?accepted,
                ?list,
                "request sent on an unconfirmed endpoint list"
            );
        }
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
            "backend ejected; it has left the endpoint list"
        );
    }
}

#[cfg(test)]
mod tests;
