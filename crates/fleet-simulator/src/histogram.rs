//! Histograms of durations, in microseconds.

use hdrhistogram::Histogram;

/// The longest duration that a histogram of [`new_histogram`] can record, us.
const MAX_RECORDED_MICROS: u64 = 60_000_000;
/// The number of significant decimal digits that histograms keep of a duration.
const SIGNIFICANT_DIGITS: u8 = 3;

/// An empty histogram for durations from 1 us to 1 minute.
pub(crate) fn new_histogram() -> Histogram<u64> {
    new_histogram_up_to(MAX_RECORDED_MICROS)
}

/// An empty histogram for durations from 1 us to `max_micros`.
///
/// # Panics
///
/// Panics if `max_micros` is less than 2.
pub(crate) fn new_histogram_up_to(max_micros: u64) -> Histogram<u64> {
    Histogram::new_with_bounds(1, max_micros, SIGNIFICANT_DIGITS).expect("valid bounds")
}

/// The given quantile (0 to 1) of the recorded durations, ms.
pub(crate) fn quantile_ms(micros: &Histogram<u64>, quantile: f64) -> f64 {
    millis(micros.value_at_quantile(quantile))
}

/// Converts microseconds to milliseconds.
pub(crate) fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
