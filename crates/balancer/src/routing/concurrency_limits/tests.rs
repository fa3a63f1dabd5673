use super::*;
use crate::test_fixtures::{SECOND, START};

/// The limits of a proxy whose part of the target is 16 attempts: 4 attempts on each of 100 ready
/// backends, divided by 25 proxies.
fn limits() -> ConcurrencyLimits {
    let mut limits = ConcurrencyLimits::new();
    limits.update(100.0, Peers { per_backend: 25.0 });
    limits
}

#[test]
fn the_momentary_limit_exceeds_the_target_by_one_and_a_half_deviations_plus_one() {
    // 16 + 1.5 x 4 + 1 = 23. Low-priority requests may take half of that.
    let limits = limits();
    assert!(limits.allow(22.0, Priority::Normal));
    assert!(!limits.allow(23.0, Priority::Normal));
    assert!(limits.allow(11.0, Priority::Low));
    assert!(!limits.allow(12.0, Priority::Low));
}

#[test]
fn the_sustained_limit_applies_once_the_recent_mean_exceeds_it() {
    let mut limits = ConcurrencyLimits::new();
    // The part of the target is about 4 attempts: the momentary limit is 4 + 1.5 x 2 + 1 = 8, the
    // sustained limit 1.5 x 4 = 6.
    limits.update(4.0, Peers { per_backend: 4.1 });
    let own_concurrency = 4.0 / 4.1 * 4.0;
    assert!(limits.allow(own_concurrency * SUSTAINED_LIMIT_FACTOR, Priority::Normal));
    limits.record_in_flight(START, 7.0);
    limits.record_in_flight(START + SECOND.times(10.0), 7.0);
    assert!(!limits.allow(own_concurrency * SUSTAINED_LIMIT_FACTOR, Priority::Normal));
    assert!(limits.allow(5.0, Priority::Normal));
}

#[test]
fn no_attempt_is_allowed_before_the_first_update() {
    assert!(!ConcurrencyLimits::new().allow(0.0, Priority::Normal));
}
