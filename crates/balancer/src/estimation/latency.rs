//! Estimates of the latency and the work of each traffic class. They are learned from served
//! requests only: errors, time-outs and rejections say nothing about them.

use super::RunningMean;
use crate::{ClassId, Config, Micros};

/// Latency assumed before any response was seen, as a fraction of the latency objective.
pub(crate) const ASSUMED_LATENCY: f64 = 0.25;
/// Shortest latency that counts, s.
const MIN_LATENCY: f64 = 1e-6;

/// What is known of the latency of one class.
struct ClassLatency {
    /// The class's latency objective.
    objective: Micros,
    /// Seconds from dispatch to response.
    observed: RunningMean,
}

/// The latency of served requests, by class and over all classes.
///
/// It owns the running means. The baseline latency of a backend, which belongs to its machine type,
/// is passed in.
pub(crate) struct LatencyEstimates {
    /// By the index of the class.
    classes: Vec<ClassLatency>,
    /// Seconds from dispatch to response over all classes.
    overall: RunningMean,
}

impl LatencyEstimates {
    /// Estimates without any sample.
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

    /// What a served request of the class usually takes; an assumption before any was served.
    pub fn typical(&self, class: ClassId) -> Micros {
        self.typical_within(class, self.classes[class.0].objective)
    }

    /// The same for a request that has its own time until its objective. It may have less than
    /// requests of its class usually have: an assumption about them says nothing of it.
    pub fn typical_within(&self, class: ClassId, objective: Micros) -> Micros {
        match self.classes[class.0].observed.get() {
            Some(seconds) => Micros::from_secs(seconds),
            None => objective.times(ASSUMED_LATENCY),
        }
    }

    /// The work of a request of the class in multiples of the mean over all classes, as far as the
    /// latency shows it.
    pub fn relative_work(&self, class: ClassId) -> f64 {
        match self.classes[class.0].observed.get() {
            Some(seconds) => seconds / self.overall.value(),
            None => 1.0,
        }
    }

    /// The latency of an unloaded response plus `fraction` of the time from there to the objective.
    /// `baseline` is the unloaded latency of a mean request on the backend, s, if that is known.
    /// The objective is that of the class, without a request's work hint.
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

    /// Learns from a served request's latency. Returns that latency, s, with the class mix taken
    /// out: what a mean request would have taken.
    pub fn record(&mut self, class: ClassId, latency: Micros) -> f64 {
        let seconds = latency.secs().max(MIN_LATENCY);
        let own = &mut self.classes[class.0].observed;
        own.add(seconds);
        self.overall.add(seconds);
        seconds * self.overall.value() / own.value()
    }
}
