//! Admission control: while the fleet is overloaded, the requests with the lowest weight are shed
//! so that the others are served in time.
//!
//! The overload is inferred from the latency of responses: each prompt response raises the admitted
//! fraction of the traffic, each late one lowers it.

use super::priority::{Priority, RequestWeight, Timeliness, TrafficMix};
use super::tenant_quotas::TenantQuotas;
use crate::estimation::{update_fraction, LatencyEstimates, RateEstimator, ASSUMED_RATE};
use crate::peers::Peers;
use crate::random::Rng;
use crate::{Arrival, ClassId, Config, Micros, Time};

/// A response is prompt if it arrives within the latency of an unloaded response plus this fraction
/// of the time from there to the latency objective. With twice this fraction, the slowest responses
/// miss the objective.
const PROMPT_FRACTION: f64 = 0.25;
/// Minimum admitted fraction of the traffic. Without any responses, a recovery of the fleet would
/// not be noticed.
const MIN_ADMITTED_FRACTION: f64 = 0.05;
/// Maximum admitted fraction of the traffic. It is above 1 because some responses are late by
/// chance at any load, and each late response lowers the fraction. With a maximum of 1, every proxy
/// would always shed a little traffic; with a higher one, a few late responses do not shed any yet.
const MAX_ADMITTED_FRACTION: f64 = 1.4;
/// Relative rise of the admitted fraction for each prompt response at rates up to
/// [`FULL_STEP_RATE`].
const ADMISSION_STEP: f64 = 0.07;
/// Number of steps by which a late response lowers the admitted fraction. With 2 steps, the
/// fraction is stable while a third of the responses are late.
const LATE_RESPONSE_STEPS: f64 = 2.0;
/// Maximum rate of admitted requests, per second, at which a response changes the fraction by a
/// full step. The step is smaller at higher rates, because the fraction must not change faster than
/// the responses arrive that show the effect of the change.
const FULL_STEP_RATE: f64 = 10.0;

/// Whether a response arrived so early that the fleet is not overloaded; see [`PROMPT_FRACTION`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Promptness {
    /// The response arrived within the prompt latency.
    Prompt,
    /// The response arrived later, or did not arrive within that time.
    Late,
}

/// The load that competes with a request for admission, as fractions of all traffic.
struct CompetingLoad {
    /// Load of the requests that are admitted before this one.
    more_important: f64,
    /// Load of the requests that are equally important: those of the same class, or all requests of
    /// low priority.
    equally_important: f64,
}

/// Decides which arriving requests are admitted.
///
/// It owns the admitted fraction of the traffic, the mix of the arrivals by class and by priority,
/// the rate of admitted requests and the use of the tenants' quotas. Work estimates, the number of
/// peers, the configuration and the random number generator are passed in.
pub(crate) struct AdmissionControl {
    /// Fraction of the traffic that is admitted; all of it at 1 and above, see
    /// [`MAX_ADMITTED_FRACTION`].
    admitted_fraction: f64,
    /// Fraction of the arrivals that have low priority.
    low_priority_fraction: f64,
    /// Requests per second that this proxy admits.
    admitted_rate: RateEstimator,
    mix: TrafficMix,
    tenant_quotas: TenantQuotas,
}

impl AdmissionControl {
    /// Creates an admission control that admits every request until responses are late.
    pub fn new(config: &Config) -> AdmissionControl {
        AdmissionControl {
            admitted_fraction: 1.0,
            low_priority_fraction: 0.0,
            admitted_rate: RateEstimator::default(),
            mix: TrafficMix::new(config.classes.len()),
            tenant_quotas: TenantQuotas::new(config),
        }
    }

    /// Records an arriving request in the traffic mix and in its tenant's quota; returns its
    /// weight.
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

    /// Decides whether an arriving request is admitted, and counts it in the rate if it is.
    ///
    /// The admitted fraction goes to the classes in the order of their density, and to all requests
    /// of low priority last. Requests of the class for which only a part of the fraction remains
    /// are admitted at random.
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
            rng.unit() * load.equally_important < self.admitted_fraction - load.more_important
        };
        // The shares are computed from the rate of admitted requests, because rejected requests do
        // not reach any backend. The rate includes requests that are admitted but cannot be placed.
        self.admitted_rate.add(now, f64::from(is_admitted));
        is_admitted
    }

    /// Computes the load that competes with a request for admission.
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
                equally_important: self.low_priority_fraction,
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
            equally_important: loads[class.0] / total_load * high_priority_fraction,
        }
    }

    /// Adjusts the admitted fraction to a response, or to the lack of one.
    ///
    /// If many proxies share a backend, they cannot limit its requests in flight, because no proxy
    /// knows what the others send. Instead, each proxy infers from its own responses that all
    /// proxies together send too much.
    pub fn adjust(&mut self, promptness: Promptness, peers: Peers) {
        if peers.are_few() {
            // The concurrency limits bound the load of the backends well enough.
            return;
        }
        let rate = self.admitted_rate.per_s().unwrap_or(ASSUMED_RATE);
        let step = ADMISSION_STEP * (FULL_STEP_RATE / rate).min(1.0);
        // The fraction changes per response, not per arrival. After most of the traffic has been
        // shed, few responses arrive, so that the fraction rises slowly and the overloaded backends
        // can recover.
        let change = match promptness {
            Promptness::Prompt => 1.0 + step,
            Promptness::Late => 1.0 - LATE_RESPONSE_STEPS * step,
        };
        let fraction = self.admitted_fraction * change;
        self.admitted_fraction = fraction.clamp(MIN_ADMITTED_FRACTION, MAX_ADMITTED_FRACTION);
    }

    /// Records the final response of a request.
    pub fn record_final_response(&mut self, class: ClassId, timeliness: Timeliness) {
        self.mix.record_final_response(class, timeliness);
    }

    /// Returns the density of each class; see [`TrafficMix::densities`].
    pub fn densities(&self, config: &Config, latencies: &LatencyEstimates) -> Vec<f64> {
        self.mix.densities(config, latencies)
    }

    /// Returns the requests per second that this proxy admits at `now`; `None` until enough time
    /// has been observed.
    pub fn update_rate(&mut self, now: Time) -> Option<f64> {
        self.admitted_rate.add(now, 0.0);
        self.admitted_rate.per_s()
    }
}

/// Returns the time from the dispatch of an attempt within which a response counts as prompt.
/// `baseline` is the latency of a mean request on the backend without load, in seconds, if known.
pub(crate) fn prompt_latency(
    latencies: &LatencyEstimates,
    baseline: Option<f64>,
    class: ClassId,
) -> Micros {
    latencies.latency_within_objective(baseline, class, PROMPT_FRACTION)
}

#[cfg(test)]
mod tests;
