//! The simulated backends: how they serve attempts, and the outcomes of those attempts.

use super::backend::{Backend, CORES};
use super::cold_start::{ColdStartMonitor, ColdStartStatistics};
use super::messages::{AttemptKey, AttemptResult};
use crate::topology::{self, MACHINE_TYPES};
use brookstack_balancer::{BackendState, Endpoint, Micros, Outcome, Time};
use rand::SeedableRng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The time until a proxy learns that its attempt was rejected or could not connect.
const REJECTION_DELAY: Micros = Micros(1_000);

/// The number of attempts by outcome, as counted by the backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// Attempts that were served.
    #[serde(rename = "ok")]
    pub success: u64,
    /// Attempts that were rejected by a backend that was draining or full.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Attempts that could not connect, because their backend was removed.
    pub connect_failed: u64,
    /// Attempts whose backend process ended before they were served.
    pub reset: u64,
    /// Attempts that the proxy cancelled, that timed out, or whose proxy restarted.
    #[serde(rename = "withdrawn")]
    pub cancelled: u64,
}

/// An attempt that a backend works on, and the process of the backend that it was sent to.
struct InFlightAttempt {
    backend: u32,
    process: u32,
}

/// The backends of a fleet and the attempts that they work on.
pub struct Backends {
    /// The backends, indexed by their number.
    pub all: Vec<Backend>,
    /// An injected fault: the factor by which backends are slower than their machine type. 1 means
    /// no fault.
    slowdown: f64,
    in_flight: HashMap<AttemptKey, InFlightAttempt>,
    /// Future completions. The entries of cancelled attempts stay in the heap and are skipped when
    /// they are due.
    completions: BinaryHeap<Reverse<(Time, AttemptKey)>>,
    random: Pcg64Mcg,
    /// The number of attempts by outcome.
    pub outcomes: OutcomeCounts,
    cold_starts: ColdStartMonitor,
}

impl Backends {
    /// Creates `count` ready backends that started so long ago that they are warm.
    pub fn new(count: usize, slowdown: f64, overload_tolerance: f64, seed: u64) -> Backends {
        Backends {
            all: (0..count).map(Backend::new).collect(),
            slowdown,
            in_flight: HashMap::new(),
            completions: BinaryHeap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            outcomes: OutcomeCounts::default(),
            cold_starts: ColdStartMonitor::new(count, overload_tolerance),
        }
    }

    /// Sets the state of a backend. A new start or a removal ends its current process.
    pub fn set(&mut self, backend: u32, state: BackendState, started_at: Option<Time>) {
        let backend = &mut self.all[backend as usize];
        if backend.started_at != started_at || state == BackendState::Removed {
            backend.process += 1;
            backend.in_service = 0;
            backend.recent_attempts.clear();
        }
        backend.state = state;
        backend.started_at = started_at;
    }

    /// Handles the arrival of an attempt at a backend. Returns the result if the backend turns the
    /// attempt away.
    pub fn begin(
        &mut self,
        now: Time,
        key: AttemptKey,
        backend_number: u32,
        in_window: bool,
    ) -> Option<AttemptResult> {
        let backend = &mut self.all[backend_number as usize];
        self.cold_starts.record(now, backend_number, backend);
        backend.load += u32::from(in_window);
        if let Some(outcome) = backend.rejection() {
            match outcome {
                Outcome::ConnectFailed => self.outcomes.connect_failed += 1,
                _ => self.outcomes.rejected += 1,
            }
            return Some(AttemptResult {
                key,
                at: now + REJECTION_DELAY,
                outcome,
            });
        }
        backend.in_service += 1;
        let in_flight = InFlightAttempt {
            backend: backend_number,
            process: backend.process,
        };
        let completes_at = now + self.service_time(now, backend_number);
        self.in_flight.insert(key, in_flight);
        self.completions.push(Reverse((completes_at, key)));
        None
    }

    /// The service time of an attempt that has just arrived. The work of an attempt is random, with
    /// a mean of 1.
    fn service_time(&mut self, now: Time, backend_number: u32) -> Micros {
        let backend = &self.all[backend_number as usize];
        // Half of the mean work is fixed, the other half is exponentially distributed.
        let random_part: f64 = Exp1.sample(&mut self.random);
        let work = 0.5 + 0.5 * random_part;
        // The attempts that are in service at the time of arrival share the processors.
        let contention = (f64::from(backend.in_service) / CORES).max(1.0);
        let mean_secs = MACHINE_TYPES[backend.machine_type].service_secs * self.slowdown;
        let secs = mean_secs * work * contention / backend.warmup_fraction(now);
        Micros::from_secs(secs).max(Micros(1))
    }

    /// Cancels an attempt: its backend stops working on it.
    pub fn cancel(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.in_flight.remove(&key) {
            self.outcomes.cancelled += 1;
            self.release(&attempt);
        }
    }

    /// Removes the attempts that have completed by now. Returns their results in order of time.
    pub fn completed(&mut self, now: Time) -> Vec<AttemptResult> {
        let mut results = Vec::new();
        while let Some(Reverse((at, key))) = self.next_completion(now) {
            self.completions.pop();
            let Some(attempt) = self.in_flight.remove(&key) else {
                continue;
            };
            let outcome = if self.release(&attempt) {
                self.outcomes.success += 1;
                Outcome::Success
            } else {
                self.outcomes.reset += 1;
                Outcome::Reset
            };
            results.push(AttemptResult { key, at, outcome });
        }
        results
    }

    fn next_completion(&self, now: Time) -> Option<Reverse<(Time, AttemptKey)>> {
        let next = self.completions.peek().copied();
        next.filter(|Reverse((at, _))| *at <= now)
    }

    /// Ends the work on an attempt. Returns whether the process that it was sent to is still
    /// running.
    fn release(&mut self, attempt: &InFlightAttempt) -> bool {
        let backend = &mut self.all[attempt.backend as usize];
        let same_process = backend.process == attempt.process;
        backend.in_service -= u32::from(same_process);
        same_process
    }

    /// The current endpoint list, without removed backends.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.all
            .iter()
            .enumerate()
            .filter(|(_, backend)| backend.state != BackendState::Removed)
            .map(|(number, backend)| {
                topology::balancer_endpoint(number, backend.state, backend.started_at)
            })
            .collect()
    }

    /// Statistics of the load on backends that were warming up.
    pub fn cold_starts(&self) -> ColdStartStatistics {
        self.cold_starts.statistics()
    }
}
