//! Poisson arrivals of requests.

use crate::failure::InputError;
use rand_distr::Exp;

/// The distribution of the seconds between two arrivals, at this many arrivals a second on average.
pub(crate) fn arrival_intervals(per_second: f64) -> Result<Exp<f64>, InputError> {
    Exp::new(per_second).map_err(|source| InputError::ArrivalRate { per_second, source })
}
