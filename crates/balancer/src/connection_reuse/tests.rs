use super::*;
use ResponseJudgement::{Believed, Doubted, Held};

const START: Time = Time(50_000_000);

fn after_start(millis: u64) -> Time {
    START + Micros(millis * 1_000)
}

/// A class whose responses all differ.
const UNIQUE: ClassId = ClassId(0);
/// A class whose responses are all the same.
const CONSTANT: ClassId = ClassId(1);

fn response_of(class: ClassId, fingerprint: u64) -> SuccessfulResponse {
    SuccessfulResponse { class, fingerprint }
}

fn success_at(at: Time) -> LastResponse {
    LastResponse {
        at,
        success: Some(response_of(UNIQUE, 1)),
    }
}

/// Bytes that repeat a response after this time.
fn repeated_after(millis: u64) -> UnsolicitedBytes {
    UnsolicitedBytes {
        process: BackendProcess::default(),
        came_late: true,
        since_first_response: Micros(30_000_000),
        since_last_response: Micros(millis * 1_000),
        kind: UnsolicitedKind::RepeatedResponse,
    }
}

/// A response on a connection that rested for this time before the request.
fn response_after_rest(millis: u64) -> ResponseArrival {
    ResponseArrival {
        process: BackendProcess::default(),
        body_bytes: 10,
        rest: Some(Micros(millis * 1_000)),
        preceded_request: false,
        behind: BehindResponse::Nothing,
        announces_close: false,
        is_as_announced: true,
        success: None,
        previous_success: None,
        since_previous: Micros(millis * 1_000),
    }
}

#[test]
fn a_connection_that_had_no_response_needs_no_rest() {
    assert!(ConnectionReuse::default().may_reuse(START, None));
}

#[test]
fn a_connection_rests_for_100_ms_if_nothing_unexpected_was_seen() {
    let reuse = ConnectionReuse::default();
    assert!(!reuse.may_reuse(after_start(99), Some(success_at(START))));
    assert!(reuse.may_reuse(after_start(100), Some(success_at(START))));
}

#[test]
fn the_rest_is_twice_the_time_after_which_a_response_was_repeated() {
    let mut reuse = ConnectionReuse::default();
    reuse.record_unsolicited(START, repeated_after(90));
    assert!(!reuse.may_reuse(after_start(179), Some(success_at(START))));
    assert!(reuse.may_reuse(after_start(180), Some(success_at(START))));
    reuse.record_unsolicited(START, repeated_after(20));
    assert!(!reuse.may_reuse(after_start(179), Some(success_at(START))));
}

#[test]
fn another_response_may_belong_to_any_earlier_request_of_the_connection() {
    let mut reuse = ConnectionReuse::default();
    let bytes = UnsolicitedBytes {
        process: BackendProcess::default(),
        came_late: true,
        since_first_response: Micros(300_000),
        since_last_response: Micros(5_000),
        kind: UnsolicitedKind::OtherResponse,
    };
    reuse.record_unsolicited(START, bytes);
    assert!(!reuse.may_reuse(after_start(599), Some(success_at(START))));
    assert!(reuse.may_reuse(after_start(600), Some(success_at(START))));
}

/// Guards against connections that are closed after each response because of noise behind a
/// response, which cannot be taken for a response.
#[test]
fn bytes_that_are_no_response_belong_to_the_last_response_of_the_connection() {
    let mut reuse = ConnectionReuse::default();
    let bytes = |since_last_response| UnsolicitedBytes {
        process: BackendProcess::default(),
        came_late: true,
        since_first_response: Micros(30_000_000),
        since_last_response: Micros(since_last_response),
        kind: UnsolicitedKind::NoResponse,
    };
    reuse.record_unsolicited(START, bytes(0));
    assert!(reuse.may_reuse(after_start(100), Some(success_at(START))));
    reuse.record_unsolicited(START, bytes(90_000));
    assert!(!reuse.may_reuse(after_start(179), Some(success_at(START))));
    assert!(reuse.may_reuse(after_start(180), Some(success_at(START))));
}

#[test]
fn connections_are_closed_after_each_response_while_second_responses_take_long() {
    let mut reuse = ConnectionReuse::default();
    assert!(reuse.keeps_connections(START));
    reuse.record_unsolicited(START, repeated_after(401));
    assert!(!reuse.keeps_connections(START));
}

