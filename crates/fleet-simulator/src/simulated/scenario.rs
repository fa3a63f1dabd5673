//! The scenarios, that is, the faults and changes that a fleet goes through. The timeline of a
//! scenario is generated before the run.

use super::context::MeasurementWindow;
use super::timeline::{BackendChange, Outage, Timeline};
use crate::topology::ZONES;
use brookstack_balancer::{BackendState, Micros, Time};
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// The faults and changes that a fleet goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Scenario {
    /// Single backends are replaced, as in normal operation.
    Calm,
    /// Discovery is down for 8 s. Some backends start to drain during the outage, others after it.
    Outage,
    /// A rack fails and comes back cold, so its backends have to warm up.
    Cold,
    /// All proxies restart at the same time with an outdated endpoint list.
    Release,
    /// All proxies restart at the moment at which a rack comes back cold. Their endpoint list
    /// already contains the rack.
    Rebirth,
}

/// The duration of an outage of discovery.
const OUTAGE_DURATION: Micros = Micros(8_000_000);
/// The time from the start of the measurement window to the start of an outage or to the failure of
/// a rack.
const FAULT_DELAY: Micros = Micros(1_000_000);
/// The time from the start of an outage until backends start to drain.
const DRAIN_DELAY_IN_OUTAGE: Micros = Micros(2_000_000);
/// The time from the end of an outage until further backends start to drain.
const DRAIN_DELAY_AFTER_OUTAGE: Micros = Micros(500_000);
/// The fraction of the backends that start to drain at the same time: during an outage, after it,
/// or before a release.
const DRAINED_FRACTION: f64 = 0.02;
/// How long a backend drains before it is replaced.
const DRAIN_DURATION: Micros = Micros(2_000_000);
/// The time from the removal of a replaced backend until it returns.
const REPLACEMENT_DURATION: Micros = Micros(3_000_000);
/// The time from the failure of a rack until it returns.
const RACK_DOWNTIME: Micros = Micros(4_000_000);
/// The time from the start of draining to the restart of the proxies in a release. The outdated
/// endpoint list of the restarted proxies does not show that these backends drain.
const RELEASE_DELAY: Micros = Micros(3_000_000);
/// The lower bound of the rate parameter of the distribution of replacement times, per second. It
/// keeps the drawn intervals finite if the rate is 0.
const MIN_REPLACEMENT_RATE: f64 = 1e-9;

/// The parameters of a scenario's timeline.
#[derive(Clone, Copy, Debug)]
pub struct TimelineSettings {
    /// The number of backends.
    pub backends: usize,
    /// The number of backends in the rack that fails.
    pub rack_size: usize,
    /// The number of backends that are replaced per second, in [`Scenario::Calm`].
    pub replacements_per_second: f64,
    /// The measurement window, during which changes are made.
    pub window: MeasurementWindow,
    /// The seed of the random number generator.
    pub seed: u64,
}

impl Scenario {
    /// The name of the scenario on the command line and in JSON.
    pub fn name(self) -> String {
        let json = serde_json::to_value(self).ok();
        let name = json.as_ref().and_then(|value| value.as_str());
        name.unwrap_or_default().to_string()
    }

    /// The shortest measurement window in which the scenario shows its effects, s.
    pub fn min_secs(self) -> f64 {
        match self {
            Scenario::Calm => 0.5,
            Scenario::Outage => 16.0,
            Scenario::Cold | Scenario::Release | Scenario::Rebirth => 10.0,
        }
    }

    /// Generates the timeline of the scenario.
    pub fn timeline(self, settings: TimelineSettings) -> Timeline {
        let mut builder = TimelineBuilder {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            timeline: Timeline::default(),
        };
        match self {
            Scenario::Calm => builder.replace_backends(),
            Scenario::Outage => builder.take_discovery_down(),
            Scenario::Cold => {
                builder.fail_rack();
            }
            Scenario::Rebirth => {
                let returns_at = builder.fail_rack();
                builder.timeline.restart_at = Some(returns_at);
            }
            Scenario::Release => builder.restart_with_outdated_list(),
        }
        let mut timeline = builder.timeline;
        let changes = &mut timeline.changes;
        changes.sort_by_key(|change| (change.at, change.backend));
        timeline
    }
}

