//! The state of one backend: its endpoint list entry, its health, its limits and its load.

use super::health::BackendHealth;
use crate::admission::{Priority, LOW_PRIORITY_CAPACITY_FRACTION};
use crate::{BackendState, Endpoint, MachineTypeId, Micros, Time};

/// The work of one attempt that was sent to a backend.
#[derive(Clone, Copy)]
struct SentWork {
    sent_at: Time,
    /// Work of the attempt, in multiples of a mean request.
    work: f64,
}

/// The limits and shares of a backend, as set by the periodic computation of the shares.
pub(crate) struct Allocation {
    /// Maximum number of attempts of this proxy that may be in flight on the backend.
    pub concurrency_limit: f64,
    /// Work that this proxy may send to the backend within an overload window, in multiples of a
    /// mean request; infinite unless the backend is in slow start.
    pub slow_start_quota: f64,
    /// Fraction of this proxy's traffic that goes to the backend.
    pub local_share: f64,
    /// Fraction of the traffic of all proxies that the backend gets within their slow-start quotas.
    pub planned_share: f64,
}

/// One backend: its entry in the endpoint list, its health, and the limits of what this proxy may
/// send to it.
///
/// It owns the list entry, the health, the count of attempts in flight and the work that was sent
/// to it recently. [`BackendTable::update_readiness`](super::BackendTable::update_readiness) sets
/// the readiness, an ejection sets the readiness to 0, and [`allocate`](Self::allocate) sets the
/// limits.
#[derive(Default)]
pub(crate) struct Backend {
    endpoint: Endpoint,
    health: BackendHealth,
    /// From 0 (send nothing) to 1 (healthy and warm).
    readiness: f64,
    local_share: f64,
    concurrency_limit: f64,
    /// Number of attempts of this proxy that are in flight on the backend.
    in_flight: u32,
    slow_start_quota: f64,
    /// Attempts that were sent within the overload window, with their work.
    recent_work: Vec<SentWork>,
}

impl Backend {
    /// Returns the backend's entry in the endpoint list.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the id of the backend's machine type.
    pub fn machine_type(&self) -> MachineTypeId {
        self.endpoint.machine_type
    }

    /// Returns the health as observed by outlier detection.
    pub fn health(&self) -> &BackendHealth {
        &self.health
    }

    /// Returns the health for an update by outlier detection or at the end of an ejection.
    pub fn health_mut(&mut self) -> &mut BackendHealth {
        &mut self.health
    }

    /// Returns the readiness, from 0 (send nothing) to 1 (healthy and warm).
    pub fn readiness(&self) -> f64 {
        self.readiness
    }

    /// Returns the fraction of this proxy's traffic that goes to the backend.
    pub fn local_share(&self) -> f64 {
        self.local_share
    }

    /// Whether the endpoint list marks the backend as ready for new requests.
    pub fn is_listed_as_ready(&self) -> bool {
        self.endpoint.state == BackendState::Ready
    }

    /// Whether the backend has left the endpoint list and no attempt is in flight on it.
    pub fn is_gone(&self) -> bool {
        self.endpoint.state == BackendState::Removed && self.in_flight == 0
    }

    /// Whether requests may be sent to the backend now.
    pub fn is_usable(&self) -> bool {
        self.readiness > 0.0 && !self.health.is_unresponsive()
    }

    /// Whether the concurrency limit allows one more attempt of a request of this priority.
    /// Requests of low priority may use only [`LOW_PRIORITY_CAPACITY_FRACTION`] of the limit.
    pub fn has_free_concurrency(&self, priority: Priority) -> bool {
        let limit = match priority {
            Priority::Normal => self.concurrency_limit,
            Priority::Low => (self.concurrency_limit * LOW_PRIORITY_CAPACITY_FRACTION).ceil(),
        };
        f64::from(self.in_flight) < limit
    }

    /// Whether the slow-start quota allows an attempt with this work now, in multiples of a mean
    /// request. A quota of at least one mean request also allows a single heavier request if
    /// nothing was sent within the window.
    pub fn is_within_slow_start_quota(&self, now: Time, window: Micros, work: f64) -> bool {
        if self.slow_start_quota == f64::INFINITY {
            return true;
        }
        let used = self.work_since(now, window);
        let may_exceed_once = used == 0.0 && self.slow_start_quota >= 1.0;
        may_exceed_once || self.slow_start_quota - used >= work
    }

    /// Returns the work that was sent within the window, in multiples of a mean request.
    fn work_since(&self, now: Time, window: Micros) -> f64 {
        let in_window = |sent: &&SentWork| now - sent.sent_at < window;
        let recent = self.recent_work.iter().filter(in_window);
        recent.map(|sent| sent.work).sum()
    }

    /// Records an attempt that the host is requested to send, and removes the records of work that
    /// was sent before the window. `work` is in multiples of a mean request.
    pub fn record_dispatch(&mut self, now: Time, work: f64, window: Micros) {
        self.in_flight += 1;
        self.recent_work.retain(|sent| now - sent.sent_at < window);
        self.recent_work.push(SentWork { sent_at: now, work });
    }

    /// Records that an attempt has ended.
    pub fn record_attempt_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Replaces the entry in the endpoint list; returns whether anything but the weight changed.
    /// Live weights change all the time, so a new weight waits for the next periodic computation of
    /// the shares.
    pub fn update_endpoint(&mut self, endpoint: Endpoint) -> bool {
        if self.endpoint.started_at != endpoint.started_at {
            self.reset_for_new_process();
        }
        let same_weight = Endpoint {
            weight: endpoint.weight,
            ..self.endpoint.clone()
        };
        let has_changed = same_weight != endpoint;
        self.endpoint = endpoint;
        has_changed
    }

    /// Discards what was learned about the previous process: a restarted process has only the
    /// address in common with it. Attempts in flight and work sent to that address still count.
    fn reset_for_new_process(&mut self) {
        *self = Backend {
            in_flight: self.in_flight,
            recent_work: std::mem::take(&mut self.recent_work),
            ..Backend::default()
        };
    }

    /// Records that the endpoint list no longer contains the backend.
    pub fn mark_removed(&mut self) {
        self.endpoint.state = BackendState::Removed;
    }

    /// Sets the readiness to 0 after an ejection, so that nothing is sent to the backend until its
    /// readiness is next computed.
    pub fn stop_using(&mut self) {
        self.readiness = 0.0;
    }

    /// Sets the readiness, from 0 to 1.
    pub fn set_readiness(&mut self, readiness: f64) {
        self.readiness = readiness;
    }

    /// Sets the limits and the local share of the backend.
    pub fn allocate(&mut self, allocation: &Allocation) {
        self.concurrency_limit = allocation.concurrency_limit;
        self.slow_start_quota = allocation.slow_start_quota;
        self.local_share = allocation.local_share;
    }
}

#[cfg(test)]
mod tests;
