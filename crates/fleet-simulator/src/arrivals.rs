//! Poisson arrival process of requests.

use crate::failure::InputError;
use rand_distr::Exp;

/// The exponential distribution of the time between arrivals, s, for a mean rate of `per_second`.
pub(crate) fn arrival_intervals(per_second: f64) -> Result<Exp<f64>, InputError> {
    Exp::new(per_second).map_err(|source| InputError::ArrivalRate { per_second, source })
}
