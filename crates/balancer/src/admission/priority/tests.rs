use super::*;
use crate::test_fixtures::weight;
use crate::Micros;

const TOLERANCE: f64 = 1e-9;

/// A configuration with two classes. The second has three times the priority weight of the first.
fn two_classes() -> Config {
    let mut config = Config::example();
    let mut second = config.classes[0].clone();
    second.priority_weight = 3.0;
    config.classes.push(second);
    config
}

/// A mix in which both classes arrive equally often and only the second is served on time.
fn mix_with_a_worst_class() -> TrafficMix {
    let mut mix = TrafficMix::new(2);
    for _ in 0..2_000 {
        for (class, timeliness) in [
            (ClassId(0), Timeliness::Missed),
            (ClassId(1), Timeliness::OnTime),
        ] {
            mix.record_arrival(class);
            mix.record_final_response(class, timeliness);
        }
    }
    mix
}

#[test]
fn weights_of_retries_and_of_requests_over_quota_multiply() {
    let config = Config::example();
    assert_eq!(weight(false, false).value(), 1.0);
    assert_eq!(weight(true, false).value(), MIN_RETRY_WEIGHT);
    assert_eq!(weight(false, true).value(), config.over_quota_weight);
    let both = MIN_RETRY_WEIGHT * config.over_quota_weight;
    assert_eq!(weight(true, true).value(), both);
}

#[test]
fn only_low_priority_weights_have_an_upper_bound() {
    assert_eq!(weight(false, false).low_priority_limit(), None);
    assert_eq!(
        weight(true, false).low_priority_limit(),
        Some(LOW_PRIORITY_WEIGHT)
    );
}

#[test]
fn densities_are_proportional_to_the_priority_weights() {
    let config = two_classes();
    let latencies = LatencyEstimates::new(&config);
    let densities = mix_with_a_worst_class().densities(&config, &latencies);
    assert!((densities[1] / densities[0] - 3.0).abs() < TOLERANCE);
}

#[test]
fn the_worst_class_goal_raises_the_density_of_the_worst_served_class_only() {
    let mut config = two_classes();
    let latencies = LatencyEstimates::new(&config);
    let mix = mix_with_a_worst_class();
    let without_goal = mix.densities(&config, &latencies);
    config.worst_class_goal_weight = 1.0;
    let with_goal = mix.densities(&config, &latencies);
    assert!(with_goal[0] > with_goal[1]);
    assert_eq!(with_goal[1], without_goal[1]);
}

#[test]
fn a_class_with_twice_the_work_has_half_the_density() {
    let config = two_classes();
    let mix = mix_with_a_worst_class();
    let mut latencies = LatencyEstimates::new(&config);
    let before = mix.densities(&config, &latencies);
    latencies.record(ClassId(0), Micros(20_000));
    latencies.record(ClassId(1), Micros(10_000));
    let after = mix.densities(&config, &latencies);
    let change = (after[0] / after[1]) / (before[0] / before[1]);
    assert!((change - 0.5).abs() < TOLERANCE);
}
