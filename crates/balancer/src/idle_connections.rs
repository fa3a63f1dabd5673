//! The limit on idle connections that this proxy keeps to all backends together.
//!
//! A backend accepts a limited number of connections, and no setting gives that number. While one
//! proxy keeps a connection idle for its next request, another proxy cannot open one in its place.
//! A proxy starts without a limit. When a backend rejects a new connection, the proxy sets a limit
//! that makes the host close a part of the idle connections, and then lets the limit grow slowly.
//! This multiplicative decrease and slow increase brings proxies that do not communicate to similar
//! numbers of connections.

use crate::{Micros, Time};

/// Fraction of the idle connections that is kept when a backend rejects a new connection.
const REDUCTION_FACTOR: f64 = 0.5;
/// Shortest time between two reductions, 250 ms: the reductions that other proxies make at the same
/// time have to take effect first.
const MIN_REDUCTION_INTERVAL: Micros = Micros(250_000);
/// Growth of the limit in connections per second. Together with [`RELATIVE_GROWTH_PER_SECOND`] it
/// leads to a rejected connection every few seconds. Each of them costs one attempt, which is
/// rejected before it is executed.
const GROWTH_PER_SECOND: f64 = 0.5;
/// Growth of the limit per second, as a fraction of the limit.
const RELATIVE_GROWTH_PER_SECOND: f64 = 0.05;
/// The value that tells the host that there is no limit.
const UNLIMITED: u32 = u32::MAX;

/// The limit on idle connections, and the times at which it last changed.
#[derive(Default)]
pub(crate) struct IdleConnectionLimit {
    /// The limit; `None` if there is none, because no backend has rejected a connection lately.
    max_idle: Option<f64>,
    /// When the limit was last reduced.
    reduced_at: Time,
    /// The limit includes its growth up to this time.
    grown_at: Time,
    /// The limit that was last reported to the host.
    reported: Option<u32>,
}

impl IdleConnectionLimit {
    /// Reduces the limit after a backend rejected a new connection while this proxy held
    /// `idle_connections`.
    pub fn on_connection_rejected(&mut self, now: Time, idle_connections: u32) {
        let held = f64::from(idle_connections);
        let current = match self.max_idle {
            Some(_) if now - self.reduced_at < MIN_REDUCTION_INTERVAL => return,
            Some(limit) => limit.min(held),
            None => held,
        };
        self.max_idle = Some(current * REDUCTION_FACTOR);
        self.reduced_at = now;
        self.grown_at = now;
    }

    /// Lets the limit grow with the time since the last change. Removes it when it exceeds
    /// `backend_count`, the number of ready backends, that is, one idle connection for each.
    pub fn grow(&mut self, now: Time, backend_count: usize) {
        let elapsed_secs = (now - self.grown_at).secs();
        self.grown_at = now;
        let Some(limit) = self.max_idle else {
            return;
        };
        let growth_per_second = GROWTH_PER_SECOND + RELATIVE_GROWTH_PER_SECOND * limit;
        let grown = limit + growth_per_second * elapsed_secs;
        let is_limiting = grown <= backend_count as f64;
        self.max_idle = is_limiting.then_some(grown);
    }

    /// Returns the limit if it differs from the one last reported to the host, and counts it as
    /// reported. `u32::MAX` means that there is no limit.
    pub fn take_change(&mut self) -> Option<u32> {
        let max_idle = self.max_idle.map(|limit| limit as u32);
        if max_idle == self.reported {
            return None;
        }
        self.reported = max_idle;
        Some(max_idle.unwrap_or(UNLIMITED))
    }
}

#[cfg(test)]
mod tests;
