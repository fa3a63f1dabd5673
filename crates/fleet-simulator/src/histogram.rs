//! Histograms of times, in microseconds.

use hdrhistogram::Histogram;

/// The longest time that the histograms of [`new_histogram`] resolve, us.
const MAX_RECORDED_MICROS: u64 = 60_000_000;
/// The significant decimal digits to which histograms resolve a time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// An empty histogram of times from 1 us to a minute.
pub(crate) fn new_histogram() -> Histogram<u64> {
    new_histogram_up_to(MAX_RECORDED_MICROS)
}

/// An empty histogram of times from 1 us to this number of microseconds.
///
/// # Panics
///
/// If `max_micros` is less than 2.
pub(crate) fn new_histogram_up_to(max_micros: u64) -> Histogram<u64> {
    Histogram::new_with_bounds(1, max_micros, SIGNIFICANT_DIGITS).expect("valid bounds")
}

/// The time below which this fraction of the recorded times lies, ms.
pub(crate) fn quantile_ms(micros: &Histogram<u64>, quantile: f64) -> f64 {
    millis(micros.value_at_quantile(quantile))
}

/// Microseconds as milliseconds.
pub(crate) fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
