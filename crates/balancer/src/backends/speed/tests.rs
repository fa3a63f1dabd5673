use super::*;

const TOLERANCE: f64 = 1e-9;

fn estimate_with_latency(seconds: f64) -> SpeedEstimate {
    let mut estimate = SpeedEstimate::default();
    for _ in 0..100 {
        estimate.record_latency(seconds);
    }
    estimate
}

#[test]
fn the_speed_is_the_inverse_of_the_latency_plus_the_flow() {
    let mut estimate = estimate_with_latency(0.1);
    assert_eq!(estimate.safe_speed(), Some(0.0));
    estimate.update_speed(10.0, 30.0);
    assert!((estimate.speed() - 40.0).abs() < TOLERANCE, "1 / 0.1 + 30");
    let safe_speed = estimate.safe_speed().expect("responses");
    assert!((safe_speed - 40.0).abs() < TOLERANCE, "below (1 + 4) / 0.1");
}

#[test]
fn the_safe_speed_is_capped_by_the_latency() {
    let mut estimate = estimate_with_latency(0.1);
    estimate.update_speed(10.0, 90.0);
    let safe_speed = estimate.safe_speed().expect("responses");
    assert!((safe_speed - 50.0).abs() < TOLERANCE, "(1 + 4) / 0.1");
}

#[test]
fn the_rise_limited_speed_rises_slowly() {
    let mut estimate = estimate_with_latency(0.2);
    estimate.update_speed(10.0, 5.0);
    estimate.update_speed(1.0, 500.0);
    let risen = estimate.safe_speed().expect("responses");
    assert!((risen - 10.0 * (1.0 + MAX_RISE_PER_SECOND)).abs() < TOLERANCE);
}

#[test]
fn the_baseline_latency_falls_immediately_and_rises_slowly() {
    let mut estimate = SpeedEstimate::default();
    estimate.update_baseline(1.0, 0.3);
    assert_eq!(estimate.baseline_latency(), Some(0.3));
    estimate.record_latency(0.1);
    estimate.update_baseline(1.0, 0.3);
    assert_eq!(estimate.baseline_latency(), Some(0.1));
    for _ in 0..1_000 {
        estimate.record_latency(0.2);
    }
    estimate.update_baseline(1.0, 0.3);
    let risen = 0.1 * (1.0 + MAX_RISE_PER_SECOND);
    assert_eq!(estimate.baseline_latency(), Some(risen));
}

#[test]
fn a_late_response_is_clipped_to_three_times_the_mean_latency() {
    let mut estimate = estimate_with_latency(0.1);
    estimate.record_latency(60.0);
    let mean = estimate.latency.get().expect("responses");
    assert!((mean - 0.102).abs() < TOLERANCE, "{mean}");
}

#[test]
fn an_assumed_speed_does_not_replace_a_known_speed() {
    let mut estimate = SpeedEstimate::default();
    estimate.assume_speed(7.0);
    estimate.assume_speed(8.0);
    assert_eq!(estimate.speed(), 7.0);
    assert_eq!(estimate.safe_speed(), None);
}
