use super::*;
use crate::test_fixtures::{SECOND, START};

const TICK: Micros = Micros(5_000);

/// Wake-ups after the first one, which is due immediately, has been taken.
fn wakeups() -> Wakeups {
    let mut wakeups = Wakeups::new();
    assert!(wakeups.take_due(START));
    wakeups
}

fn timer(token: u64, after: Micros) -> Action {
    let token = TimerToken(token);
    Action::SetTimer { token, after }
}

#[test]
fn a_timer_is_set_only_for_an_earlier_wake_up() {
    let mut wakeups = wakeups();
    assert_eq!(wakeups.arm_timer(START, TICK), None);
    wakeups.wake_by(START + SECOND);
    assert_eq!(wakeups.arm_timer(START, TICK), Some(timer(1, SECOND)));
    wakeups.wake_by(START + SECOND.times(2.0));
    assert_eq!(wakeups.arm_timer(START, TICK), None);
    wakeups.wake_by(START + SECOND.times(0.5));
    assert_eq!(
        wakeups.arm_timer(START, TICK),
        Some(timer(2, SECOND.times(0.5)))
    );
}

#[test]
fn no_timer_is_shorter_than_a_tick() {
    let mut wakeups = wakeups();
    wakeups.wake_by(START);
    assert_eq!(wakeups.arm_timer(START, TICK), Some(timer(1, TICK)));
}

#[test]
fn only_the_newest_timer_is_accepted() {
    let mut wakeups = wakeups();
    for seconds in [2.0, 1.0] {
        wakeups.wake_by(START + SECOND.times(seconds));
        wakeups.arm_timer(START, TICK);
    }
    assert!(!wakeups.accept_timer(TimerToken(1)));
    assert!(wakeups.accept_timer(TimerToken(2)));
    assert!(!wakeups.take_due(START));
    assert!(wakeups.take_due(START + SECOND));
    assert!(
        !wakeups.take_due(START + SECOND),
        "a wake-up is due only once"
    );
}
