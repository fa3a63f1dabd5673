//! Responses that the host holds back before it believes them.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::test_host::TestHost;
use common::traffic::CLIENT_TIMEOUT;
use std::collections::VecDeque;

const FIRST: AttemptNumber = AttemptNumber(0);
const REQUESTS: usize = 200;

/// How many attempts are sent at one request each 5 ms, if each response comes after 5 ms and is
/// held back for the time of so many requests.
fn dispatched_with_held_responses(held_responses: usize) -> usize {
    let mut host = TestHost::with_endpoints(Config::example(), backends(2));
    let mut dispatched = 0;
    let mut held = VecDeque::new();
    for _ in 0..REQUESTS {
        let request = host.send_request(CLIENT_TIMEOUT);
        host.advance(millis(5));
        dispatched += host.backends_of(request).len();
        host.handle_event(Event::ResponseHeld {
            request,
            attempt: FIRST,
        });
        held.push_back(request);
        if held.len() > held_responses {
            let believed = held.pop_front().expect("held");
            host.end_attempt(believed, 0, Outcome::Success);
        }
    }
    dispatched
}

/// Guards against requests that find no capacity because responses to earlier ones are held back.
#[test]
fn a_backend_whose_responses_are_held_back_gets_as_many_requests_as_if_they_were_not() {
    assert_eq!(dispatched_with_held_responses(0), REQUESTS);
    assert_eq!(dispatched_with_held_responses(20), REQUESTS);
}
