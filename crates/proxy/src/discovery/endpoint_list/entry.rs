//! Parses and validates one entry of an endpoint list.

use super::scalar::Scalar;
use super::ResolvedEndpoint;
use brookstack_balancer::settings::{stable_id, InvalidValue};
use brookstack_balancer::{BackendId, BackendState, CellId, Endpoint, MachineTypeId, Time, ZoneId};
use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, Visitor};
use std::fmt;
use std::net::SocketAddr;

const MICROS_PER_MILLISECOND: u64 = 1_000;

/// An entry whose values have not been validated yet.
#[derive(Default)]
pub(super) struct RawEntry<'a> {
    status: Scalar<'a>,
    name: Scalar<'a>,
    address: Scalar<'a>,
    zone: Scalar<'a>,
    machine_type: Scalar<'a>,
    group: Scalar<'a>,
    weight: Scalar<'a>,
    since_ms: Scalar<'a>,
}

/// The keys of an entry. Unknown keys are skipped.
#[derive(serde::Deserialize)]
#[serde(field_identifier, rename_all = "snake_case")]
enum EntryKey {
    Status,
    Name,
    Address,
    Zone,
    Type,
    Group,
    Weight,
    SinceMs,
    #[serde(other)]
    Unknown,
}

impl<'de> Deserialize<'de> for RawEntry<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(EntryVisitor)
    }
}

struct EntryVisitor;

impl<'de> Visitor<'de> for EntryVisitor {
    type Value = RawEntry<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut members: A) -> Result<RawEntry<'de>, A::Error> {
        let mut entry = RawEntry::default();
        while let Some(key) = members.next_key()? {
            match key {
                EntryKey::Status => entry.status = members.next_value()?,
                EntryKey::Name => entry.name = members.next_value()?,
                EntryKey::Address => entry.address = members.next_value()?,
                EntryKey::Zone => entry.zone = members.next_value()?,
                EntryKey::Type => entry.machine_type = members.next_value()?,
                EntryKey::Group => entry.group = members.next_value()?,
                EntryKey::Weight => entry.weight = members.next_value()?,
                EntryKey::SinceMs => entry.since_ms = members.next_value()?,
                EntryKey::Unknown => drop(members.next_value::<IgnoredAny>()?),
            }
        }
        Ok(entry)
    }
}

impl RawEntry<'_> {
    /// Validates the values of the entry. Error messages contain `index`, the entry's index in the
    /// list.
    pub fn resolve(&self, index: usize) -> Result<ResolvedEndpoint, InvalidValue> {
        let at = |key| ValuePath { index, key };
        let state = backend_state(&self.status, at("status"))?;
        let started_at = start_time(&self.since_ms, at("since_ms"))?;
        let name = text(&self.name, at("name"))?;
        let endpoint = Endpoint {
            id: BackendId(stable_id(name)),
            zone: ZoneId(stable_id(text(&self.zone, at("zone"))?)),
            cell: CellId(group_number(&self.group, at("group"))?),
            machine_type: MachineTypeId(stable_id(text(&self.machine_type, at("type"))?)),
            state,
            started_at,
            weight: weight(&self.weight, at("weight"))?,
        };
        let address = socket_address(&self.address, at("address"))?;
        Ok(ResolvedEndpoint {
            endpoint,
            name: name.into(),
            address,
        })
    }
}

/// The path of a value in the document, for error messages.
#[derive(Clone, Copy)]
struct ValuePath {
    index: usize,
    key: &'static str,
}

impl fmt::Display for ValuePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "endpoints[{}].{}", self.index, self.key)
    }
}

fn text<'a>(value: &'a Scalar<'_>, path: ValuePath) -> Result<&'a str, InvalidValue> {
    value.as_text().ok_or_else(|| value.invalid(path, "text"))
}

fn backend_state(value: &Scalar<'_>, path: ValuePath) -> Result<BackendState, InvalidValue> {
    match text(value, path)? {
        "ready" => Ok(BackendState::Ready),
        "draining" => Ok(BackendState::Draining),
        "gone" => Ok(BackendState::Removed),
        _ => Err(value.invalid(path, "ready, draining or gone")),
    }
}

/// The time at which the backend's process started. It is unknown if the value is missing, `null`
/// or 0.
fn start_time(value: &Scalar<'_>, path: ValuePath) -> Result<Option<Time>, InvalidValue> {
    if matches!(value, Scalar::Missing | Scalar::Null) {
        return Ok(None);
    }
    let milliseconds = value
        .as_unsigned()
        .ok_or_else(|| value.invalid(path, "whole milliseconds"))?;
    if milliseconds == 0 {
        return Ok(None);
    }
    let micros = milliseconds.saturating_mul(MICROS_PER_MILLISECOND);
    Ok(Some(Time(micros)))
}

fn group_number(value: &Scalar<'_>, path: ValuePath) -> Result<u64, InvalidValue> {
    value
        .as_unsigned()
        .ok_or_else(|| value.invalid(path, "an integer of 0 or more"))
}

fn weight(value: &Scalar<'_>, path: ValuePath) -> Result<f64, InvalidValue> {
    value
        .as_float()
        .filter(|weight| *weight >= 0.0)
        .ok_or_else(|| value.invalid(path, "a weight of 0 or more"))
}

fn socket_address(value: &Scalar<'_>, path: ValuePath) -> Result<SocketAddr, InvalidValue> {
    text(value, path)?
        .parse()
        .map_err(|_| value.invalid(path, "an IP address and a port"))
}
