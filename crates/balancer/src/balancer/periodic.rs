//! Periodic work: the computation of the traffic shares at regular intervals, and the polls of
//! discovery and the checks of attempts and requests at wake-ups.

use super::Balancer;
use crate::admission::{prompt_latency, Promptness};
use crate::backends::Backend;
use crate::estimation::ASSUMED_LATENCY_FRACTION;
use crate::requests::Request;
use crate::retry::{is_overdue, next_check};
use crate::routing::{SharePlan, SlowStartPlan, ZoneFactors};
use crate::{Action, Micros, Time};

impl Balancer {
    /// Recomputes the readiness, the traffic shares and the limits of all backends.
    pub(super) fn recompute_shares(&mut self, now: Time) {
        let elapsed = self.shares.begin_computation(now);
        self.queue.unblock();
        let peers = self.peers();
        let ready_count = self.backends.update_readiness(now, &self.config);
        self.idle_connections.grow(now, ready_count);
        let own_rate = self.admission.update_rate(now);
        // If only a few proxies share a backend, each of them sends it many requests a second, so
        // that the interval between two requests does not matter.
        let rate_for_interval = own_rate.filter(|_| !peers.are_few());
        self.outliers
            .update_request_interval(ready_count, rate_for_interval);
        let fleet_rate = own_rate.map(|rate| rate * peers.per_backend);
        let assumed_latency = self.shares.interval().secs() * ASSUMED_LATENCY_FRACTION;
        self.backends
            .estimate_speeds(elapsed, assumed_latency, fleet_rate);
        // No speed is known before the first response. Without a rate, the traffic is split evenly.
        let known_rate = fleet_rate.filter(|_| self.latencies.has_samples());
        self.backends.split_by_machine_type(known_rate);
        self.concurrency
            .update(self.backends.total_readiness(), peers);
        self.allocate_shares(now, own_rate);
    }

    /// Sets the traffic share and the limits of each backend.
    fn allocate_shares(&mut self, now: Time, own_rate: Option<f64>) {
        let peers = self.peers();
        let replica = self.subset.replica(&self.config);
        let window = self.config.overload_window;
        let slow_start = SlowStartPlan {
            now,
            config: &self.config,
            peers,
            replica_index: replica.index,
            backend_count: self.backends.len(),
            own_rate,
            window_fraction: self.shares.window_fraction(now, window),
        };
        let plan = SharePlan {
            now,
            peers,
            replica,
            zone_factors: ZoneFactors::new(&self.config, &self.backends),
            slow_start,
        };
        let placeable_fraction = self
            .backends
            .allocate_all(|id, backend, machine_type| plan.allocation(id, backend, machine_type));
        self.shares.end_computation(placeable_fraction);
    }

    /// Polls discovery if a poll is due, and schedules a wake-up for the next poll.
    pub(super) fn poll_discovery(&mut self, now: Time) {
        if self.discovery_watch.take_due_poll(now, &self.config) {
            self.outbox.push(Action::WatchEndpoints);
        }
        if let Some(poll_at) = self.discovery_watch.next_poll_at() {
            self.wakeups.wake_by(poll_at);
        }
    }

    /// Reports late attempts to admission control, marks the backends of slow attempts as suspect
    /// and those of long overdue attempts as unresponsive, and schedules the next check.
    pub(super) fn check_attempts(&mut self, now: Time) {
        if self.outliers.clear_unresponsive(&mut self.backends) {
            // The backends that still do not respond are marked again below. The others have
            // capacity again.
            self.queue.unblock();
        }
        let peers = self.peers();
        for attempt in self.requests.in_progress_mut() {
            let baseline = self.backends.baseline_latency(attempt.backend);
            let prompt_latency = prompt_latency(&self.latencies, baseline, attempt.class);
            // An attempt counts as late as soon as its prompt latency is over, without waiting for
            // its end: an overloaded backend responds only much later.
            let late_at = attempt.sent_at + prompt_latency;
            if !attempt.counted_late && now >= late_at {
                attempt.counted_late = true;
                self.admission.adjust(Promptness::Late, peers);
            }
            if !attempt.counted_late {
                self.wakeups.wake_by(late_at);
            }
            let next_check =
                self.outliers
                    .check_attempt(now, attempt, &mut self.backends, &self.latencies);
            self.wakeups.wake_by(next_check);
        }
    }

    /// Gives up requests that are overdue, hedges or replaces attempts that are probably lost, and
    /// schedules the next check. Skips requests whose response is being streamed.
    pub(super) fn check_requests(&mut self, now: Time) {
        let mut overdue = Vec::new();
        let mut lost = Vec::new();
        let mut next_check_at = Time::NEVER;
        for (id, request) in self.requests.iter() {
            if request.streaming {
                continue;
            }
            next_check_at = next_check_at.min(next_check(now, &self.config, request));
            let typical_latency = self.typical_latency(request);
            if is_overdue(now, &self.config, request, typical_latency) {
                overdue.push(id);
            } else if self.is_probably_lost(now, request) {
                lost.push(id);
            }
        }
        self.wakeups.wake_by(next_check_at);
        for id in lost {
            self.hedge_or_replace(now, id);
        }
        for id in overdue {
            self.give_up(id);
        }
    }

    /// Whether the only attempt of a request is in flight on a backend that is ejected or
    /// unresponsive (or is not in the table any more), while another attempt could meet the latency
    /// objective and the retry budget allows one. The age of the attempt alone is no reason to
    /// hedge: hedging requests that merely need much work would overload every backend.
    fn is_probably_lost(&self, now: Time, request: &Request) -> bool {
        let [attempt] = &request.attempts[..] else {
            return false;
        };
        let backend = self.backends.get(attempt.endpoint.id);
        let is_down = backend.is_none_or(|backend: &Backend| backend.health().is_probably_down());
        let would_be_in_time = now + self.typical_latency(request) < request.objective_at;
        attempt.in_flight && is_down && would_be_in_time && self.retry_budget.is_available()
    }

    /// The expected latency of an attempt of a request.
    fn typical_latency(&self, request: &Request) -> Micros {
        let objective = request.objective();
        self.latencies.typical_within(request.class, objective)
    }
}
