//! The configuration file as JSON. The cached endpoint list is kept apart from the other members:
//! it is long, and it takes no part in the comparison of two documents, because a running proxy
//! holds a newer list.

use crate::discovery::endpoint_list::EndpointList;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// The key of the cached endpoint list.
const CACHED_ENDPOINTS_KEY: &str = "known";

/// The configuration file's content.
pub(super) struct ConfigDocument {
    /// The cached endpoint list.
    pub cached_endpoints: Option<EndpointList>,
    /// All other members, as an object.
    pub other_members: Value,
}

impl<'de> Deserialize<'de> for ConfigDocument {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(DocumentVisitor)
    }
}

struct DocumentVisitor;

impl<'de> Visitor<'de> for DocumentVisitor {
    type Value = ConfigDocument;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut members: A) -> Result<ConfigDocument, A::Error> {
        let mut cached_endpoints = None;
        let mut other_members = Map::new();
        while let Some(key) = members.next_key::<String>()? {
            if key == CACHED_ENDPOINTS_KEY {
                cached_endpoints = members.next_value().map_err(|error| {
                    Error::custom(format_args!("{CACHED_ENDPOINTS_KEY}.{error}"))
                })?;
            } else {
                other_members.insert(key, members.next_value()?);
            }
        }
        Ok(ConfigDocument {
            cached_endpoints,
            other_members: Value::Object(other_members),
        })
    }
}
