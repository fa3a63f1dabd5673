use super::*;
use crate::test_fixtures::{SECOND, START};

/// Ejects the backend and ends the ejection when it is due; returns how long it lasted.
fn ejection_time(health: &mut BackendHealth, now: Time) -> Micros {
    assert!(health.eject(now, 1.0));
    let until = health.ejected_until.expect("ejected");
    health.end_ejection_if_due(until);
    assert!(!health.is_ejected());
    until - now
}

#[test]
fn ejections_double_up_to_a_limit_until_a_request_is_served() {
    let mut health = BackendHealth::default();
    let lengths = [(); 4].map(|()| ejection_time(&mut health, START).0 / SECOND.0);
    assert_eq!(lengths, [1, 2, 4, 4]);
    health.record_success(START, 0.2);
    assert_eq!(ejection_time(&mut health, START), SECOND);
}

#[test]
fn an_ejection_is_not_extended_while_it_lasts() {
    let mut health = BackendHealth::default();
    assert!(health.eject(START, 1.0));
    assert!(!health.eject(START + Micros(999_999), 1.0));
    health.end_ejection_if_due(START + Micros(999_999));
    assert!(health.is_probably_down());
    health.end_ejection_if_due(START + SECOND);
    assert!(!health.is_probably_down());
}

#[test]
fn errors_and_successes_move_the_error_rate_by_their_weight() {
    let mut health = BackendHealth::default();
    health.record_error(START, 0.2);
    assert_eq!(health.error_rate(), 0.2);
    health.record_success(START, 0.5);
    assert_eq!(health.error_rate(), 0.1);
    health.mark_suspect();
    assert_eq!(health.error_rate(), SUSPECT_ERROR_RATE);
}
