//! Tests the text of log lines, and the reply lines of actions that `tests/adapter.rs` does not
//! cover.

use super::*;
use crate::message::ListNumber;
use brookstack_balancer::settings::stable_id;
use brookstack_balancer::{AttemptNumber, Outcome, RequestId};

/// Endpoint lists that contain the backend `10.0.0.1:80`.
fn lists() -> EndpointLists {
    let rows = [json!(["east", 0, "big", "10.0.0.1:80", "IN", 1, null])];
    let mut lists = EndpointLists::default();
    lists.store(ListNumber(0), &rows).unwrap();
    lists
}

fn encoded(action: &Action) -> String {
    let mut reply = Vec::new();
    write_action("proxy-3", action, &lists(), &mut reply);
    String::from_utf8(reply).unwrap()
}

fn ejection(backend: BackendId) -> Action {
    Action::Log(LogEvent::BackendEjected {
        backend,
        outcome: Outcome::TimedOut,
    })
}

#[test]
fn a_log_line_names_a_backend_by_its_address_and_an_unknown_one_by_its_id() {
    let known = ejection(BackendId(stable_id("10.0.0.1:80")));
    let expected = r#"["WRITE_LOG","proxy-3","backend 10.0.0.1:80 ejected: TimedOut"]"#;
    assert_eq!(encoded(&known), format!("{expected}\n"));

    let unknown = ejection(BackendId(17));
    let expected = r#"["WRITE_LOG","proxy-3","backend with id 17 ejected: TimedOut"]"#;
    assert_eq!(encoded(&unknown), format!("{expected}\n"));
}

#[test]
fn log_lines_distinguish_a_failed_watch_from_one_that_timed_out() {
    let failed = encoded(&Action::Log(LogEvent::WatchFailed));
    assert!(failed.contains("watch failed"), "{failed}");
    let timed_out = encoded(&Action::Log(LogEvent::WatchTimedOut));
    assert!(timed_out.contains("watch timed out"), "{timed_out}");
}

#[test]
fn actions_identify_their_request_by_16_hex_digits() {
    let request = RequestId(0xab);
    let fail = Action::Fail { request };
    let expected = r#"["LOSE","proxy-3","00000000000000ab"]"#;
    assert_eq!(encoded(&fail), format!("{expected}\n"));

    let cancel = Action::Cancel {
        request,
        attempt: AttemptNumber(2),
    };
    let expected = r#"["RECALL","proxy-3","00000000000000ab",2]"#;
    assert_eq!(encoded(&cancel), format!("{expected}\n"));
}

#[test]
fn a_limit_of_idle_connections_writes_no_reply_line() {
    let limit = Action::LimitIdleConnections { max_idle: 5 };
    assert_eq!(encoded(&limit), "");
}
