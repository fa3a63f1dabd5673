//! Estimates of the latency and the work of each traffic class. Only served requests count: the
//! time until an error, a timeout or a rejection shows neither latency nor work.
//!
//! Work is measured in multiples of a mean request, one whose latency is the mean over all classes.

use super::RunningMean;
use crate::{ClassId, Config, Micros};

/// Latency that is assumed until a request has been served, as a fraction of the latency objective.
pub(crate) const ASSUMED_LATENCY_FRACTION: f64 = 0.25;
/// Shorter latencies are recorded as this latency, in seconds. It keeps quotients of mean latencies
/// finite.
const MIN_LATENCY_SECS: f64 = 1e-6;

/// The latency of one class.
struct ClassLatency {
    /// The class's latency objective.
    objective: Micros,
    /// Seconds from dispatch to response.
    observed: RunningMean,
}

/// The latency of served requests, by class and over all classes.
///
/// The baseline latency of a backend is stored with its machine type and passed as an argument.
pub(crate) struct LatencyEstimates {
    /// By the index of the class.
    classes: Vec<ClassLatency>,
    /// Seconds from dispatch to response over all classes.
    overall: RunningMean,
}

impl LatencyEstimates {
    /// Creates estimates without samples.
    pub fn new(config: &Config) -> LatencyEstimates {
        let classes = config.classes.iter().map(|class| ClassLatency {
            objective: class.latency_objective,
            observed: RunningMean::default(),
        });
        LatencyEstimates {
            classes: classes.collect(),
            overall: RunningMean::default(),
        }
    }

    /// Whether any request has been served.
    pub fn has_samples(&self) -> bool {
        self.overall.get().is_some()
    }

    /// The mean latency of the class; an assumption until a request of the class has been served.
    pub fn typical(&self, class: ClassId) -> Micros {
        self.typical_within(class, self.classes[class.0].objective)
    }

    /// The expected latency of a request of the class with its own latency objective. Until a
    /// request of the class has been served, it is assumed from `objective`, because the request
    /// may have less time than its class usually has.
    pub fn typical_within(&self, class: ClassId, objective: Micros) -> Micros {
        match self.classes[class.0].observed.get() {
            Some(seconds) => Micros::from_secs(seconds),
            None => objective.times(ASSUMED_LATENCY_FRACTION),
        }
    }

    /// The work of a request of the class in multiples of the mean over all requests, estimated
    /// from the latency. It is 1 until a request of the class has been served.
    pub fn relative_work(&self, class: ClassId) -> f64 {
        match self.classes[class.0].observed.get() {
            Some(seconds) => seconds / self.overall.value(),
            None => 1.0,
        }
    }

    /// The latency of the class on an unloaded backend, plus `fraction` of the remaining time until
    /// the latency objective of the class. `baseline` is the latency of a mean request on the
    /// unloaded backend in seconds, if known. The work hint of a request is not taken into account.
    pub fn latency_within_objective(
        &self,
        baseline: Option<f64>,
        class: ClassId,
        fraction: f64,
    ) -> Micros {
        let objective = self.classes[class.0].objective.secs();
        let unloaded = match baseline {
            Some(latency) => latency * self.relative_work(class),
            None => 0.0,
        };
        let slack = (objective - unloaded).max(0.0);
        Micros::from_secs(unloaded + slack * fraction)
    }

    /// Records the latency of a served request. Returns the latency, in seconds, that a request of
    /// mean work would have had in its place, so that samples do not depend on the mix of classes.
    pub fn record(&mut self, class: ClassId, latency: Micros) -> f64 {
        let seconds = latency.secs().max(MIN_LATENCY_SECS);
        let class_mean = &mut self.classes[class.0].observed;
        class_mean.add(seconds);
        self.overall.add(seconds);
        seconds * self.overall.value() / class_mean.value()
    }
}
