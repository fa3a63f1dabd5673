//! What the balancer knows of one backend.

use super::health::BackendHealth;
use crate::admission::{Priority, LOW_PRIORITY_CAPACITY_FRACTION};
use crate::{BackendState, Endpoint, MachineTypeId, Micros, Time};

/// Work that was sent to a backend at one time.
#[derive(Clone, Copy)]
struct SentWork {
    sent_at: Time,
    /// In multiples of a mean request.
    work: f64,
}

/// What the regular computation of the shares gives a backend.
pub(crate) struct Allocation {
    /// Attempts of this proxy that the backend may have in flight.
    pub concurrency_limit: f64,
    /// Work that this proxy may send it in an overload window, in multiples of a mean request;
    /// infinite unless it is in slow start.
    pub slow_start_quota: f64,
    /// Its fraction of this proxy's traffic.
    pub local_share: f64,
    /// Fraction of the traffic that all proxies together can give it.
    pub planned_share: f64,
}

/// One backend: its entry in the endpoint list, its health, and what this proxy may send it.
///
/// It owns the list entry, the health, the count of attempts in flight and the work that was sent
/// to it lately. [`BackendTable::update_readiness`](super::BackendTable::update_readiness) sets its
/// readiness, an ejection sets that to 0, and [`allocate`](Self::allocate) sets its limits.
#[derive(Default)]
pub(crate) struct Backend {
    endpoint: Endpoint,
    health: BackendHealth,
    /// From 0 (send nothing) to 1 (healthy and warm).
    readiness: f64,
    local_share: f64,
    concurrency_limit: f64,
    /// Attempts of this proxy that the backend has in flight.
    in_flight: u32,
    slow_start_quota: f64,
    /// Work sent within the overload window.
    recent_work: Vec<SentWork>,
}

impl Backend {
    /// Its entry in the endpoint list.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Its machine type.
    pub fn machine_type(&self) -> MachineTypeId {
        self.endpoint.machine_type
    }

    /// Its health as outlier detection sees it.
    pub fn health(&self) -> &BackendHealth {
        &self.health
    }

    /// The same for those that change it: outlier detection, and the end of an ejection.
    pub fn health_mut(&mut self) -> &mut BackendHealth {
        &mut self.health
    }

    /// From 0 (send nothing) to 1 (healthy and warm).
    pub fn readiness(&self) -> f64 {
        self.readiness
    }

    /// Its fraction of this proxy's traffic.
    pub fn local_share(&self) -> f64 {
        self.local_share
    }

    /// Whether the endpoint list has it as ready for new requests.
    pub fn is_listed_as_ready(&self) -> bool {
        self.endpoint.state == BackendState::Ready
    }

    /// Whether it has left the endpoint list and nothing is in flight on it.
    pub fn is_gone(&self) -> bool {
        self.endpoint.state == BackendState::Removed && self.in_flight == 0
    }

    /// Whether requests may be sent to it now.
    pub fn is_usable(&self) -> bool {
        self.readiness > 0.0 && !self.health.is_unresponsive()
    }

    /// Whether it may have one more attempt in flight.
    pub fn has_free_concurrency(&self, priority: Priority) -> bool {
        let limit = match priority {
            Priority::Normal => self.concurrency_limit,
            Priority::Low => (self.concurrency_limit * LOW_PRIORITY_CAPACITY_FRACTION).ceil(),
        };
        f64::from(self.in_flight) < limit
    }

    /// Whether its slow-start quota allows so much work now. One request that is heavier than the
    /// whole quota may have all of it.
    pub fn is_within_slow_start_quota(&self, now: Time, window: Micros, work: f64) -> bool {
        if self.slow_start_quota == f64::INFINITY {
            return true;
        }
        let used = self.work_since(now, window);
        let may_exceed_once = used == 0.0 && self.slow_start_quota >= 1.0;
        may_exceed_once || self.slow_start_quota - used >= work
    }

    /// Work that was sent within the window, in multiples of a mean request.
    fn work_since(&self, now: Time, window: Micros) -> f64 {
        let in_window = |sent: &&SentWork| now - sent.sent_at < window;
        let recent = self.recent_work.iter().filter(in_window);
        recent.map(|sent| sent.work).sum()
    }

    /// Records an attempt that the host has been asked to send, and forgets work that was sent
    /// before the window.
    pub fn record_dispatch(&mut self, now: Time, work: f64, window: Micros) {
        self.in_flight += 1;
        self.recent_work.retain(|sent| now - sent.sent_at < window);
        self.recent_work.push(SentWork { sent_at: now, work });
    }

    /// Records the end of an attempt.
    pub fn record_attempt_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in its entry in the endpoint list; returns whether anything but its weight changed. A
    /// live weight changes all the time: the next regular computation of the shares takes it in.
    pub fn update_endpoint(&mut self, endpoint: Endpoint) -> bool {
        if self.endpoint.started_at != endpoint.started_at {
            self.forget_process();
        }
        let same_weight = Endpoint {
            weight: endpoint.weight,
            ..self.endpoint.clone()
        };
        let has_changed = same_weight != endpoint;
        self.endpoint = endpoint;
        has_changed
    }

    /// Forgets what was learned: a restarted process has nothing in common with the one before but
    /// its address. What was sent to that address still counts.
    fn forget_process(&mut self) {
        *self = Backend {
            in_flight: self.in_flight,
            recent_work: std::mem::take(&mut self.recent_work),
            ..Backend::default()
        };
    }

    /// Records that the endpoint list does not have it any more.
    pub fn mark_removed(&mut self) {
        self.endpoint.state = BackendState::Removed;
    }

    /// Sends it nothing more until its readiness is computed again, after an ejection.
    pub fn stop_using(&mut self) {
        self.readiness = 0.0;
    }

    /// Sets its readiness.
    pub fn set_readiness(&mut self, readiness: f64) {
        self.readiness = readiness;
    }

    /// Sets what it may be sent from now on.
    pub fn allocate(&mut self, allocation: &Allocation) {
        self.concurrency_limit = allocation.concurrency_limit;
        self.slow_start_quota = allocation.slow_start_quota;
        self.local_share = allocation.local_share;
    }
}

#[cfg(test)]
mod tests;
