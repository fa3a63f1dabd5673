use super::*;

fn queue(timers: &[(u64, u64)]) -> TimerQueue {
    let mut queue = TimerQueue::default();
    for (expires_at, token) in timers {
        queue.set(Time(*expires_at), TimerToken(*token));
    }
    queue
}

#[test]
fn timers_expire_in_the_order_of_their_times_and_tokens() {
    let mut queue = queue(&[(30, 1), (10, 4), (20, 3), (10, 2)]);
    assert_eq!(queue.next_expiry(), Some(Time(10)));
    let mut expired = Vec::new();
    while let Some(TimerToken(token)) = queue.pop_expired(Time(20)) {
        expired.push(token);
    }
    assert_eq!(expired, [2, 4, 3]);
    assert_eq!(queue.next_expiry(), Some(Time(30)));
}

#[test]
fn a_timer_expires_at_its_time_and_not_before() {
    let mut queue = queue(&[(10, 1)]);
    assert_eq!(queue.pop_expired(Time(9)), None);
    assert_eq!(queue.pop_expired(Time(10)), Some(TimerToken(1)));
    assert_eq!(queue.pop_expired(Time(10)), None);
}

#[test]
fn a_cleared_queue_has_no_timers() {
    let mut queue = queue(&[(10, 1), (20, 2)]);
    queue.clear();
    assert_eq!(queue.next_expiry(), None);
    assert_eq!(queue.pop_expired(Time(30)), None);
}
