//! Tests the decoding of rows and the storage of lists and addresses.

use super::*;
use brookstack_balancer::settings::stable_id;
use brookstack_balancer::{BackendState, CellId, MachineTypeId, Time, ZoneId};
use serde_json::json;

const LIST_NUMBER: ListNumber = ListNumber(4);

const PLAIN_ADDRESS: &str =
    "a non-empty address of printable ASCII without spaces, double quotes or backslashes";

fn row_error(row: &Value) -> String {
    EndpointRow::decode(row).unwrap_err().to_string()
}

#[test]
fn a_valid_row_is_decoded_into_typed_values() {
    let row = json!(["east", 7, "big", "10.0.0.1:80", "LAME", 1.5, 900]);
    let expected = EndpointRow {
        address: "10.0.0.1:80",
        zone: "east",
        cell: 7,
        machine_type: "big",
        state: BackendState::Draining,
        started_at: Some(Time(900)),
        weight: 1.5,
    };
    assert_eq!(EndpointRow::decode(&row).unwrap(), expected);
}

#[test]
fn every_state_is_decoded_and_a_start_time_of_null_or_0_is_unknown() {
    let states = [
        ("IN", BackendState::Ready),
        ("LAME", BackendState::Draining),
        ("OUT", BackendState::Removed),
    ];
    for (name, state) in states {
        let row = json!(["east", 0, "big", "a:1", name, 0, null]);
        let row = EndpointRow::decode(&row).unwrap();
        assert_eq!(row.state, state);
        assert_eq!(row.started_at, None);
    }
    let row = json!(["east", 0, "big", "a:1", "IN", 0, 0]);
    assert_eq!(EndpointRow::decode(&row).unwrap().started_at, None);
}

/// Every row with 7 values is also invalid in all values that are checked later. The error must not
/// report those.
#[test]
fn only_the_first_invalid_value_of_a_row_is_reported() {
    let cases = [
        (json!({}), "an array of 7 values"),
        (json!(["east", 0]), "an array of 7 values"),
        (json!([1, -1, 1, 1, "UP", -1, -1]), "an address as a string"),
        (json!([1, -1, 1, "", "UP", -1, -1]), PLAIN_ADDRESS),
        (json!([1, -1, 1, "a\"1", "UP", -1, -1]), PLAIN_ADDRESS),
        (json!([1, -1, 1, "a:1", 5, -1, -1]), "IN, LAME or OUT"),
        (json!([1, -1, 1, "a:1", "UP", -1, -1]), "IN, LAME or OUT"),
        (
            json!([1, -1, 1, "a:1", "IN", -1, -1]),
            "a start time in microseconds or null",
        ),
        (json!([1, -1, 1, "a:1", "IN", -1, 5]), "a zone name"),
        (json!(["east", -1, 1, "a:1", "IN", -1, 5]), "a cell number"),
        (
            json!(["east", 0, 1, "a:1", "IN", -1, 5]),
            "a machine type name",
        ),
        (
            json!(["east", 0, "big", "a:1", "IN", -1, 5]),
            "a weight of 0 or more",
        ),
    ];
    for (row, expected) in cases {
        let expected = format!("endpoint list row {row}: expected {expected}");
        assert_eq!(row_error(&row), expected);
    }
}

#[test]
fn a_stored_list_replaces_the_earlier_one_and_all_addresses_stay_known() {
    let mut lists = EndpointLists::default();
    let first = [json!(["east", 0, "big", "a:1", "IN", 1, null])];
    let second = [json!(["west", 3, "small", "b:1", "OUT", 2, 5])];
    lists.store(LIST_NUMBER, &first).unwrap();
    lists.store(LIST_NUMBER, &second).unwrap();
    let expected = Endpoint {
        id: BackendId(stable_id("b:1")),
        zone: ZoneId(stable_id("west")),
        cell: CellId(3),
        machine_type: MachineTypeId(stable_id("small")),
        state: BackendState::Removed,
        started_at: Some(Time(5)),
        weight: 2.0,
    };
    assert_eq!(lists.get(LIST_NUMBER), Some([expected].as_slice()));
    assert_eq!(lists.get(ListNumber(5)), None);
    assert_eq!(lists.address(BackendId(stable_id("a:1"))), Some("a:1"));
    assert_eq!(lists.address(BackendId(stable_id("c:1"))), None);
}

#[test]
fn an_address_with_the_backend_id_of_another_address_is_rejected() {
    let mut lists = EndpointLists::default();
    let rows = [json!(["east", 0, "big", "a:1", "IN", 1, null])];
    let backend = BackendId(stable_id("a:1"));
    lists.addresses.insert(backend, "z:1".into());
    let error = lists.store(LIST_NUMBER, &rows).unwrap_err();
    let row = &rows[0];
    let expected = format!("endpoint list row {row}: its address has the same backend id as z:1");
    assert_eq!(error.to_string(), expected);
}
