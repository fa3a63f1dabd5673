//! Deserializes the configuration file. The cached endpoint list is kept separate from the other
//! members, because it is long and is not compared when the configuration is reloaded: a running
//! proxy holds a newer list.

use crate::discovery::endpoint_list::EndpointList;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// The key of the cached endpoint list.
const CACHED_ENDPOINTS_KEY: &str = "known";

/// The content of the configuration file.
pub(super) struct ConfigDocument {
    /// The cached endpoint list, if the file contains one.
    pub cached_endpoints: Option<EndpointList>,
    /// All other members, as a JSON object.
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
        f.write_str("a JSON object with the configuration of the proxy")
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
