//! Tests the decoding of valid messages and the errors for invalid names, numbers of values and
//! values.

use super::kind::WIRE_FORMATS;
use super::*;
use crate::error::MessageError;
use serde_json::json;

/// Decodes a message, whose name and number of values must be valid.
fn decode(line: &Value) -> Result<Message<'_>, MessageError> {
    let message = EncodedMessage::from_json(line).unwrap();
    Message::decode(&message)
}

/// Returns the error text for a message with an invalid name or number of values.
fn wire_format_error(line: &Value) -> String {
    let error = EncodedMessage::from_json(line).unwrap_err();
    error.to_string()
}

/// Returns the error text for a message with an invalid value.
fn value_error(line: &Value) -> String {
    decode(line).unwrap_err().to_string()
}

#[test]
fn valid_messages_are_decoded_into_typed_values() {
    let clock = Message::SetClock { now: Time(17) };
    assert_eq!(decode(&json!(["TICK", 17])).unwrap(), clock);
    assert_eq!(decode(&json!(["END"])).unwrap(), Message::EndBatch);

    let rows = json!([["east", 0]]);
    let list = Message::StoreEndpointList {
        number: ListNumber(15),
        rows: rows.as_array().unwrap(),
    };
    assert_eq!(decode(&json!(["SNAPSHOT_ROWS", 15, rows])).unwrap(), list);

    let settings = json!({"group_size": 1});
    let new_instance = Message::CreateInstance {
        name: "proxy-3",
        seed: 99,
        settings: &settings,
    };
    let line = json!(["CREATE", "proxy-3", 99, settings]);
    assert_eq!(decode(&line).unwrap(), new_instance);
}

#[test]
fn the_instance_of_a_message_is_decoded_without_checking_the_other_values() {
    let line = json!(["KILLED", "proxy-3"]);
    let Message::RemoveInstance { instance } = decode(&line).unwrap() else {
        panic!("not the removal of an instance");
    };
    assert_eq!(instance.name(), "proxy-3");
    assert_eq!(
        instance.unknown().to_string(),
        "KILLED: value 0: expected a known instance, got \"proxy-3\""
    );

    let line = json!(["JOB_IN", "proxy-4", null, null, null, null, null, null, null]);
    let Message::Event { instance, event } = decode(&line).unwrap() else {
        panic!("not an event");
    };
    assert_eq!(instance.name(), "proxy-4");
    assert_eq!(event.kind(), EventKind::RequestArrived);
}

#[test]
fn the_error_for_a_wrong_number_of_values_names_the_message_and_both_numbers() {
    let too_short = json!(["VIEW", "proxy-3", 0]);
    let expected = "VIEW: expected 4 values after the name, got 2";
    assert_eq!(wire_format_error(&too_short), expected);
    let too_long = json!(["END", null]);
    let expected = "END: expected 0 values after the name, got 1";
    assert_eq!(wire_format_error(&too_long), expected);
}

#[test]
fn the_number_of_values_of_every_message_is_checked_against_its_wire_format() {
    for format in &WIRE_FORMATS {
        let mut line = vec![json!(format.name)];
        line.resize(1 + format.value_count, json!("any value"));
        let complete = json!(line);
        let message = EncodedMessage::from_json(&complete).unwrap();
        assert_eq!(message.kind(), format.kind);

        line.push(json!("one more value"));
        let expected = format!(
            "{}: expected {} values after the name, got {}",
            format.name,
            format.value_count,
            format.value_count + 1
        );
        assert_eq!(wire_format_error(&json!(line)), expected);
    }
}

#[test]
fn a_line_without_a_known_name_is_rejected() {
    let cases = [
        (json!({"TICK": 1}), "expected a JSON array"),
        (
            json!([]),
            "expected a message name as the first element of the array",
        ),
        (
            json!([17, "TICK"]),
            "expected a message name as the first element of the array",
        ),
        (json!(["HELLO", 1]), "unknown message HELLO"),
    ];
    for (line, expected) in cases {
        assert_eq!(wire_format_error(&line), expected, "{line}");
    }
}

#[test]
fn the_error_for_an_invalid_value_names_the_message_and_the_index() {
    let cases = [
        (
            json!(["TICK", -1]),
            "TICK: value 0: expected a time in microseconds, got -1",
        ),
        (
            json!(["SNAPSHOT_ROWS", 16, 0]),
            "SNAPSHOT_ROWS: value 0: expected an endpoint list number from 0 to 15, got 16",
        ),
        (
            json!(["SNAPSHOT_ROWS", 1, {}]),
            "SNAPSHOT_ROWS: value 1: expected an array of endpoint list rows, got {}",
        ),
        (
            json!(["CREATE", "proxy-x", "no seed", {}]),
            "CREATE: value 0: expected an instance name such as proxy-3, got \"proxy-x\"",
        ),
        (
            json!(["CREATE", "proxy-3", "no seed", {}]),
            "CREATE: value 1: expected a seed of 0 or more, got \"no seed\"",
        ),
        (
            json!(["TIMEOUT_FIRED", 3, null]),
            "TIMEOUT_FIRED: value 0: expected an instance name, got 3",
        ),
    ];
    for (line, expected) in cases {
        assert_eq!(value_error(&line), expected, "{line}");
    }
}
