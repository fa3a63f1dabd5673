//! The endpoint lists that all instances of the process share: the simulator sends each once, by
//! number.

use crate::error::MessageError;
use crate::message::ListNumber;
use brookstack_balancer::settings::stable_id;
use brookstack_balancer::{BackendId, BackendState, CellId, Endpoint, MachineTypeId, Time, ZoneId};
use serde_json::Value;
use std::collections::HashMap;

/// Values of a row.
const ROW_LENGTH: usize = 7;
const EXPECTED_STATE: &str = "IN, LAME or OUT";

/// Index of each value of a row.
mod column {
    pub const ZONE: usize = 0;
    pub const CELL: usize = 1;
    pub const KIND: usize = 2;
    pub const ADDRESS: usize = 3;
    pub const STATE: usize = 4;
    pub const WEIGHT: usize = 5;
    pub const STARTED_AT: usize = 6;
}

/// Numbered endpoint lists, and the address of every backend that one of them has named.
#[derive(Default)]
pub struct EndpointLists {
    lists: HashMap<ListNumber, Vec<Endpoint>>,
    addresses: HashMap<BackendId, String>,
}

impl EndpointLists {
    /// Stores the rows of a list under its number, in place of an earlier one.
    ///
    /// # Errors
    /// A row is malformed, or its address has the id of another address.
    pub fn store(&mut self, number: ListNumber, rows: &[Value]) -> Result<(), MessageError> {
        let mut endpoints = Vec::with_capacity(rows.len());
        for row in rows {
            let parsed = parse_row(row)?;
            self.remember_address(parsed.endpoint.id, parsed.address, row)?;
            endpoints.push(parsed.endpoint);
        }
        self.lists.insert(number, endpoints);
        Ok(())
    }

    /// The list with this number.
    pub fn get(&self, number: ListNumber) -> Option<&[Endpoint]> {
        self.lists.get(&number).map(Vec::as_slice)
    }

    /// The address of a backend; empty if no list has named it.
    pub fn address(&self, backend: BackendId) -> &str {
        self.addresses.get(&backend).map_or("", String::as_str)
    }

    /// Backend ids are hashes of addresses, so two addresses could have the same one.
    fn remember_address(
        &mut self,
        backend: BackendId,
        address: &str,
        row: &Value,
    ) -> Result<(), MessageError> {
        let known_address = self
            .addresses
            .entry(backend)
            .or_insert_with(|| address.into());
        if known_address != address {
            return Err(MessageError::BackendIdCollision {
                row: row.clone(),
                known_address: known_address.clone(),
            });
        }
        Ok(())
    }
}

/// A row of a list: the endpoint, which knows its address only as an id, and the address.
struct ParsedRow<'a> {
    address: &'a str,
    endpoint: Endpoint,
}

/// A row as received.
struct Row<'a> {
    json: &'a Value,
    columns: &'a [Value],
}

impl<'a> Row<'a> {
    fn from_json(json: &'a Value) -> Result<Row<'a>, MessageError> {
        match json.as_array() {
            Some(columns) if columns.len() == ROW_LENGTH => Ok(Row { json, columns }),
            _ => Err(invalid_row(json, "an array of 7 values")),
        }
    }

    fn text(&self, column: usize, expected: &'static str) -> Result<&'a str, MessageError> {
        self.columns[column]
            .as_str()
            .ok_or_else(|| invalid_row(self.json, expected))
    }

    fn address(&self) -> Result<&'a str, MessageError> {
        let address = self.text(column::ADDRESS, "an address")?;
        if !is_plain_address(address) {
            return Err(invalid_row(self.json, "a plain address"));
        }
        Ok(address)
    }

    fn state(&self) -> Result<BackendState, MessageError> {
        match self.text(column::STATE, EXPECTED_STATE)? {
            "IN" => Ok(BackendState::Ready),
            "LAME" => Ok(BackendState::Draining),
            "OUT" => Ok(BackendState::Removed),
            _ => Err(invalid_row(self.json, EXPECTED_STATE)),
        }
    }

    /// The start time; 0 stands for an unknown one, as null does.
    fn started_at(&self) -> Result<Option<Time>, MessageError> {
        let value = &self.columns[column::STARTED_AT];
        if value.is_null() {
            return Ok(None);
        }
        let micros = value
            .as_u64()
            .ok_or_else(|| invalid_row(self.json, "a start time or null"))?;
        Ok((micros > 0).then_some(Time(micros)))
    }

    fn cell(&self) -> Result<u64, MessageError> {
        self.columns[column::CELL]
            .as_u64()
            .ok_or_else(|| invalid_row(self.json, "a cell number"))
    }

    fn weight(&self) -> Result<f64, MessageError> {
        self.columns[column::WEIGHT]
            .as_f64()
            .filter(|weight| *weight >= 0.0)
            .ok_or_else(|| invalid_row(self.json, "a weight of 0 or more"))
    }
}

fn parse_row(json: &Value) -> Result<ParsedRow<'_>, MessageError> {
    let row = Row::from_json(json)?;
    let address = row.address()?;
    let state = row.state()?;
    let started_at = row.started_at()?;
    let endpoint = Endpoint {
        id: BackendId(stable_id(address)),
        zone: ZoneId(stable_id(row.text(column::ZONE, "a zone")?)),
        cell: CellId(row.cell()?),
        machine_type: MachineTypeId(stable_id(row.text(column::KIND, "a kind")?)),
        state,
        started_at,
        weight: row.weight()?,
    };
    Ok(ParsedRow { address, endpoint })
}

fn invalid_row(json: &Value, expected: &'static str) -> MessageError {
    MessageError::InvalidRow {
        row: json.clone(),
        expected,
    }
}

/// Whether an address can stand in a JSON string as it is: replies are written without escaping it.
fn is_plain_address(address: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
    !address.is_empty() && address.bytes().all(is_plain)
}
