use super::*;
use crate::test_fixtures::*;
use crate::{Micros, Outcome};

const REQUEST: RequestId = RequestId(1);
const FIRST: AttemptNumber = AttemptNumber(0);

fn table_with_one_attempt() -> RequestTable {
    let mut table = RequestTable::default();
    table.insert(REQUEST, request(START));
    table.record_dispatch(START, REQUEST, &endpoint(7));
    table
}

fn end(outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        request: REQUEST,
        attempt: FIRST,
        outcome,
        latency: Micros(10_000),
        settled: false,
    }
}

#[test]
fn an_attempt_stays_in_flight_after_its_request_is_closed() {
    let mut table = table_with_one_attempt();
    table.remove(REQUEST);
    assert!(!table.contains(REQUEST));
    assert_eq!(table.in_flight().count(), 1);
    let end = end(Outcome::Success);
    let attempt = table.take_in_flight(&end).expect("in flight");
    assert_eq!(attempt.backend, BackendId(7));
    assert!(table.record_attempt_end(&end).is_none());
    assert!(
        table.take_in_flight(&end).is_none(),
        "the attempt can end only once"
    );
}

#[test]
fn only_an_attempt_that_may_have_been_executed_needs_retry_budget() {
    for (outcome, needs_budget) in [(Outcome::Rejected, false), (Outcome::Reset, true)] {
        let mut table = table_with_one_attempt();
        let request = table.record_attempt_end(&end(outcome)).expect("open");
        assert!(!request.is_in_flight());
        assert_eq!(request.needs_retry_budget(), needs_budget, "{outcome:?}");
    }
}

#[test]
fn only_an_attempt_in_flight_can_stream() {
    let mut table = table_with_one_attempt();
    table.record_stream(REQUEST, AttemptNumber(1));
    assert!(!table.get(REQUEST).expect("open").streaming);
    table.record_stream(REQUEST, FIRST);
    assert!(table.get(REQUEST).expect("open").streaming);
}

/// Guards against a backend that counts as loaded by requests whose responses the host holds back.
#[test]
fn an_attempt_whose_response_is_held_back_is_in_flight_but_not_in_progress() {
    let mut table = table_with_one_attempt();
    assert_eq!(table.in_progress().count(), 1);
    assert_eq!(table.record_held(REQUEST, FIRST), Some(BackendId(7)));
    assert_eq!(table.record_held(REQUEST, FIRST), None, "held back before");
    assert_eq!(table.in_progress().count(), 0);
    assert!(table.get(REQUEST).expect("open").is_in_flight());
    let attempt = table.take_in_flight(&end(Outcome::Success));
    assert!(attempt.expect("in flight").is_held);
}
