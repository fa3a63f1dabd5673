//! Admission control: an overloaded fleet sheds the requests of least weight, to serve the rest in
//! time.

use super::priority::{Priority, RequestWeight, Timeliness, TrafficMix};
use super::tenant_quotas::TenantQuotas;
use crate::estimation::{update_fraction, LatencyEstimates, RateEstimator, ASSUMED_RATE};
use crate::peers::Peers;
use crate::random::Rng;
use crate::{Arrival, ClassId, Config, Micros, Time};

/// A prompt response comes within this fraction of the time from an unloaded response to the
/// latency objective. At twice that the slowest responses miss the objective.
const PROMPT_FRACTION: f64 = 0.25;
/// Least fraction of the traffic that is admitted, so that a recovery is noticed.
const MIN_ADMITTED_FRACTION: f64 = 0.05;
/// The admitted fraction may rise above one. Chance makes some responses late at any load, and each
/// late response lowers the fraction. With a bound of one, every proxy would shed a little traffic
/// all the time; above one, some late responses shed nothing yet.
const MAX_ADMITTED_FRACTION: f64 = 1.4;
/// Relative rise of the admitted fraction for each prompt response.
const ADMISSION_STEP: f64 = 0.07;
/// A response that is not prompt lowers the fraction by so many steps: it is stable while a third
/// of the responses are late.
const STEPS_DOWN: f64 = 2.0;
/// Highest rate of admitted requests, per second, at which the full step is taken. At a higher rate
/// the step is smaller, because the fraction must not change faster than the responses that show
/// the effect of the change.
const FULL_STEP_RATE: f64 = 10.0;

/// Whether a response came so soon that the fleet is not overloaded; see [`PROMPT_FRACTION`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Promptness {
    /// It came within the prompt latency.
    Prompt,
    /// It came later, or not in time at all.
    Late,
}

/// The load that competes with a request for admission, in fractions of all traffic.
struct CompetingLoad {
    /// Requests that are admitted before it.
    more_important: f64,
    /// Requests that are as important: its own class, or all of low priority.
    own: f64,
}

/// Decides which arriving requests are admitted.
///
/// It owns the admitted fraction of the traffic, the mix of the arrivals by class and by priority,
/// the rate of admitted requests and the use of the tenants' quotas. Work estimates, the number of
/// peers, the configuration and random numbers are passed in.
pub(crate) struct AdmissionControl {
    /// Fraction of the traffic that is admitted; see [`MAX_ADMITTED_FRACTION`].
    admitted_fraction: f64,
    /// Fraction of the arrivals that has low priority.
    low_priority_fraction: f64,
    /// Requests per second that this proxy admits.
    admitted_rate: RateEstimator,
    mix: TrafficMix,
    tenant_quotas: TenantQuotas,
}

impl AdmissionControl {
    /// An admission control that admits everything until responses come late.
    pub fn new(config: &Config) -> AdmissionControl {
        AdmissionControl {
            admitted_fraction: 1.0,
            low_priority_fraction: 0.0,
            admitted_rate: RateEstimator::default(),
            mix: TrafficMix::new(config.classes.len()),
            tenant_quotas: TenantQuotas::new(config),
        }
    }

    /// Takes an arriving request into the mix and the quotas; returns its weight.
    pub fn record_arrival(
        &mut self,
        now: Time,
        config: &Config,
        arrival: &Arrival,
    ) -> RequestWeight {
        let is_over_quota = self
            .tenant_quotas
            .count_request(now, config, arrival.tenant);
        let class = &config.classes[arrival.class.0];
        let weight = RequestWeight::new(config, class, arrival, is_over_quota);
        self.mix.record_arrival(arrival.class);
        let is_low_priority = weight.priority() == Priority::Low;
        update_fraction(&mut self.low_priority_fraction, is_low_priority);
        weight
    }

