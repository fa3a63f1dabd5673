//! Decodes the rows of an endpoint list. Each row describes one backend.

use crate::error::MessageError;
use brookstack_balancer::settings::stable_id;
use brookstack_balancer::{BackendId, BackendState, CellId, Endpoint, MachineTypeId, Time, ZoneId};
use serde_json::Value;

const EXPECTED_STATE: &str = "IN, LAME or OUT";
const EXPECTED_PLAIN_ADDRESS: &str =
    "a non-empty address of printable ASCII without spaces, double quotes or backslashes";

/// A row of an endpoint list. On the wire, its columns are zone, cell, machine type, address,
/// state, weight and start time.
#[derive(Debug, PartialEq)]
pub struct EndpointRow<'a> {
    /// The address of the backend, which is also its name. Replies contain it without JSON
    /// escaping, so it must not contain a character that JSON escapes.
    pub address: &'a str,
    /// The name of the backend's zone.
    pub zone: &'a str,
    /// The backend's cell. Backends of one cell share a store of idempotency keys.
    pub cell: u64,
    /// The name of the backend's machine type.
    pub machine_type: &'a str,
    /// Whether the backend accepts requests.
    pub state: BackendState,
    /// When the backend started, or `None` if that is unknown.
    pub started_at: Option<Time>,
    /// The weight of the backend, at least 0.
    pub weight: f64,
}

impl<'a> EndpointRow<'a> {
    /// Decodes a row. The values are not checked in the order of the columns; an error describes
    /// the first value whose check failed.
    ///
    /// # Errors
    /// The row is not an array of 7 values, or a value has the wrong type or is out of range.
    pub fn decode(row: &'a Value) -> Result<EndpointRow<'a>, MessageError> {
        let Some([zone, cell, machine_type, address, state, weight, started_at]) = columns(row)
        else {
            return Err(invalid_row(row, "an array of 7 values"));
        };
        let column = |value| Column { row, value };
        let address = column(address).address()?;
        let state = column(state).state()?;
        let started_at = column(started_at).start_time()?;
        let zone = column(zone).text("a zone name")?;
        let cell = column(cell).cell()?;
        let machine_type = column(machine_type).text("a machine type name")?;
        let weight = column(weight).weight()?;
        Ok(EndpointRow {
            address,
            zone,
            cell,
            machine_type,
            state,
            started_at,
            weight,
        })
    }

    /// Returns the balancer's endpoint for this row, in which ids replace the names.
    pub fn endpoint(&self) -> Endpoint {
        Endpoint {
            id: BackendId(stable_id(self.address)),
            zone: ZoneId(stable_id(self.zone)),
            cell: CellId(self.cell),
            machine_type: MachineTypeId(stable_id(self.machine_type)),
            state: self.state,
            started_at: self.started_at,
            weight: self.weight,
        }
    }
}

/// Returns the columns of a row, or `None` if the row is not an array.
fn columns(row: &Value) -> Option<&[Value]> {
    row.as_array().map(Vec::as_slice)
}

/// A value of a row. The methods check the value; their errors report the complete row.
struct Column<'a> {
    row: &'a Value,
    value: &'a Value,
}

impl<'a> Column<'a> {
    fn text(&self, expected: &'static str) -> Result<&'a str, MessageError> {
        self.value
            .as_str()
            .ok_or_else(|| invalid_row(self.row, expected))
    }

    fn address(&self) -> Result<&'a str, MessageError> {
        let address = self.text("an address as a string")?;
        if !is_plain_address(address) {
            return Err(invalid_row(self.row, EXPECTED_PLAIN_ADDRESS));
        }
        Ok(address)
    }

    fn state(&self) -> Result<BackendState, MessageError> {
        match self.text(EXPECTED_STATE)? {
            "IN" => Ok(BackendState::Ready),
            "LAME" => Ok(BackendState::Draining),
            "OUT" => Ok(BackendState::Removed),
            _ => Err(invalid_row(self.row, EXPECTED_STATE)),
        }
    }

    /// Returns the start time, which is written in microseconds. Null and 0 both mean that it is
    /// unknown.
    fn start_time(&self) -> Result<Option<Time>, MessageError> {
        if self.value.is_null() {
            return Ok(None);
        }
        match self.value.as_u64() {
            Some(0) => Ok(None),
            Some(micros) => Ok(Some(Time(micros))),
            None => Err(invalid_row(
                self.row,
                "a start time in microseconds or null",
            )),
        }
    }

    fn cell(&self) -> Result<u64, MessageError> {
        self.value
            .as_u64()
            .ok_or_else(|| invalid_row(self.row, "a cell number"))
    }

    fn weight(&self) -> Result<f64, MessageError> {
        match self.value.as_f64() {
            Some(weight) if weight >= 0.0 => Ok(weight),
            _ => Err(invalid_row(self.row, "a weight of 0 or more")),
        }
    }
}

fn invalid_row(row: &Value, expected: &'static str) -> MessageError {
    MessageError::InvalidRow {
        row: row.clone(),
        expected,
    }
}

/// Returns whether an address is not empty and can be written in a JSON string without escaping.
fn is_plain_address(address: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
    !address.is_empty() && address.bytes().all(is_plain)
}
