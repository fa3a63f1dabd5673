//! Priorities: what a request is worth beside others of its class, and a class beside other
//! classes.

use crate::estimation::{update_fraction, LatencyEstimates};
use crate::{Arrival, Class, ClassId, Config};

/// Least weight of a client's retry beside a first request: some still come in time.
const MIN_RETRY_WEIGHT: f64 = 0.1;
/// Requests of a lower weight have low priority.
const LOW_PRIORITY_WEIGHT: f64 = 0.5;
/// Low-priority requests may take this fraction of any capacity; the rest is reserved for others.
pub(crate) const LOW_PRIORITY_CAPACITY_FRACTION: f64 = 0.5;
/// Least fraction of the arrivals that a class counts with.
const MIN_ARRIVAL_SHARE: f64 = 1e-3;
/// Classes that are served so little better than the worst count as the worst as well.
const WORST_CLASS_MARGIN: f64 = 0.02;

/// Whether part of the capacity is reserved for other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// The request may take all of the capacity.
    Normal,
    /// The request may take [`LOW_PRIORITY_CAPACITY_FRACTION`] of it.
    Low,
}

/// Whether a response came within its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeliness {
    /// It was a served request within its objective.
    OnTime,
    /// It was late, or the request was not served.
    Missed,
}

/// The weight of a request, as a fraction of that of a first request within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestWeight(f64);

impl RequestWeight {
    /// The weight of an arriving request of a class.
    pub fn new(
        config: &Config,
        class: &Class,
        arrival: &Arrival,
        is_over_quota: bool,
    ) -> RequestWeight {
        // A client that retries has waited for its first request: mostly the late weight is left to
        // earn. Serving the retry before a new request would make both late, all through a storm of
        // retries.
        let retry_weight = if arrival.is_retry {
            class.late_weight.max(MIN_RETRY_WEIGHT)
        } else {
            1.0
        };
        let quota_weight = if is_over_quota {
            config.over_quota_weight
        } else {
            1.0
        };
        RequestWeight(retry_weight * quota_weight)
    }

    /// The weight as a number.
    pub fn value(self) -> f64 {
        self.0
    }

    /// The priority that follows from the weight.
    pub fn priority(self) -> Priority {
        if self.0 < LOW_PRIORITY_WEIGHT {
            Priority::Low
        } else {
            Priority::Normal
        }
    }

    /// The upper bound of the weights of low priority if this is one, else `None`.
    pub fn low_priority_limit(self) -> Option<f64> {
        let is_low = self.priority() == Priority::Low;
        is_low.then_some(LOW_PRIORITY_WEIGHT)
    }
}

/// The traffic of one class as this proxy has seen it lately.
#[derive(Clone, Copy, Default)]
struct ClassTraffic {
    /// The class's fraction of the arrivals.
    arrival_share: f64,
    /// Responses of this class within the objective, as a fraction of all final responses.
    on_time_share: f64,
}

impl ClassTraffic {
    /// The arrival share, not lower than what a class counts with.
    fn counted_share(&self) -> f64 {
        self.arrival_share.max(MIN_ARRIVAL_SHARE)
    }

    /// The fraction of its arrivals that was served within the objective.
    fn on_time_fraction(&self) -> f64 {
        self.on_time_share / self.counted_share()
    }
}

/// The mix of traffic classes that arrives at this proxy, and how well each class is served.
///
/// It owns both as running fractions. Work estimates are passed in.
pub(crate) struct TrafficMix {
    /// By the index of the class.
    classes: Vec<ClassTraffic>,
}

impl TrafficMix {
    /// A mix of which nothing is known yet.
    pub fn new(class_count: usize) -> TrafficMix {
        TrafficMix {
            classes: vec![ClassTraffic::default(); class_count],
        }
    }

    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, class: ClassId) {
        for (index, traffic) in self.classes.iter_mut().enumerate() {
            update_fraction(&mut traffic.arrival_share, index == class.0);
        }
    }

    /// Records that a request has had its final response.
    pub fn record_response(&mut self, class: ClassId, timeliness: Timeliness) {
        for (index, traffic) in self.classes.iter_mut().enumerate() {
            let is_hit = timeliness == Timeliness::OnTime && index == class.0;
            update_fraction(&mut traffic.on_time_share, is_hit);
        }
    }

    /// The load of each class: its fraction of the arrivals multiplied by its relative work.
    pub fn loads(&self, latencies: &LatencyEstimates) -> Vec<f64> {
        let mut loads = Vec::with_capacity(self.classes.len());
        for (index, traffic) in self.classes.iter().enumerate() {
            loads.push(traffic.arrival_share * latencies.relative_work(ClassId(index)));
        }
        loads
    }

    /// The density of each class: what serving one of its requests is worth to the operators'
    /// objective, per unit of work.
    pub fn densities(&self, config: &Config, latencies: &LatencyEstimates) -> Vec<f64> {
        let mean_weight = self.mean_priority_weight(config);
        let worst_fraction = self.worst_on_time_fraction();
        let mut densities = Vec::with_capacity(self.classes.len());
        for (index, traffic) in self.classes.iter().enumerate() {
            let class = &config.classes[index];
            let overall_gain = config.overall_goal_weight * class.priority_weight / mean_weight;
            let is_worst = traffic.on_time_fraction() <= worst_fraction + WORST_CLASS_MARGIN;
            let worst_class_gain = if is_worst {
                config.worst_class_goal_weight / traffic.counted_share()
            } else {
                0.0
            };
            let work = latencies.relative_work(ClassId(index));
            densities.push((overall_gain + worst_class_gain) / work);
        }
        densities
    }

    fn mean_priority_weight(&self, config: &Config) -> f64 {
        let classes = config.classes.iter().zip(&self.classes);
        classes
            .map(|(class, traffic)| class.priority_weight * traffic.counted_share())
            .sum()
    }

    fn worst_on_time_fraction(&self) -> f64 {
        let fractions = self.classes.iter().map(ClassTraffic::on_time_fraction);
        fractions.fold(f64::MAX, f64::min)
    }
}

#[cfg(test)]
mod tests;
