//! Retries and hedged requests: when a request gets another attempt, and when another attempt is
//! not safe.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::records::Completion;
use common::test_host::TestHost;
use common::traffic::*;

#[test]
fn an_unresponsive_backend_receives_no_new_requests_and_its_requests_are_hedged() {
    let mut host =
        TestHost::with_endpoints(config_with_class(Idempotency::Idempotent), backends(6));
    serve_sequentially(&mut host, 100, |_| millis(10));
    let request = host.send_request(CLIENT_TIMEOUT);
    let unresponsive = host.backends_of(request)[0];
    host.advance(millis(50));
    assert_eq!(
        host.backends_of(request).len(),
        1,
        "hedged a request that may only need much work; such hedges overload every backend"
    );
    host.advance(millis(50));
    let chosen = serve_sequentially(&mut host, 30, |_| millis(5));
    assert!(
        !chosen.contains(&unresponsive),
        "the unresponsive backend still receives requests"
    );
    host.advance(millis(10));
    assert_eq!(
        host.backends_of(request).len(),
        2,
        "the request was not hedged"
    );
    assert_ne!(host.backends_of(request)[1], unresponsive);
}

#[test]
fn without_hedging_an_unresponsive_attempt_is_cancelled_before_the_retry() {
    let config = Config {
        hedging_allowed: false,
        ..config_with_class(Idempotency::Idempotent)
    };
    let mut host = TestHost::with_endpoints(config, backends(6));
    serve_sequentially(&mut host, 100, |_| millis(10));
    let request = host.send_request(CLIENT_TIMEOUT);
    host.advance(millis(150));
    host.advance(millis(20));
    assert_eq!(host.attempt(request, 0).outcome, Some(Outcome::Cancelled));
    assert_eq!(host.backends_of(request).len(), 2);
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_was_not_executed() {
    let mut host =
        TestHost::with_endpoints(config_with_class(Idempotency::NonIdempotent), backends(6));
    serve_sequentially(&mut host, 60, |_| millis(10));
    let maybe_executed = host.send_request(CLIENT_TIMEOUT);
    host.end_attempt(maybe_executed, 0, Outcome::Error);
    assert_eq!(host.completion(maybe_executed), Some(Completion::Failed));
    let not_executed = host.send_request(CLIENT_TIMEOUT);
    host.end_attempt(not_executed, 0, Outcome::ConnectFailed);
    assert_eq!(host.backends_of(not_executed).len(), 2);
}

#[test]
fn a_retry_with_an_idempotency_key_stays_within_its_scope_and_window() {
    let key = Idempotency::IdempotencyKey {
        scope: KeyScope::Zone,
        window: millis(200),
    };
    let mut host = TestHost::with_endpoints(config_with_class(key), backends_across_zones(6, 2));
    serve_sequentially(&mut host, 60, |_| millis(10));
    let in_window = host.send_request(CLIENT_TIMEOUT);
    host.end_attempt(in_window, 0, Outcome::Error);
    let used = host.backends_of(in_window);
    assert!(used.len() == 2 && used[0] % 2 == used[1] % 2, "{used:?}");
    let after_window = host.send_request(CLIENT_TIMEOUT);
    host.advance(millis(210));
    let attempts = host.backends_of(after_window).len();
    for attempt in 0..attempts {
        host.end_attempt(after_window, attempt, Outcome::Error);
    }
    assert_eq!(
        host.backends_of(after_window).len(),
        attempts,
        "retried after the window of the idempotency key"
    );
    assert_eq!(host.completion(after_window), Some(Completion::Failed));
}

#[test]
fn a_request_whose_response_streams_is_neither_retried_nor_timed_out() {
    let mut host =
        TestHost::with_endpoints(config_with_class(Idempotency::Idempotent), backends(2));
    let request = host.send_request(millis(300));
    host.start_stream(request, 0);
    host.advance(seconds(2));
    assert_eq!(host.completion(request), None);
    assert_eq!(host.backends_of(request).len(), 1);
}
