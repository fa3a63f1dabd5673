use super::*;
use crate::connection_reuse::{BehindResponse, SuccessfulResponse};
use crate::ClassId;

const START: Time = Time(50_000_000);

fn millis(millis: u64) -> Micros {
    Micros(millis * 1_000)
}

fn process(backend: u64) -> BackendProcess {
    BackendProcess {
        backend: BackendId(backend),
        started_at: None,
    }
}

/// A success of the process, with a body of this length.
fn success_of(process: BackendProcess, body_bytes: usize) -> ResponseArrival {
    ResponseArrival {
        process,
        body_bytes,
        rest: None,
        preceded_request: false,
        behind: BehindResponse::Nothing,
        announces_close: false,
        is_as_announced: true,
        success: Some(SuccessfulResponse {
            class: ClassId(0),
            fingerprint: 1,
        }),
        previous_success: None,
        since_previous: Micros(0),
    }
}

/// For how long a success with a body is held back.
fn wait(late_bytes: &mut LateBytes, now: Time, process: BackendProcess) -> Option<Micros> {
    let hold = late_bytes.hold(now, &success_of(process, 10));
    hold.map(|hold| hold.wait)
}

/// Late bytes of 20 ms from one process, seen once.
fn late_from(process: BackendProcess) -> LateBytes {
    let mut late_bytes = LateBytes::default();
    late_bytes.record(START, process, millis(20));
    late_bytes
}

/// Guards against responses that wait although nothing is in doubt.
#[test]
fn a_response_with_a_body_is_not_held_back_if_no_bytes_came_late() {
    assert_eq!(wait(&mut LateBytes::default(), START, process(1)), None);
}

/// Guards against a response that is forwarded without its body, which comes late (review case 6).
#[test]
fn a_success_without_a_body_is_held_back_for_200_ms() {
    let hold = LateBytes::default().hold(START, &success_of(process(1), 0));
    let expected = ResponseHold {
        wait: millis(200),
        min_wait: millis(200),
    };
    assert_eq!(hold, Some(expected));
}

#[test]
fn a_response_without_a_body_that_is_no_success_is_not_held_back() {
    let rejection = ResponseArrival {
        success: None,
        ..success_of(process(1), 0)
    };
    assert_eq!(LateBytes::default().hold(START, &rejection), None);
}

/// Guards against a rest of a body that is forgotten as soon as it was seen (class of review case
/// 6).
#[test]
fn responses_are_held_back_for_twice_the_longest_lag() {
    for (lag, expected) in [(2, 10), (5, 10), (20, 40), (150, 300), (500, 800)] {
        let mut late_bytes = LateBytes::default();
        late_bytes.record(START, process(1), millis(lag));
        late_bytes.record(START, process(1), millis(1));
        let hold = late_bytes.hold(START, &success_of(process(2), 10));
        let expected = ResponseHold {
            wait: millis(expected),
            min_wait: millis(lag),
        };
        assert_eq!(hold, Some(expected), "{lag} ms");
    }
}

#[test]
fn a_response_without_a_body_is_held_back_for_the_longer_of_both_times() {
    let mut late_bytes = late_from(process(1));
    let empty = success_of(process(1), 0);
    let hold = late_bytes.hold(START, &empty);
    assert_eq!(hold.map(|hold| hold.wait), Some(millis(200)));
    late_bytes.record(START, process(1), millis(150));
    let hold = late_bytes.hold(START, &empty);
    assert_eq!(hold.map(|hold| hold.wait), Some(millis(300)));
}

/// Guards against a response of a server before it closes an idle connection that is taken for the
/// rest of a body.
#[test]
fn bytes_that_come_over_800_ms_behind_a_response_are_no_part_of_it() {
    let mut late_bytes = LateBytes::default();
    late_bytes.record(START, process(1), millis(801));
    assert_eq!(wait(&mut late_bytes, START, process(1)), None);
}

#[test]
fn no_response_is_held_back_any_more_after_10_s_without_late_bytes() {
    let mut late_bytes = late_from(process(1));
    let second_at = START + millis(5_000);
    late_bytes.record(second_at, process(1), millis(2));
    let last = second_at + millis(9_999);
    assert_eq!(
        wait(&mut late_bytes, last, process(1)),
        Some(millis(40)),
        "the longest lag counts"
    );
    assert_eq!(
        wait(&mut late_bytes, second_at + millis(10_000), process(1)),
        None
    );
}

/// Guards against a single long lag that holds responses back for ever, beside shorter ones.
#[test]
fn a_long_lag_that_is_not_seen_again_is_forgotten() {
    let mut late_bytes = LateBytes::default();
    late_bytes.record(START, process(1), millis(300));
    for seconds in 1..=10 {
        late_bytes.record(START + millis(seconds * 1_000), process(1), millis(20));
    }
    let now = START + millis(10_000);
    assert_eq!(wait(&mut late_bytes, now, process(1)), Some(millis(40)));
}

/// Records late bytes of process 1 while each of six processes responds equally often.
fn late_bytes_of_one_in_six(count: u32) -> LateBytes {
    let mut late_bytes = late_from(process(1));
    for _ in 1..count {
        for other in 2..=6 {
            late_bytes.record_nothing(START, process(other));
        }
        late_bytes.record(START, process(1), millis(20));
    }
    late_bytes
}

#[test]
fn all_processes_are_suspected_until_a_coincidence_is_unlikely() {
    assert!(wait(&mut late_bytes_of_one_in_six(3), START, process(2)).is_some());
    let mut late_bytes = late_bytes_of_one_in_six(6);
    assert_eq!(wait(&mut late_bytes, START, process(2)), None);
    assert_eq!(wait(&mut late_bytes, START, process(1)), Some(millis(40)));
}

/// Guards against processes that are cleared of the suspicion only for a moment.
#[test]
fn other_processes_stay_cleared_until_late_bytes_come_from_one_of_them() {
    let mut late_bytes = late_bytes_of_one_in_six(6);
    for _ in 0..1_000 {
        late_bytes.record(START, process(1), millis(20));
    }
    assert_eq!(wait(&mut late_bytes, START, process(2)), None);
    late_bytes.record(START, process(3), millis(20));
    assert_eq!(wait(&mut late_bytes, START, process(2)), Some(millis(40)));
}

/// Guards against a process that is judged by what its predecessor at the same backend did.
#[test]
fn a_new_process_of_the_suspect_backend_is_another_one() {
    let mut late_bytes = late_bytes_of_one_in_six(6);
    let restarted = BackendProcess {
        started_at: Some(START),
        ..process(1)
    };
    assert_eq!(wait(&mut late_bytes, START, restarted), None);
}

#[test]
fn a_single_process_is_never_cleared() {
    let mut late_bytes = late_from(process(1));
    for _ in 0..1_000 {
        late_bytes.record_nothing(START, process(1));
        late_bytes.record(START, process(1), millis(20));
    }
    assert!(wait(&mut late_bytes, START, process(1)).is_some());
}
