use super::*;
use brookstack_balancer::settings::stable_id;
use brookstack_balancer::{BackendId, BackendState, CellId, Time};
use serde_json::{json, Value};

fn valid_list() -> Value {
    let ready = json!({
        "name": "a", "address": "10.0.0.1:80", "zone": "east", "type": "m1", "group": 3,
        "status": "ready", "weight": 2, "since_ms": 5, "unknown": {"deep": [1, 2.5, null]},
    });
    let gone = json!({
        "name": "b", "address": "10.0.0.2:80", "zone": "east", "type": "m1", "group": 3,
        "status": "gone", "weight": 0.5, "since_ms": null,
    });
    json!({"index": 7, "snapshot": true, "more": [{}], "endpoints": [ready, gone]})
}

/// The required keys of a list.
const REQUIRED_LIST_KEYS: [&str; 3] = ["index", "snapshot", "endpoints"];
/// The required keys of an entry.
const REQUIRED_ENTRY_KEYS: [&str; 7] = [
    "status", "name", "address", "zone", "type", "group", "weight",
];

/// The error message for an invalid list.
fn rejection_message(list: &Value) -> String {
    let result = parse(list.to_string().as_bytes());
    result.err().expect("a rejected list").to_string()
}

/// Guards against an answer of discovery whose announced length is too short and that is taken for
/// a whole list (class of review case 6). A list shows its own end, so that no answer has to be
/// held back to see whether more of it follows.
#[test]
fn no_beginning_of_a_list_is_a_list() {
    let compact = valid_list().to_string();
    let pretty = serde_json::to_string_pretty(&valid_list()).expect("JSON");
    for text in [compact, pretty] {
        let is_list = |length: &usize| parse(&text.as_bytes()[..*length]).is_ok();
        let accepted: Vec<usize> = (0..=text.len()).filter(is_list).collect();
        assert_eq!(accepted, [text.len()], "{text}");
    }
}

#[test]
fn a_list_is_parsed_and_unknown_keys_are_skipped() {
    let compact = valid_list().to_string();
    let pretty = serde_json::to_string_pretty(&valid_list()).expect("JSON");
    for text in [compact, pretty] {
        let list = parse(text.as_bytes()).expect("a valid list");
        assert_eq!(list.version, 7);
        assert!(list.is_snapshot);
        let [a, b] = &list.endpoints[..] else {
            panic!("not two endpoints")
        };
        assert_eq!(a.endpoint.id, BackendId(stable_id("a")));
        assert_eq!(a.endpoint.cell, CellId(3));
        assert_eq!(a.endpoint.started_at, Some(Time(5000)));
        assert_eq!(a.endpoint.weight, 2.0);
        assert_eq!(b.endpoint.state, BackendState::Removed);
        assert_eq!(b.endpoint.started_at, None);
        assert_eq!(b.address, SocketAddr::from(([10, 0, 0, 2], 80)));
    }
}

#[test]
fn escape_sequences_in_strings_are_decoded() {
    let text = valid_list().to_string();
    let escaped = text.replace("\"ready\"", "\"re\\u0061dy\"");
    assert_ne!(escaped, text);
    let list = parse(escaped.as_bytes()).expect("the same list");
    assert_eq!(list.endpoints[0].endpoint.state, BackendState::Ready);
}

/// Asserts that a list is rejected if `value` replaces the value at the JSON pointer, and that the
/// error message begins with `message`.
fn assert_rejected(pointer: &str, value: Value, message: &str) {
    let mut list = valid_list();
    *list.pointer_mut(pointer).expect("a value at the pointer") = value;
    let error = rejection_message(&list);
    assert!(error.starts_with(message), "{error}");
}

#[test]
fn an_invalid_value_of_the_list_is_reported_with_its_path() {
    assert_rejected(
        "/index",
        json!(-1),
        "index: expected an integer of 0 or more, got -1",
    );
    assert_rejected(
        "/snapshot",
        json!("yes"),
        "snapshot: expected true or false, got \"yes\"",
    );
    assert_rejected(
        "/endpoints",
        json!(null),
        "invalid type: null, expected an array in endpoints",
    );
    assert_rejected(
        "/endpoints/1",
        json!(5),
        "endpoints[1]: invalid type: integer `5`, expected an object",
    );
    assert_rejected(
        "/endpoints/1",
        json!([]),
        "endpoints[1]: invalid type: sequence, expected an object",
    );
}

#[test]
fn an_invalid_value_of_an_entry_is_reported_with_its_path() {
    assert_rejected(
        "/endpoints/1/status",
        json!("up"),
        "endpoints[1].status: expected ready, draining or gone, got \"up\"",
    );
    assert_rejected(
        "/endpoints/1/name",
        json!(5),
        "endpoints[1].name: expected text, got 5",
    );
    assert_rejected(
        "/endpoints/1/zone",
        json!({}),
        "endpoints[1].zone: expected text, got an array or an object",
    );
    assert_rejected(
        "/endpoints/1/group",
        json!(1.5),
        "endpoints[1].group: expected an integer of 0 or more, got 1.5",
    );
    assert_rejected(
        "/endpoints/1/weight",
        json!(-0.5),
        "endpoints[1].weight: expected a weight of 0 or more, got -0.5",
    );
    assert_rejected(
        "/endpoints/1/since_ms",
        json!("x"),
        "endpoints[1].since_ms: expected whole milliseconds, got \"x\"",
    );
    assert_rejected(
        "/endpoints/1/address",
        json!("here"),
        "endpoints[1].address: expected an IP address and a port, got \"here\"",
    );
}

fn remove_key(object: &mut Value, key: &str) {
    object
        .as_object_mut()
        .expect("an object")
        .remove(key)
        .expect("a member of this key");
}

#[test]
fn a_missing_key_is_reported_with_its_path() {
    for key in REQUIRED_ENTRY_KEYS {
        let mut list = valid_list();
        remove_key(&mut list["endpoints"][0], key);
        let error = rejection_message(&list);
        let message = format!("endpoints[0].{key}: missing, expected ");
        assert!(error.starts_with(&message), "{error}");
    }
    for key in REQUIRED_LIST_KEYS {
        let mut list = valid_list();
        remove_key(&mut list, key);
        let error = rejection_message(&list);
        let message = format!("{key}: missing, expected ");
        assert!(error.starts_with(&message), "{error}");
    }
}

#[test]
fn a_document_that_is_not_a_list_is_rejected() {
    let text = valid_list().to_string();
    let truncated = &text[..text.len() - 5];
    let extended = text.clone() + "x";
    for bad in ["[]", "no json", "", truncated, &extended] {
        assert!(parse(bad.as_bytes()).is_err(), "{bad}");
    }
}
