use super::*;
use crate::Micros;

const START: Time = Time(1_000_000);
/// Largest difference from an expected value that counts as a rounding error.
const TOLERANCE: f64 = 1e-9;

fn millis_after_start(millis: u64) -> Time {
    START + Micros(millis * 1_000)
}

fn assert_near(actual: f64, expected: f64) {
    let difference = (actual - expected).abs();
    assert!(difference < TOLERANCE, "{actual}, expected {expected}");
}

#[test]
fn a_running_mean_is_unknown_before_the_first_sample() {
    let mut mean = RunningMean::default();
    assert_eq!(mean.get(), None);
    mean.add(3.0);
    assert_eq!(mean.get(), Some(3.0));
}

#[test]
fn a_running_mean_weights_its_first_samples_equally() {
    let mut mean = RunningMean::default();
    for sample in [1.0, 2.0, 6.0] {
        mean.add(sample);
    }
    assert_eq!(mean.count(), 3.0);
    assert_near(mean.value(), 3.0);
}

#[test]
fn a_full_running_mean_moves_by_a_hundredth_of_the_difference() {
    let mut mean = RunningMean::default();
    for _ in 0..250 {
        mean.add(1.0);
    }
    assert_eq!(mean.count(), SAMPLE_MEMORY);
    mean.add(2.0);
    assert_near(mean.value(), 1.01);
}

#[test]
fn a_fraction_moves_by_a_hundredth_of_the_difference() {
    let mut fraction = 0.5;
    update_fraction(&mut fraction, true);
    assert_near(fraction, 0.505);
    update_fraction(&mut fraction, false);
    assert_near(fraction, 0.505 * 0.99);
}

#[test]
fn a_rate_is_unknown_until_a_tenth_of_a_second_has_been_observed() {
    let mut rate = RateEstimator::default();
    rate.add(START, 1.0);
    assert_eq!(rate.per_s(), None);
    rate.add(millis_after_start(100), 1.0);
    assert_eq!(
        rate.per_s(),
        None,
        "older time counts less, so less than 0.1 s has been observed"
    );
    rate.add(millis_after_start(110), 1.0);
    assert!(rate.per_s().is_some());
}

#[test]
fn a_rate_approaches_the_number_of_events_per_second() {
    let mut rate = RateEstimator::default();
    for step in 0..2_000 {
        rate.add(millis_after_start(step * 10), 0.5);
    }
    let per_s = rate.per_s().expect("a known rate");
    assert!((per_s - 50.0).abs() < 0.5, "{per_s}");
}

#[test]
fn a_rate_decays_exponentially_without_events() {
    let mut rate = RateEstimator::default();
    for step in 0..2_000 {
        rate.add(millis_after_start(step * 10), 0.5);
    }
    let before = rate.per_s().expect("a known rate");
    let last_event = 19_990;
    let memory = 2_000;
    rate.add(millis_after_start(last_event + memory), 0.0);
    let after = rate.per_s().expect("a known rate");
    let expected = before * (-1.0_f64).exp();
    assert!((after - expected).abs() < 0.01, "{after}, {expected}");
}

#[test]
fn a_time_weighted_mean_weights_each_count_by_its_duration() {
    let mut mean = TimeWeightedMean::default();
    mean.advance(START, 0.0);
    mean.advance(millis_after_start(1_000), 10.0);
    let after_one_second = 10.0 * (1.0 - (-1.0_f64).exp());
    assert_near(mean.value(), after_one_second);
    mean.advance(millis_after_start(1_000), 1_000.0);
    assert_near(mean.value(), after_one_second);
}
