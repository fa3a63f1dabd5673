//! The limit on idle connections that this proxy keeps to all backends together.
//!
//! A backend accepts a limited number of connections, and no setting gives that number. A
//! connection that one proxy keeps idle for its next request is one that another proxy cannot open.
//! There is no limit until a backend rejects a connection. Then each proxy closes a part of its
//! idle connections and lets the limit grow again slowly. This multiplicative decrease and slow
//! increase brings proxies that do not communicate to similar numbers of connections.

use crate::{Micros, Time};

/// Fraction of the idle connections that is kept after a backend has rejected a new connection.
const REDUCTION_FACTOR: f64 = 0.5;
/// Shortest time between two reductions, 250 ms: the connections that other proxies close have to
/// take effect first.
const MIN_REDUCTION_INTERVAL: Micros = Micros(250_000);
/// Growth of the limit in connections a second. Together with [`RELATIVE_GROWTH_PER_SECOND`] it
/// leads to a rejection every few seconds. Each rejection costs one attempt, which is rejected
/// before its execution.
const GROWTH_PER_SECOND: f64 = 0.5;
/// Growth of the limit a second, as a fraction of the limit.
const RELATIVE_GROWTH_PER_SECOND: f64 = 0.05;
/// The limit that the host is given when there is none.
const UNLIMITED: u32 = u32::MAX;

/// The limit on idle connections.
///
/// It owns the limit and the times at which it last changed. It takes the time, the number of idle
/// connections and the number of backends as arguments.
#[derive(Default)]
pub(crate) struct IdleConnectionLimit {
    /// The limit; `None` while no backend is short of connections.
    max_idle: Option<f64>,
    /// When the limit was last reduced.
    reduced_at: Time,
    /// Up to when growth is included in the limit.
    grown_at: Time,
    /// The limit that the host was last given.
    announced: Option<u32>,
}

impl IdleConnectionLimit {
    /// Reduces the limit: a backend rejected a new connection while this proxy held
    /// `idle_connections`.
    pub fn on_connection_rejected(&mut self, now: Time, idle_connections: u32) {
        let held = f64::from(idle_connections);
        let relevant = match self.max_idle {
            Some(_) if now - self.reduced_at < MIN_REDUCTION_INTERVAL => return,
            Some(limit) => limit.min(held),
            None => held,
        };
        self.max_idle = Some(relevant * REDUCTION_FACTOR);
        self.reduced_at = now;
        self.grown_at = now;
    }

    /// Lets the limit grow; it is lifted once it exceeds one idle connection for each of the
    /// backends.
    pub fn grow(&mut self, now: Time, backend_count: usize) {
        let elapsed_secs = (now - self.grown_at).secs();
        self.grown_at = now;
        let Some(limit) = self.max_idle else {
            return;
        };
        let growth_per_second = GROWTH_PER_SECOND + RELATIVE_GROWTH_PER_SECOND * limit;
        let grown = limit + growth_per_second * elapsed_secs;
        let is_in_force = grown <= backend_count as f64;
        self.max_idle = is_in_force.then_some(grown);
    }

    /// The limit if it differs from the one that the host was last given; `u32::MAX` lifts it.
    pub fn take_change(&mut self) -> Option<u32> {
        let max_idle = self.max_idle.map(|limit| limit as u32);
        if max_idle == self.announced {
            return None;
        }
        self.announced = max_idle;
        Some(max_idle.unwrap_or(UNLIMITED))
    }
}

#[cfg(test)]
mod tests;
