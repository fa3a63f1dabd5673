use super::*;

const BACKENDS: usize = 100;
const START: Time = Time(1_000_000);

fn seconds_after_start(seconds: u64) -> Time {
    START + Micros(seconds * 1_000_000)
}

/// A limit that was reduced at [`START`] to half of `idle_connections` and reported to the host.
fn reduced_from(idle_connections: u32) -> IdleConnectionLimit {
    let mut limit = IdleConnectionLimit::default();
    limit.on_connection_rejected(START, idle_connections);
    assert_eq!(limit.take_change(), Some(idle_connections / 2));
    limit
}

#[test]
fn there_is_no_limit_before_a_rejection() {
    let mut limit = IdleConnectionLimit::default();
    limit.grow(START, BACKENDS);
    assert_eq!(limit.take_change(), None);
}

#[test]
fn a_limit_is_reported_to_the_host_once() {
    let mut limit = reduced_from(40);
    assert_eq!(limit.take_change(), None);
}

#[test]
fn a_rejection_right_after_a_reduction_is_ignored() {
    let mut limit = reduced_from(40);
    let just_before = Time(START.0 + MIN_REDUCTION_INTERVAL.0 - 1);
    limit.on_connection_rejected(just_before, 40);
    assert_eq!(limit.take_change(), None);
    limit.on_connection_rejected(START + MIN_REDUCTION_INTERVAL, 40);
    assert_eq!(limit.take_change(), Some(10));
}

#[test]
fn fewer_idle_connections_than_the_limit_are_halved() {
    let mut limit = reduced_from(40);
    limit.on_connection_rejected(seconds_after_start(1), 6);
    assert_eq!(limit.take_change(), Some(3));
}

#[test]
fn the_limit_grows_per_second_by_half_a_connection_and_a_twentieth_of_itself() {
    let mut limit = reduced_from(40);
    limit.grow(seconds_after_start(2), BACKENDS);
    assert_eq!(limit.take_change(), Some(23));
}

#[test]
fn the_limit_is_lifted_once_it_exceeds_the_number_of_backends() {
    let mut limit = reduced_from(40);
    limit.grow(seconds_after_start(2), 22);
    assert_eq!(limit.take_change(), Some(UNLIMITED));
}
