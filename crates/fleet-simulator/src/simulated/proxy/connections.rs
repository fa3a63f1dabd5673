//! The connections of one proxy. The proxy keeps one connection to each backend that it has used,
//! until the connection exceeds the idle timeout or an attempt shows that the backend has ended.

use crate::simulated::context::SharedContext;
use brookstack_balancer::Time;
use std::collections::HashMap;

/// How one proxy used one backend.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendUse {
    /// The number of attempts sent in the measurement window.
    pub attempts: u32,
    /// When the open connection was last used, if there is one.
    connection_used_at: Option<Time>,
}

/// The number of attempts, and of connections that were opened for them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionCounts {
    /// The number of attempts.
    pub attempts: u64,
    /// The number of new connections.
    pub opened: u64,
}

impl ConnectionCounts {
    /// Adds the counts of another proxy.
    pub fn add(&mut self, other: &ConnectionCounts) {
        self.attempts += other.attempts;
        self.opened += other.opened;
    }
}

/// The connections of one proxy, and the number of its attempts and new connections.
#[derive(Debug, Default)]
pub struct Connections {
    /// The backends that the proxy has used, by their number.
    pub backends: HashMap<u32, BackendUse>,
    /// The counts for each half of the measurement window.
    pub halves: [ConnectionCounts; 2],
}

impl Connections {
    /// Records an attempt that is sent to a backend.
    pub fn record_attempt(&mut self, now: Time, backend: u32, shared: &SharedContext) {
        let backend_use = self.backends.entry(backend).or_default();
        let is_kept = |used_at: Time| now < used_at + shared.connection_idle_timeout;
        let is_reused = backend_use.connection_used_at.is_some_and(is_kept);
        backend_use.connection_used_at = Some(now);
        if let Some(half) = shared.window.half(now) {
            backend_use.attempts += 1;
            let counts = &mut self.halves[half];
            counts.attempts += 1;
            counts.opened += u64::from(!is_reused);
        }
    }

    /// Closes the connection to a backend whose process has ended.
    pub fn close(&mut self, backend: u32) {
        if let Some(backend_use) = self.backends.get_mut(&backend) {
            backend_use.connection_used_at = None;
        }
    }

    /// Closes all connections.
    pub fn close_all(&mut self) {
        for backend_use in self.backends.values_mut() {
            backend_use.connection_used_at = None;
        }
    }

    /// The number of backends that received an attempt in the measurement window.
    pub fn used_backends(&self) -> u64 {
        self.backends.values().filter(|b| b.attempts > 0).count() as u64
    }

    /// The number of attempts in the measurement window.
    pub fn total_attempts(&self) -> u64 {
        self.halves.iter().map(|half| half.attempts).sum()
    }
}