    /// Decides on an arriving request and counts it in the rate if it is admitted. Requests of the
    /// highest density are admitted first, low priority last; in the class at the limit, chance
    /// decides.
    pub fn admit(
        &mut self,
        now: Time,
        class: ClassId,
        weight: RequestWeight,
        config: &Config,
        latencies: &LatencyEstimates,
        rng: &mut Rng,
    ) -> bool {
        let is_admitted = if self.admitted_fraction >= 1.0 {
            true
        } else {
            let load = self.competing_load(class, weight, config, latencies);
            rng.unit() * load.own < self.admitted_fraction - load.more_important
        };
        // Shares are computed from the rate of admitted requests: the others reach no backend. The
        // rate also counts requests that are admitted but cannot be placed.
        self.admitted_rate.add(now, f64::from(is_admitted));
        is_admitted
    }

    /// The load that competes with a request for admission.
    fn competing_load(
        &self,
        class: ClassId,
        weight: RequestWeight,
        config: &Config,
        latencies: &LatencyEstimates,
    ) -> CompetingLoad {
        let high_priority_fraction = 1.0 - self.low_priority_fraction;
        if weight.priority() == Priority::Low {
            return CompetingLoad {
                more_important: high_priority_fraction,
                own: self.low_priority_fraction,
            };
        }
        let densities = self.mix.densities(config, latencies);
        let loads = self.mix.loads(latencies);
        let total_load: f64 = loads.iter().sum();
        let own_density = densities[class.0];
        let denser = (0..loads.len()).filter(|index| densities[*index] > own_density);
        let denser_load: f64 = denser.map(|index| loads[index]).sum();
        CompetingLoad {
            more_important: denser_load / total_load * high_priority_fraction,
            own: loads[class.0] / total_load * high_priority_fraction,
        }
    }

    /// Learns from a response, or from the lack of one, whether the fleet is overloaded.
    ///
    /// Many proxies cannot limit what a backend has in flight, as none sees what the others send.
    /// So each learns from its own responses that all of them together send too much.
    pub fn adjust(&mut self, promptness: Promptness, peers: Peers) {
        if peers.are_few() {
            // The concurrency limits of so few proxies bound the load well enough.
            return;
        }
        let rate = self.admitted_rate.per_s().unwrap_or(ASSUMED_RATE);
        let step = ADMISSION_STEP * (FULL_STEP_RATE / rate).min(1.0);
        // The step is taken per response, not per arrival. After most of the traffic was shed, few
        // responses come, and the slow rise lets the overloaded backends recover.
        let change = match promptness {
            Promptness::Prompt => 1.0 + step,
            Promptness::Late => 1.0 - STEPS_DOWN * step,
        };
        let fraction = self.admitted_fraction * change;
        self.admitted_fraction = fraction.clamp(MIN_ADMITTED_FRACTION, MAX_ADMITTED_FRACTION);
    }

    /// Records that a request has had its final response.
    pub fn record_response(&mut self, class: ClassId, timeliness: Timeliness) {
        self.mix.record_response(class, timeliness);
    }

    /// The density of each class; see [`TrafficMix::densities`].
    pub fn densities(&self, config: &Config, latencies: &LatencyEstimates) -> Vec<f64> {
        self.mix.densities(config, latencies)
    }

    /// Requests per second that this proxy admits, as of now; `None` until that is known.
    pub fn update_rate(&mut self, now: Time) -> Option<f64> {
        self.admitted_rate.add(now, 0.0);
        self.admitted_rate.per_s()
    }
}

/// The time from the dispatch of an attempt within which a response counts as prompt. `baseline` is
/// the unloaded latency of a mean request on its backend, s, if that is known.
pub(crate) fn prompt_latency(
    latencies: &LatencyEstimates,
    baseline: Option<f64>,
    class: ClassId,
) -> Micros {
    latencies.latency_within_objective(baseline, class, PROMPT_FRACTION)
}

#[cfg(test)]
mod tests;
