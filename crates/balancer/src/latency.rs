//! Estimates of latency, work and speed, learned from served requests only: errors, time-outs and
//! rejections say nothing of them. No decisions.

use crate::records::KindRecord;
use crate::{BackendId, Balancer, Micros};

/// Memory of a kind's speed, s: a machine's speed changes seldom, the rate it is computed from all
/// the time.
const SPEED_MEMORY: f64 = 10.0;
/// Multiple of its kind's mean latency up to which one response counts.
const LATENCY_CLIP: f64 = 3.0;
/// Responses before a kind's mean latency counts.
const MIN_LATENCY_SAMPLES: f64 = 10.0;
/// Relative rise of a kind's baseline latency per second; a mean taken at once may be that of an
/// overloaded start.
const BASELINE_RISE: f64 = 0.03;
/// Latency assumed before any response was seen, as a fraction of the latency objective.
const ASSUMED_LATENCY: f64 = 0.25;
/// Shortest latency that counts, s.
const MIN_LATENCY: f64 = 1e-6;

impl KindRecord {
    /// The baseline follows a lower mean at once and rises slowly towards a higher one.
    fn update_baseline(&mut self, elapsed: f64, assumed: f64) {
        let risen = self
            .baseline_latency
            .map_or(assumed, |base| base * (1.0 + BASELINE_RISE * elapsed));
        self.baseline_latency = Some(self.latency.get().map_or(risen, |mean| mean.min(risen)));
    }

    /// Learns the speed from the latency and from this kind's part of the `rate` of all proxies: a
    /// processor that is shared by its requests (M/G/1/PS) responds after T = 1 / (speed - rate),
    /// so that speed = 1 / T + rate.
    fn update_speed(&mut self, elapsed: f64, rate: Option<f64>) {
        let flow = if self.readiness > 0.0 {
            rate.unwrap_or(0.0) * self.share / self.readiness
        } else {
            0.0
        };
        let speed = self.latency.get().map_or(0.0, |mean| 1.0 / mean + flow);
        // Smoothed: the flow that this proxy computes is its own view. Unsmoothed, a kind with a
        // large share looks ever faster, and the proxies oscillate together.
        let weight = if self.latency.count < MIN_LATENCY_SAMPLES {
            1.0
        } else {
            (elapsed / SPEED_MEMORY).min(1.0)
        };
        self.speed += (speed - self.speed) * weight;
        let first = weight == 1.0 || self.proven_speed == 0.0;
        let smoothed = self.proven_speed + (speed - self.proven_speed) * weight;
        let risen = self.proven_speed * (1.0 + BASELINE_RISE * elapsed);
        self.proven_speed = if first { speed } else { smoothed.min(risen) };
    }
}

impl Balancer {
    /// What a served request of the class usually takes; an assumption before any was served.
    pub(crate) fn typical_latency(&self, class: usize) -> Micros {
        let assumed = self.config.classes[class]
            .latency_objective
            .times(ASSUMED_LATENCY);
        self.classes[class]
            .latency
            .get()
            .map_or(assumed, Micros::from_secs)
    }

    /// A class's work in multiples of the mean over all classes, as far as latency tells it.
    pub(crate) fn relative_work(&self, class: usize) -> f64 {
        self.classes[class]
            .latency
            .get()
            .map_or(1.0, |own| own / self.overall_latency.value)
    }

    /// The latency of an unloaded response plus `fraction` of the time from there to the objective.
    pub(crate) fn latency_at(&self, backend: BackendId, class: usize, fraction: f64) -> Micros {
        let objective = self.config.classes[class].latency_objective.secs();
        let kind = self
            .backends
            .get(&backend)
            .and_then(|backend| self.kinds.get(&backend.endpoint.machine_type));
        let baseline = kind.and_then(|kind| kind.baseline_latency);
        let unloaded = baseline.map_or(0.0, |latency| latency * self.relative_work(class));
        Micros::from_secs(unloaded + (objective - unloaded).max(0.0) * fraction)
    }

    /// Learns from a served request's latency.
    pub(crate) fn record_latency(&mut self, backend: BackendId, class: usize, latency: Micros) {
        let Some(backend) = self.backends.get(&backend) else {
            return;
        };
        let seconds = latency.secs().max(MIN_LATENCY);
        self.classes[class].latency.add(seconds);
        self.overall_latency.add(seconds);
        let normalized = seconds * self.overall_latency.value / self.classes[class].latency.value;
        let kind = self.kinds.entry(backend.endpoint.machine_type).or_default();
        // Faulty backends respond late; a few such responses must not make the whole kind look
        // slow.
        let clip = kind.latency.get().unwrap_or(normalized) * LATENCY_CLIP;
        kind.latency.add(normalized.min(clip));
    }

    /// Estimates the speed of every kind; one without data counts as fast as the others on average.
    pub(crate) fn estimate_speeds(&mut self, elapsed: f64, rate: Option<f64>) {
        let assumed = self.solve_interval.secs() * ASSUMED_LATENCY;
        for kind in self.kinds.values_mut() {
            kind.update_baseline(elapsed, assumed);
            kind.update_speed(elapsed, rate);
        }
        let mut sum = 0.0;
        let mut count = 0.0;
        for kind in self.kinds.values().filter(|kind| kind.speed > 0.0) {
            sum += kind.speed;
            count += 1.0;
        }
        let mean = if count > 0.0 { sum / count } else { 1.0 };
        for kind in self.kinds.values_mut().filter(|kind| kind.speed == 0.0) {
            kind.speed = mean;
        }
    }
}
