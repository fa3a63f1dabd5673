//! Parses the list object and its array of entries.

use super::entry::RawEntry;
use super::scalar::Scalar;
use super::{EndpointList, ResolvedEndpoint};
use brookstack_balancer::settings::InvalidValue;
use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// The keys of the list object. Unknown keys are skipped.
#[derive(serde::Deserialize)]
#[serde(field_identifier, rename_all = "snake_case")]
enum ListKey {
    Index,
    Snapshot,
    Endpoints,
    #[serde(other)]
    Unknown,
}

/// A list whose `index` and `snapshot` have not been validated yet.
#[derive(Default)]
struct RawList<'a> {
    index: Scalar<'a>,
    snapshot: Scalar<'a>,
    endpoints: Option<Vec<ResolvedEndpoint>>,
}

impl RawList<'_> {
    fn resolve(self) -> Result<EndpointList, InvalidValue> {
        let endpoints = self
            .endpoints
            .ok_or_else(|| Scalar::Missing.invalid("endpoints", "an array"))?;
        let version = self
            .index
            .as_unsigned()
            .ok_or_else(|| self.index.invalid("index", "an integer of 0 or more"))?;
        let is_snapshot = self
            .snapshot
            .as_bool()
            .ok_or_else(|| self.snapshot.invalid("snapshot", "true or false"))?;
        Ok(EndpointList {
            version,
            is_snapshot,
            endpoints,
        })
    }
}

impl<'de> Deserialize<'de> for EndpointList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ListVisitor)
    }
}

struct ListVisitor;

impl<'de> Visitor<'de> for ListVisitor {
    type Value = EndpointList;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with index, snapshot and endpoints")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut members: A) -> Result<EndpointList, A::Error> {
        let mut list = RawList::default();
        while let Some(key) = members.next_key()? {
            match key {
                ListKey::Index => list.index = members.next_value()?,
                ListKey::Snapshot => list.snapshot = members.next_value()?,
                ListKey::Endpoints => list.endpoints = Some(members.next_value::<Entries>()?.0),
                ListKey::Unknown => drop(members.next_value::<IgnoredAny>()?),
            }
        }
        list.resolve().map_err(Error::custom)
    }
}

/// The entries of a list. Each entry is validated as soon as it is read.
struct Entries(Vec<ResolvedEndpoint>);

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EntriesVisitor)
    }
}

struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = Entries;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array in endpoints")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Entries, A::Error> {
        let mut endpoints = Vec::new();
        while let Some(entry) = next_entry(&mut entries, endpoints.len())? {
            let endpoint = entry.resolve(endpoints.len()).map_err(Error::custom)?;
            endpoints.push(endpoint);
        }
        Ok(Entries(endpoints))
    }
}

/// Reads the next entry. Adds the path of the entry to an error, which contains no path yet.
fn next_entry<'de, A: SeqAccess<'de>>(
    entries: &mut A,
    index: usize,
) -> Result<Option<RawEntry<'de>>, A::Error> {
    entries
        .next_element()
        .map_err(|error| Error::custom(format_args!("endpoints[{index}]: {error}")))
}