#[test]
fn the_rest_is_halved_each_5_s_without_unexpected_bytes() {
    let mut reuse = ConnectionReuse::default();
    reuse.record_unsolicited(START, repeated_after(5_000));
    let rests = [
        (0, 1_600),
        (4_999, 1_600),
        (5_000, 800),
        (10_000, 400),
        (15_000, 200),
        (20_000, 100),
        (1_000_000, 100),
    ];
    for (at, rest) in rests {
        let now = after_start(at);
        let rested_since = |millis: u64| Some(success_at(Time(now.0 - millis * 1_000)));
        assert!(!reuse.may_reuse(now, rested_since(rest - 1)), "{at} ms");
        assert!(reuse.may_reuse(now, rested_since(rest)), "{at} ms");
    }
}

#[test]
fn a_response_after_a_sufficient_rest_is_believed() {
    let mut reuse = ConnectionReuse::default();
    assert_eq!(reuse.judge(START, &response_after_rest(100)), Believed);
}

/// Guards against a response with too short a length that is taken for a whole one (review case 1).
#[test]
fn a_response_is_doubted_if_bytes_follow_it_even_the_first_one_on_its_connection() {
    for rest in [None, Some(Micros(100_000))] {
        let arrival = ResponseArrival {
            rest,
            behind: BehindResponse::Bytes,
            ..response_after_rest(100)
        };
        let doubt = ConnectionReuse::default().judge(START, &arrival);
        assert_eq!(doubt, Doubted(ResponseDoubt::FollowedByBytes), "{rest:?}");
    }
}

/// Guards against a connection that is used again although it is open where its last response ends.
#[test]
fn a_response_is_doubted_if_it_is_not_as_announced() {
    let arrival = ResponseArrival {
        is_as_announced: false,
        ..response_after_rest(100)
    };
    let doubt = ConnectionReuse::default().judge(START, &arrival);
    assert_eq!(doubt, Doubted(ResponseDoubt::ContradictoryLength));
}

#[test]
fn a_response_that_precedes_its_request_is_doubted() {
    let arrival = ResponseArrival {
        rest: None,
        preceded_request: true,
        ..response_after_rest(0)
    };
    let doubt = ConnectionReuse::default().judge(START, &arrival);
    assert_eq!(doubt, Doubted(ResponseDoubt::PrecededRequest));
}

#[test]
fn a_response_is_doubted_if_the_rest_has_since_become_longer() {
    let mut reuse = ConnectionReuse::default();
    reuse.record_unsolicited(START, repeated_after(90));
    let doubt = reuse.judge(START, &response_after_rest(179));
    assert_eq!(doubt, Doubted(ResponseDoubt::RestTooShort));
    assert_eq!(reuse.judge(START, &response_after_rest(180)), Believed);
}

#[test]
fn a_connection_rests_for_800_ms_after_a_response_other_than_a_success() {
    let reuse = ConnectionReuse::default();
    let failure = LastResponse {
        at: START,
        success: None,
    };
    assert!(!reuse.may_reuse(after_start(799), Some(failure)));
    assert!(reuse.may_reuse(after_start(800), Some(failure)));
}

/// A connection reuse that has judged so many responses of each class.
fn after_responses(count: u64) -> ConnectionReuse {
    let mut reuse = ConnectionReuse::default();
    for fingerprint in 0..count {
        for response in [response_of(UNIQUE, fingerprint), response_of(CONSTANT, 0)] {
            let arrival = ResponseArrival {
                success: Some(response),
                ..response_after_rest(100)
            };
            assert_eq!(reuse.judge(START, &arrival), Believed);
        }
    }
    reuse
}

/// A response to a request of class `class`, 300 ms after an equal one of class `previous`.
fn equal_response(class: ClassId, previous: ClassId) -> ResponseArrival {
    ResponseArrival {
        success: Some(response_of(class, 0)),
        previous_success: Some(response_of(previous, 0)),
        ..response_after_rest(300)
    }
}

#[test]
fn an_equal_response_is_doubted_where_the_responses_of_either_class_usually_differ() {
    for (class, previous) in [(UNIQUE, UNIQUE), (UNIQUE, CONSTANT), (CONSTANT, UNIQUE)] {
        let doubt = after_responses(120).judge(START, &equal_response(class, previous));
        assert_eq!(doubt, Doubted(ResponseDoubt::EqualsPrevious));
    }
}

#[test]
fn equal_responses_are_believed_where_they_are_usual_or_little_is_known() {
    let mut reuse = after_responses(1_000);
    assert_eq!(
        reuse.judge(START, &equal_response(CONSTANT, CONSTANT)),
        Believed
    );
    let mut reuse = after_responses(10);
    assert_eq!(
        reuse.judge(START, &equal_response(UNIQUE, UNIQUE)),
        Believed
    );
}

