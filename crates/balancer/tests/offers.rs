//! A request is offered to the backends before a check of the requests may reject it.
//!
//! A periodic check rejects each waiting request that, with its expected latency, can no longer be
//! answered in time. After a pause of the process, that check is overdue.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::records::Completion;
use common::test_host::TestHost;
use common::traffic::CLIENT_TIMEOUT;

/// A long latency objective. Before the first response, a quarter of the objective is assumed as
/// the latency. That is longer than clients wait.
const LONG_OBJECTIVE: Micros = seconds(60);
/// How long the process gets no processor time.
const PAUSE: Micros = seconds(1);

/// A host whose requests have a long objective and whose process was paused, so that a check of the
/// requests is overdue.
fn paused_host() -> TestHost {
    let mut config = Config::example();
    for class in &mut config.classes {
        class.latency_objective = LONG_OBJECTIVE;
    }
    let mut host = TestHost::with_endpoints(config, backends(2));
    let request = host.send_request(CLIENT_TIMEOUT);
    host.end_attempt(request, 0, Outcome::Error);
    host.advance(millis(1));
    host.now = host.now + PAUSE;
    host
}

#[test]
fn a_request_that_arrives_when_a_check_is_overdue_is_dispatched() {
    // On a loaded machine a request could arrive when a check of the requests was overdue. The
    // check rejected it immediately, before any backend had been considered for it.
    let mut host = paused_host();
    let request = host.send_request(CLIENT_TIMEOUT);
    assert_eq!(host.backends_of(request).len(), 1);
}

#[test]
fn a_request_whose_attempt_is_rejected_when_a_check_is_overdue_is_retried() {
    // An overdue check also rejected a request whose attempt had been rejected by a backend, before
    // the other backend had been considered for it.
    let mut host = paused_host();
    let request = host.send_request(CLIENT_TIMEOUT);
    host.advance(millis(1));
    host.now = host.now + millis(400);
    host.end_attempt(request, 0, Outcome::Rejected);
    assert_eq!(host.backends_of(request).len(), 2);
}

#[test]
fn a_waiting_request_is_not_rejected_because_of_a_latency_that_is_only_assumed() {
    // The latency of a class is unknown before its first response. A quarter of its objective is
    // assumed, which may be longer than the client will wait. A waiting request was rejected for
    // that reason at the first check, 20 ms after its arrival.
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

#[test]
fn a_waiting_request_is_dispatched_if_a_backend_becomes_ready_when_a_check_is_overdue() {
    // An overdue check rejected a waiting request during the same event that made a backend
    // available.
    let mut host = paused_host();
    host.update_endpoints(EndpointUpdate::Snapshot, draining_backends());
    let request = host.send_request(CLIENT_TIMEOUT);
    host.now = host.now + millis(850);
    host.update_endpoints(EndpointUpdate::Snapshot, backends(2));
    assert_eq!(host.backends_of(request).len(), 1);
}

#[test]
fn a_request_whose_deadline_has_passed_is_rejected_without_a_dispatch() {
    // Guards against an offer that ignores the deadline because it precedes the check: both for a
    // request that arrives without time left, and for one whose deadline passes while it waits.
    let mut host = paused_host();
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

/// Two draining backends.
fn draining_backends() -> Vec<Endpoint> {
    let drain = |endpoint| Endpoint {
        state: BackendState::Draining,
        ..endpoint
    };
    backends(2).into_iter().map(drain).collect()
}
