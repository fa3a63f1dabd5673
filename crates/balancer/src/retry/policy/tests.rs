use super::*;
use crate::test_fixtures::*;
use crate::{CellId, Micros, ZoneId};

const WINDOW: Micros = Micros(400_000);

fn config(idempotency: Idempotency) -> Config {
    let mut config = Config::example();
    config.classes[0].idempotency = idempotency;
    config
}

fn with_key(scope: KeyScope) -> Config {
    config(Idempotency::IdempotencyKey {
        scope,
        window: WINDOW,
    })
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_was_not_executed() {
    let config = config(Idempotency::NonIdempotent);
    let mut request = tried_request(START, &[1]);
    let policy = RetryPolicy::new(&config, &request);
    assert!(!policy.allows_attempt(START));
    assert!(!policy.is_client_retry_safe());
    assert!(!policy.allows_replacement());
    request.attempts[0].not_executed = true;
    let policy = RetryPolicy::new(&config, &request);
    assert!(policy.allows_attempt(START));
    assert!(policy.is_client_retry_safe());
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_window() {
    let config = with_key(KeyScope::All);
    let request = tried_request(START, &[1]);
    let policy = RetryPolicy::new(&config, &request);
    let window_end = START + WINDOW;
    let last_tick = Time(window_end.0 - config.tick.0);
    assert!(policy.allows_attempt(Time(last_tick.0 - 1)));
    assert!(!policy.allows_attempt(last_tick));
}

#[test]
fn an_attempt_is_sent_within_the_key_window_of_the_first_attempt_that_may_have_run() {
    let config = with_key(KeyScope::All);
    let mut request = tried_request(START, &[1, 2]);
    request.attempts[1].sent_at = START + SECOND;
    let policy = RetryPolicy::new(&config, &request);
    assert_eq!(policy.send_by(), Some(START + WINDOW));
    request.attempts[0].not_executed = true;
    let policy = RetryPolicy::new(&config, &request);
    assert_eq!(policy.send_by(), None);
}

#[test]
fn a_retry_stays_within_the_scope_of_its_idempotency_key() {
    let same = endpoint(2);
    let other_cell = Endpoint {
        cell: CellId(1),
        ..endpoint(3)
    };
    let other_zone = Endpoint {
        zone: ZoneId(1),
        ..endpoint(4)
    };
    let request = tried_request(START, &[1]);
    for (scope, cell_allowed, zone_allowed) in [
        (KeyScope::All, true, true),
        (KeyScope::Zone, true, false),
        (KeyScope::Cell, false, true),
    ] {
        let config = with_key(scope);
        let policy = RetryPolicy::new(&config, &request);
        assert!(policy.allows_backend(&same));
        assert!(!policy.allows_backend(&endpoint(1)), "already tried");
        assert_eq!(policy.allows_backend(&other_cell), cell_allowed);
        assert_eq!(policy.allows_backend(&other_zone), zone_allowed);
        assert_eq!(policy.is_client_retry_safe(), scope == KeyScope::All);
    }
}

#[test]
fn the_number_of_attempts_and_hedging_are_limited_by_the_configuration() {
    let mut config = config(Idempotency::Idempotent);
    let mut request = tried_request(START, &[1, 2]);
    assert!(RetryPolicy::new(&config, &request).allows_attempt(START));
    request.attempts[1].in_flight = true;
    assert!(RetryPolicy::new(&config, &request).allows_attempt(START));
    config.hedging_allowed = false;
    assert!(!RetryPolicy::new(&config, &request).allows_attempt(START));
    let exhausted = tried_request(START, &[1, 2, 3]);
    assert!(!RetryPolicy::new(&config, &exhausted).allows_attempt(START));
}
