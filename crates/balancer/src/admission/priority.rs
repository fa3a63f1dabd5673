//! Priorities: the weight of a request relative to others of its class, and the density of a class,
//! which ranks the classes by the value of their requests per unit of work.

use crate::estimation::{update_fraction, LatencyEstimates};
use crate::{Arrival, Class, ClassId, Config};

/// Minimum weight of a client's retry relative to a first request. It is above 0 because some
/// retries are still served in time.
const MIN_RETRY_WEIGHT: f64 = 0.1;
/// Requests with a weight below this limit have low priority.
const LOW_PRIORITY_WEIGHT: f64 = 0.5;
/// Fraction of any capacity that low-priority requests may use. The remaining capacity is reserved
/// for requests of normal priority.
pub(crate) const LOW_PRIORITY_CAPACITY_FRACTION: f64 = 0.5;
/// Minimum fraction of the arrivals that is assumed for a class. Other values are divided by this
/// fraction, so it must not be 0.
const MIN_ARRIVAL_SHARE: f64 = 1e-3;
/// A class counts as worst-served if the fraction of its requests that is served on time exceeds
/// the lowest such fraction by at most this margin.
const WORST_CLASS_MARGIN: f64 = 0.02;

/// How much of any capacity a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// The request may use all of the capacity.
    Normal,
    /// The request may use [`LOW_PRIORITY_CAPACITY_FRACTION`] of the capacity.
    Low,
}

/// Whether a request was served within its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeliness {
    /// The request was served within its objective.
    OnTime,
    /// The request was served late or not at all.
    Missed,
}

/// The weight of a request, as a fraction of the weight of a first request within its tenant's
/// quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RequestWeight(f64);

impl RequestWeight {
    /// Computes the weight of an arriving request of a class.
    pub fn new(
        config: &Config,
        class: &Class,
        arrival: &Arrival,
        is_over_quota: bool,
    ) -> RequestWeight {
        // A client that retries has already waited for its first request, so its response usually
        // counts with the late weight only. If retries were served before new requests, both would
        // be late for as long as a retry storm lasts.
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

    /// Returns the weight as a number, from 0 to 1.
    pub fn value(self) -> f64 {
        self.0
    }

    /// Returns the priority that follows from the weight.
    pub fn priority(self) -> Priority {
        if self.0 < LOW_PRIORITY_WEIGHT {
            Priority::Low
        } else {
            Priority::Normal
        }
    }

    /// Returns the upper bound of the low-priority weights if this weight has low priority,
    /// otherwise `None`.
    pub fn low_priority_limit(self) -> Option<f64> {
        let is_low = self.priority() == Priority::Low;
        is_low.then_some(LOW_PRIORITY_WEIGHT)
    }
}

/// The recent traffic of one class at this proxy.
#[derive(Clone, Copy, Default)]
struct ClassTraffic {
    /// Arrivals of this class, as a fraction of all arrivals.
    arrival_share: f64,
    /// Final responses of this class within the objective, as a fraction of all final responses.
    on_time_share: f64,
}

impl ClassTraffic {
    /// Returns the arrival share, but at least [`MIN_ARRIVAL_SHARE`].
    fn bounded_arrival_share(&self) -> f64 {
        self.arrival_share.max(MIN_ARRIVAL_SHARE)
    }

    /// Returns the fraction of the arrivals of this class that was served within the objective.
    fn on_time_fraction(&self) -> f64 {
        self.on_time_share / self.bounded_arrival_share()
    }
}

/// The mix of traffic classes that arrives at this proxy, and the fraction of each class that is
/// served on time.
///
/// It owns both as running fractions. Work estimates are passed in.
pub(crate) struct TrafficMix {
    /// One entry for each class, by the index of the class.
    classes: Vec<ClassTraffic>,
}

impl TrafficMix {
    /// Creates a mix without any arrivals or responses.
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

    /// Records the final response of a request.
    pub fn record_final_response(&mut self, class: ClassId, timeliness: Timeliness) {
        for (index, traffic) in self.classes.iter_mut().enumerate() {
            let is_on_time = timeliness == Timeliness::OnTime && index == class.0;
            update_fraction(&mut traffic.on_time_share, is_on_time);
        }
    }

    /// Returns the load of each class: its fraction of the arrivals multiplied by its relative
    /// work.
    pub fn loads(&self, latencies: &LatencyEstimates) -> Vec<f64> {
        let mut loads = Vec::with_capacity(self.classes.len());
        for (index, traffic) in self.classes.iter().enumerate() {
            loads.push(traffic.arrival_share * latencies.relative_work(ClassId(index)));
        }
        loads
    }

    /// Returns the density of each class: the gain in the operators' objective from serving one of
    /// its requests, per unit of work.
    ///
    /// The objective is a weighted sum of two goals: the fraction of all traffic that is served on
    /// time, in which classes count by their priority weights, and that fraction of the
    /// worst-served class. Only the worst-served classes gain from the second goal.
    pub fn densities(&self, config: &Config, latencies: &LatencyEstimates) -> Vec<f64> {
        let mean_weight = self.mean_priority_weight(config);
        let worst_fraction = self.worst_on_time_fraction();
        let mut densities = Vec::with_capacity(self.classes.len());
        for (index, traffic) in self.classes.iter().enumerate() {
            let class = &config.classes[index];
            let overall_gain = config.overall_goal_weight * class.priority_weight / mean_weight;
            let is_worst = traffic.on_time_fraction() <= worst_fraction + WORST_CLASS_MARGIN;
            let worst_class_gain = if is_worst {
                config.worst_class_goal_weight / traffic.bounded_arrival_share()
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
            .map(|(class, traffic)| class.priority_weight * traffic.bounded_arrival_share())
            .sum()
    }

    fn worst_on_time_fraction(&self) -> f64 {
        let fractions = self.classes.iter().map(ClassTraffic::on_time_fraction);
        fractions.fold(f64::MAX, f64::min)
    }
}

#[cfg(test)]
mod tests;