#[test]
fn an_equal_response_that_is_doubted_lengthens_the_rest() {
    let mut reuse = after_responses(120);
    let _ = reuse.judge(START, &equal_response(UNIQUE, UNIQUE));
    assert!(!reuse.may_reuse(after_start(599), Some(success_at(START))));
    assert!(reuse.may_reuse(after_start(600), Some(success_at(START))));
}

/// Late bytes 20 ms behind a response, which are not its repetition.
fn late_rest() -> UnsolicitedBytes {
    UnsolicitedBytes {
        kind: UnsolicitedKind::NoResponse,
        ..repeated_after(20)
    }
}

/// A hold of 40 ms that needs 20 ms at least.
fn learnt_hold() -> ResponseHold {
    ResponseHold {
        wait: Micros(40_000),
        min_wait: Micros(20_000),
    }
}

/// Guards against a rest of a body that comes late and from which nothing is learnt (class of
/// review case 6).
#[test]
fn responses_are_held_back_after_a_late_rest() {
    let mut reuse = ConnectionReuse::default();
    reuse.record_unsolicited(START, late_rest());
    let judgement = reuse.judge(START, &response_after_rest(100));
    assert_eq!(judgement, Held(learnt_hold()));
}

#[test]
fn responses_are_not_held_back_after_bytes_that_say_nothing_about_lengths() {
    let repeated = repeated_after(20);
    let at_once = UnsolicitedBytes {
        came_late: false,
        ..late_rest()
    };
    for bytes in [repeated, at_once] {
        let mut reuse = ConnectionReuse::default();
        reuse.record_unsolicited(START, bytes);
        let judgement = reuse.judge(START, &response_after_rest(100));
        assert_eq!(judgement, Believed, "{bytes:?}");
    }
}

#[test]
fn a_response_is_not_held_back_if_nothing_can_follow_it() {
    let mut reuse = ConnectionReuse::default();
    reuse.record_unsolicited(START, late_rest());
    let arrival = ResponseArrival {
        behind: BehindResponse::EndOfConnection,
        announces_close: true,
        ..response_after_rest(100)
    };
    assert_eq!(reuse.judge(START, &arrival), Believed);
}

/// A success without a body, whose connection the backend has closed in order.
fn empty_success_at_end_of_connection() -> ResponseArrival {
    ResponseArrival {
        behind: BehindResponse::EndOfConnection,
        body_bytes: 0,
        success: Some(response_of(UNIQUE, 1)),
        ..response_after_rest(100)
    }
}

/// Guards against a backend that fails before it has sent the body, and closes its connection in
/// order (soak, seed 349).
#[test]
fn a_success_without_a_body_whose_connection_ends_unannounced_is_doubted() {
    let arrival = empty_success_at_end_of_connection();
    let judgement = ConnectionReuse::default().judge(START, &arrival);
    assert_eq!(judgement, Doubted(ResponseDoubt::HoldCutShort));
}

/// Guards against sound responses that fail because their backend closes each connection.
#[test]
fn a_response_with_a_body_whose_connection_ends_is_believed_also_after_a_late_rest() {
    let arrival = ResponseArrival {
        body_bytes: 10,
        ..empty_success_at_end_of_connection()
    };
    let mut reuse = ConnectionReuse::default();
    reuse.record_unsolicited(START, late_rest());
    assert_eq!(reuse.judge(START, &arrival), Believed);
}

#[test]
fn a_response_that_was_held_back_is_doubted_unless_it_was_seen_that_nothing_follows() {
    let cases = [
        (HoldEnd::BytesFollowed, Some(ResponseDoubt::FollowedByBytes)),
        (HoldEnd::ConnectionBroken, Some(ResponseDoubt::HoldCutShort)),
        (
            HoldEnd::NothingFollowed(Micros(19_999)),
            Some(ResponseDoubt::HoldCutShort),
        ),
        (HoldEnd::NothingFollowed(Micros(20_000)), None),
        (HoldEnd::ConnectionClosed, None),
    ];
    for (end, expected) in cases {
        let arrival = response_after_rest(100);
        let doubt = ConnectionReuse::default().judge_held(START, &arrival, learnt_hold(), end);
        assert_eq!(doubt, expected, "{end:?}");
    }
    for (announces_close, expected) in [(true, None), (false, Some(ResponseDoubt::HoldCutShort))] {
        let empty = ResponseArrival {
            announces_close,
            ..empty_success_at_end_of_connection()
        };
        let end = HoldEnd::ConnectionClosed;
        let doubt = ConnectionReuse::default().judge_held(START, &empty, learnt_hold(), end);
        assert_eq!(doubt, expected, "{announces_close}");
    }
}
