//! Estimates on which the balancer bases its decisions: running means and rates, and the latency of
//! each class.

mod estimators;
mod latency;

pub(crate) use estimators::{
    update_fraction, RateEstimator, RunningMean, TimeWeightedMean, EPSILON, RATE_MEMORY_SECS,
    SAMPLE_MEMORY,
};
pub(crate) use latency::{LatencyEstimates, ASSUMED_LATENCY_FRACTION};

/// Rate of this proxy's requests that is assumed until it has been measured, in requests per
/// second.
pub(crate) const ASSUMED_RATE: f64 = 1.0;
