use super::*;
use crate::test_fixtures::*;

const TYPICAL: Micros = Micros(100_000);

fn after(millis: u64) -> Time {
    START + Micros(millis * 1_000)
}

#[test]
fn a_waiting_request_is_overdue_once_it_cannot_meet_its_objective() {
    let config = Config::example();
    let request = request(START);
    assert!(!is_overdue(after(399), &config, &request, TYPICAL));
    assert!(is_overdue(after(400), &config, &request, TYPICAL));
}

#[test]
fn a_request_in_flight_is_overdue_a_tick_before_its_deadline() {
    let config = Config::example();
    let mut request = tried_request(START, &[1]);
    request.attempts[0].in_flight = true;
    assert!(!is_overdue(after(994), &config, &request, TYPICAL));
    assert!(is_overdue(after(995), &config, &request, TYPICAL));
}

#[test]
fn a_sent_request_with_a_late_weight_is_overdue_by_its_deadline_not_its_objective() {
    let mut config = Config::example();
    config.classes[0].late_weight = 0.5;
    let sent = tried_request(START, &[1]);
    assert!(!is_overdue(after(899), &config, &sent, TYPICAL));
    assert!(is_overdue(after(900), &config, &sent, TYPICAL));
    assert!(is_overdue(after(400), &config, &request(START), TYPICAL));
}

#[test]
fn a_waiting_request_is_checked_every_four_ticks() {
    let config = Config::example();
    assert_eq!(next_check(START, &config, &request(START)), after(20));
    assert_eq!(next_check(after(990), &config, &request(START)), after(995));
}
