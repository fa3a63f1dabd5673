use super::*;
use crate::test_fixtures::{SECOND, START};

#[test]
fn log_events_beyond_two_per_second_are_dropped() {
    let mut outbox = Outbox::default();
    for tenth in 0..10 {
        let now = START + SECOND.times(f64::from(tenth) / 10.0);
        outbox.log(now, LogEvent::WatchFailed);
    }
    let mut actions = Vec::new();
    outbox.drain_into(&mut actions);
    assert_eq!(actions, [const { Action::Log(LogEvent::WatchFailed) }; 2]);
    outbox.drain_into(&mut actions);
    assert_eq!(actions.len(), 2, "each action is returned only once");
}
