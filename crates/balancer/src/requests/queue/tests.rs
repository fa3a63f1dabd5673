use super::*;
use crate::admission::Priority;
use crate::requests::Attempt;
use crate::test_fixtures::*;

const LOW_PRIORITY: (bool, bool) = (true, false);

fn queued(id: u64, arrived_at: Time, density: f64) -> QueuedRequest {
    QueuedRequest::new(RequestId(id), &request(arrived_at), density)
}

fn low_priority_request() -> Request {
    let (is_retry, is_over_quota) = LOW_PRIORITY;
    let mut request = request(START);
    request.weight = weight(is_retry, is_over_quota);
    assert_eq!(request.weight.priority(), Priority::Low);
    request
}

#[test]
fn requests_are_sent_by_density_and_the_newest_first_among_equals() {
    let older = START;
    let newer = START + SECOND;
    let mut waiting = [
        queued(1, older, 1.0),
        queued(2, newer, 1.0),
        queued(3, older, 2.0),
        queued(4, newer, 1.0),
    ];
    waiting.sort_by(QueuedRequest::sending_order);
    let sent = waiting.map(|queued| queued.id.0);
    assert_eq!(sent, [3, 2, 4, 1]);
}

#[test]
fn a_blocked_low_priority_request_does_not_block_normal_priority() {
    let mut queue = RequestQueue::default();
    queue.push(RequestId(1));
    let low_priority = low_priority_request();
    queue.block_up_to_priority_of(&low_priority);
    assert!(!queue.is_empty_or_blocked());
    assert!(queue.is_blocked(&QueuedRequest::new(RequestId(1), &low_priority, 1.0)));
    assert!(!queue.is_blocked(&queued(2, START, 1.0)));
}

#[test]
fn a_blocked_normal_priority_request_blocks_all_first_attempts_until_unblocked() {
    let mut queue = RequestQueue::default();
    queue.push(RequestId(1));
    queue.block_up_to_priority_of(&request(START));
    assert!(queue.is_empty_or_blocked());
    assert!(queue.is_blocked(&queued(1, START, 1.0)));
    let mut retried = low_priority_request();
    retried.attempts.push(Attempt::new(endpoint(1), START));
    assert!(!queue.is_blocked(&QueuedRequest::new(RequestId(2), &retried, 1.0)));
    queue.unblock();
    assert!(!queue.is_empty_or_blocked());
    assert!(!queue.is_blocked(&queued(1, START, 1.0)));
}
