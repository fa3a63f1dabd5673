//! A request is offered to the backends before it is judged by the latency that is to be expected.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::records::Completion;
use common::test_host::TestHost;
use common::traffic::CLIENT_TIMEOUT;

/// An objective of which even a quarter, the latency that is assumed before the first response, is
/// longer than clients wait.
const LONG_OBJECTIVE: Micros = seconds(60);
/// For so long the process gets no processor time.
const HOLD_UP: Micros = seconds(1);

/// A host whose requests have a long objective. A check of the requests is due.
fn held_up_host() -> TestHost {
    let mut config = Config::example();
    for class in &mut config.classes {
        class.latency_objective = LONG_OBJECTIVE;
    }
    let mut host = TestHost::with_endpoints(config, backends(2));
    let request = host.send_request(CLIENT_TIMEOUT);
    host.end_attempt(request, 0, Outcome::Error);
    host.advance(millis(1));
    host.now = host.now + HOLD_UP;
    host
}

/// On a loaded machine a request could arrive when a check of the requests was overdue. It was
/// judged by that check before any backend had been considered, and rejected at once.
#[test]
fn a_request_that_arrives_when_a_check_is_overdue_is_offered_first() {
    let mut host = held_up_host();
    let request = host.send_request(CLIENT_TIMEOUT);
    assert_eq!(host.backends_of(request).len(), 1);
}

/// The same happened to a request whose attempt was rejected: it was not offered to the other
/// backend.
#[test]
fn a_request_whose_attempt_is_rejected_when_a_check_is_overdue_is_offered_again_first() {
    let mut host = held_up_host();
    let request = host.send_request(CLIENT_TIMEOUT);
    host.advance(millis(1));
    host.now = host.now + millis(400);
    host.end_attempt(request, 0, Outcome::Rejected);
    assert_eq!(host.backends_of(request).len(), 2);
}

/// Nothing is known of the latency of a class before its first response, so that a quarter of its
/// objective is assumed, which may be more time than the client has left. A waiting request was
/// rejected for that at the first check, 20 ms after it came.
#[test]
fn a_waiting_request_of_a_class_without_a_response_is_not_judged_by_a_longer_objective() {
    let mut config = config_with_classes(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::Idempotent),
    ]);
    config.classes[1].latency_objective = LONG_OBJECTIVE;
    let mut host = TestHost::with_endpoints(config, backends(2));
    let served = host.send_request_of_class(0, CLIENT_TIMEOUT);
    host.advance(millis(10));
    host.end_attempt(served, 0, Outcome::Success);
    host.update_endpoints(EndpointUpdate::Snapshot, draining_backends());
    let request = host.send_request_of_class(1, CLIENT_TIMEOUT);
    host.advance(millis(400));
    assert_eq!(host.completion(request), None);
    host.update_endpoints(EndpointUpdate::Snapshot, backends(2));
    assert_eq!(host.backends_of(request).len(), 1);
}

/// A check that was overdue rejected a waiting request in the very event that made a backend
/// available.
#[test]
fn a_waiting_request_is_offered_to_a_backend_that_is_ready_before_an_overdue_check_judges_it() {
    let mut host = held_up_host();
    host.update_endpoints(EndpointUpdate::Snapshot, draining_backends());
    let request = host.send_request(CLIENT_TIMEOUT);
    host.now = host.now + millis(850);
    host.update_endpoints(EndpointUpdate::Snapshot, backends(2));
    assert_eq!(host.backends_of(request).len(), 1);
}

#[test]
fn a_request_whose_deadline_is_over_is_rejected_without_an_offer() {
    let mut host = held_up_host();
    let request = host.send_request(Micros(0));
    assert!(host.backends_of(request).is_empty());
    assert_eq!(host.completion(request), Some(Completion::Rejected));
    host.update_endpoints(EndpointUpdate::Snapshot, draining_backends());
    let waiting = host.send_request(CLIENT_TIMEOUT);
    host.now = host.now + CLIENT_TIMEOUT;
    host.update_endpoints(EndpointUpdate::Snapshot, backends(2));
    assert!(host.backends_of(waiting).is_empty());
    assert_eq!(host.completion(waiting), Some(Completion::Rejected));
}

/// Two backends that accept no request.
fn draining_backends() -> Vec<Endpoint> {
    let drain = |endpoint| Endpoint {
        state: BackendState::Draining,
        ..endpoint
    };
    backends(2).into_iter().map(drain).collect()
}
