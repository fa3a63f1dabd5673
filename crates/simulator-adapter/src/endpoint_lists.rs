//! The endpoint lists, which all instances of the process share. The simulator sends each list once
//! and then refers to it by its number.

mod row;

#[cfg(test)]
mod tests;

use crate::error::MessageError;
use crate::message::ListNumber;
use brookstack_balancer::{BackendId, Endpoint};
use row::EndpointRow;
use serde_json::Value;
use std::collections::HashMap;

/// The endpoint lists by number, and the address of every backend that any list has contained,
/// including lists that have been replaced.
#[derive(Default)]
pub struct EndpointLists {
    lists: HashMap<ListNumber, Vec<Endpoint>>,
    addresses: HashMap<BackendId, String>,
}

impl EndpointLists {
    /// Decodes the rows of a list and stores the list, replacing any earlier list with this number.
    ///
    /// # Errors
    /// A row is invalid, or its address has the same backend id as another address.
    pub fn store(&mut self, number: ListNumber, rows: &[Value]) -> Result<(), MessageError> {
        let mut endpoints = Vec::with_capacity(rows.len());
        for json in rows {
            let row = EndpointRow::decode(json)?;
            let endpoint = row.endpoint();
            self.record_address(endpoint.id, row.address, json)?;
            endpoints.push(endpoint);
        }
        self.lists.insert(number, endpoints);
        Ok(())
    }

    /// Returns the list with this number.
    pub fn get(&self, number: ListNumber) -> Option<&[Endpoint]> {
        self.lists.get(&number).map(Vec::as_slice)
    }

    /// Returns the address of a backend, or `None` if no list has contained the backend.
    pub fn address(&self, backend: BackendId) -> Option<&str> {
        self.addresses.get(&backend).map(String::as_str)
    }

    /// Records the address of a backend. Backend ids are hashes of addresses, so two addresses can
    /// have the same id. This is an error, because the balancer would treat them as one backend.
    fn record_address(
        &mut self,
        backend: BackendId,
        address: &str,
        row: &Value,
    ) -> Result<(), MessageError> {
        let known_address = self
            .addresses
            .entry(backend)
            .or_insert_with(|| address.into());
        if known_address == address {
            return Ok(());
        }
        Err(MessageError::BackendIdCollision {
            row: row.clone(),
            known_address: known_address.clone(),
        })
    }
}