/// Generates a timeline.
struct TimelineBuilder {
    settings: TimelineSettings,
    random: Pcg64Mcg,
    timeline: Timeline,
}

impl TimelineBuilder {
    /// Single backends drain, are removed and return, each at most once.
    fn replace_backends(&mut self) {
        let rate = self.settings.replacements_per_second;
        let intervals = Exp::new(rate.max(MIN_REPLACEMENT_RATE)).expect("a rate above 0");
        let end = self.settings.window.end;
        let mut at = self.settings.window.start + self.next_interval(intervals);
        let mut is_replaced = vec![false; self.settings.backends];
        while at < end && rate > 0.0 {
            let backend = self.random.random_range(0..self.settings.backends);
            if !is_replaced[backend] {
                is_replaced[backend] = true;
                self.replace(backend as u32, at);
            }
            at = at + self.next_interval(intervals);
        }
    }

    fn next_interval(&mut self, intervals: Exp<f64>) -> Micros {
        Micros::from_secs(intervals.sample(&mut self.random))
    }

    fn replace(&mut self, backend: u32, at: Time) {
        let removed_at = at + DRAIN_DURATION;
        let returns_at = removed_at + REPLACEMENT_DURATION;
        self.drain(backend, at);
        self.remove(backend, removed_at);
        self.start(backend, returns_at);
    }

    /// Discovery has an outage. Some backends start to drain during it, others after it.
    fn take_discovery_down(&mut self) {
        let start = self.settings.window.start + FAULT_DELAY;
        let end = start + OUTAGE_DURATION;
        self.timeline.outage = Some(Outage { start, end });
        self.drain_random_backends(start + DRAIN_DELAY_IN_OUTAGE);
        self.drain_random_backends(end + DRAIN_DELAY_AFTER_OUTAGE);
    }

    /// A rack fails and comes back. Returns the time at which it comes back.
    fn fail_rack(&mut self) -> Time {
        let fails_at = self.settings.window.start + FAULT_DELAY;
        let returns_at = fails_at + RACK_DOWNTIME;
        // All backends of a rack are in one zone.
        let first_zone = (0..self.settings.backends).step_by(ZONES.len());
        for backend in first_zone.take(self.settings.rack_size) {
            self.remove(backend as u32, fails_at);
            self.start(backend as u32, returns_at);
        }
        returns_at
    }

    /// Some backends start to drain. Then all proxies restart with an endpoint list in which these
    /// backends are still ready.
    fn restart_with_outdated_list(&mut self) {
        let start = self.settings.window.start;
        self.drain_random_backends(start);
        self.timeline.restart_at = Some(start + RELEASE_DELAY);
        self.timeline.restart_with_first_list = true;
    }

    /// Randomly chosen backends start to drain: a fraction of [`DRAINED_FRACTION`] of all backends,
    /// but at least one.
    fn drain_random_backends(&mut self, at: Time) {
        let backends = self.settings.backends;
        let count = ((backends as f64 * DRAINED_FRACTION) as usize).max(1);
        for backend in sample(&mut self.random, backends, count) {
            self.drain(backend as u32, at);
        }
    }

    fn drain(&mut self, backend: u32, at: Time) {
        self.change(backend, at, BackendState::Draining, None);
    }

    fn remove(&mut self, backend: u32, at: Time) {
        self.change(backend, at, BackendState::Removed, None);
    }

    fn start(&mut self, backend: u32, at: Time) {
        self.change(backend, at, BackendState::Ready, Some(at));
    }

    fn change(&mut self, backend: u32, at: Time, state: BackendState, started_at: Option<Time>) {
        self.timeline.changes.push(BackendChange {
            at,
            backend,
            state,
            started_at,
        });
    }
}
