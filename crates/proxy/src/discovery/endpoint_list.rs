//! Parses the endpoint list from JSON. Discovery and the configuration file use the same format.
//!
//! A list can have many thousand entries, and a tree of JSON values takes many times the memory of
//! the text. The list is therefore parsed as a stream, and each entry is converted to a
//! [`ResolvedEndpoint`] as soon as it is read:
//!
//! - [`decode`] parses the list object and its array of entries.
//! - [`entry`] parses one entry and validates its values.
//! - [`scalar`] holds one value of any JSON type until it is validated.

mod decode;
mod entry;
mod scalar;

use brookstack_balancer::Endpoint;
use std::net::SocketAddr;
use std::rc::Rc;

/// An endpoint with the address that its requests are sent to.
#[derive(Clone)]
pub struct ResolvedEndpoint {
    /// The part of the entry that the balancer uses.
    pub endpoint: Endpoint,
    /// The name of the backend, which is the same for all proxies.
    pub name: Rc<str>,
    /// The address that the proxy connects to.
    pub address: SocketAddr,
}

/// An endpoint list, or changes to one.
#[derive(Clone)]
pub struct EndpointList {
    /// The version of the list. A proxy can ask discovery for the changes after a version.
    pub version: u64,
    /// Whether this is the complete list and not just the changes.
    pub is_snapshot: bool,
    /// The endpoints in the order of the document.
    pub endpoints: Vec<ResolvedEndpoint>,
}

/// The error for a document that is not a valid endpoint list. The message contains the path of the
/// invalid value, the expected value and the actual value, followed by the line and column.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct EndpointListError(#[from] serde_json::Error);

/// Parses a list. Fails if any entry is invalid, because a list without that entry would remove a
/// backend.
pub fn parse(json: &[u8]) -> Result<EndpointList, EndpointListError> {
    Ok(serde_json::from_slice(json)?)
}

#[cfg(test)]
mod tests;
