use super::*;
use crate::test_fixtures::{endpoint, SECOND, START};

fn backend_with(concurrency_limit: f64, slow_start_quota: f64) -> Backend {
    let mut backend = Backend::default();
    backend.update_endpoint(endpoint(1));
    backend.set_readiness(1.0);
    backend.allocate(&Allocation {
        concurrency_limit,
        slow_start_quota,
        local_share: 0.5,
        planned_share: 0.5,
    });
    backend
}

#[test]
fn half_of_the_concurrency_limit_is_reserved_for_normal_priority() {
    let mut backend = backend_with(3.0, f64::INFINITY);
    for (in_flight, low_priority_allowed) in [(0, true), (1, true), (2, false)] {
        assert!(
            backend.has_free_concurrency(Priority::Normal),
            "{in_flight}"
        );
        assert_eq!(
            backend.has_free_concurrency(Priority::Low),
            low_priority_allowed
        );
        backend.record_dispatch(START, 1.0, SECOND);
    }
    assert!(!backend.has_free_concurrency(Priority::Normal));
    backend.record_attempt_end();
    assert!(backend.has_free_concurrency(Priority::Normal));
}

#[test]
fn work_counts_against_the_slow_start_quota_until_the_window_has_passed() {
    let mut backend = backend_with(9.0, 2.0);
    assert!(
        backend.is_within_slow_start_quota(START, SECOND, 5.0),
        "a single heavy request is allowed"
    );
    backend.record_dispatch(START, 1.5, SECOND);
    assert!(backend.is_within_slow_start_quota(START, SECOND, 0.5));
    assert!(!backend.is_within_slow_start_quota(START, SECOND, 1.0));
    assert!(backend.is_within_slow_start_quota(START + SECOND, SECOND, 1.0));
}

#[test]
fn a_restart_resets_all_but_the_attempts_in_flight_and_the_recent_work() {
    let mut backend = backend_with(9.0, 2.0);
    backend.record_dispatch(START, 2.0, SECOND);
    backend.health_mut().eject(START, 1.0);
    let restarted = Endpoint {
        started_at: Some(START),
        ..endpoint(1)
    };
    assert!(backend.update_endpoint(restarted));
    assert!(!backend.health().is_ejected());
    assert_eq!(backend.local_share(), 0.0);
    assert_eq!(backend.work_since(START, SECOND), 2.0);
    backend.mark_removed();
    assert!(!backend.is_gone(), "an attempt is still in flight");
    backend.record_attempt_end();
    assert!(backend.is_gone());
}

#[test]
fn a_new_weight_alone_does_not_count_as_a_change_of_the_endpoint() {
    let mut backend = backend_with(1.0, f64::INFINITY);
    let heavier = Endpoint {
        weight: 2.0,
        ..endpoint(1)
    };
    assert!(!backend.update_endpoint(heavier));
    assert_eq!(backend.endpoint().weight, 2.0);
}
