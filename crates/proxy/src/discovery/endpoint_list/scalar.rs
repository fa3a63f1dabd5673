//! A value of a JSON document that is read whatever its type is and validated afterwards. This way
//! an error can contain the path of the value, the expected value and the actual value.

use brookstack_balancer::settings::InvalidValue;
use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::borrow::Cow;
use std::fmt;

/// A JSON value, reduced to what an endpoint list or an error message needs. The contents of arrays
/// and objects are not kept.
#[derive(Default)]
pub(super) enum Scalar<'a> {
    /// The object has no member with this key.
    #[default]
    Missing,
    Null,
    Bool(bool),
    Unsigned(u64),
    Float(f64),
    Text(Cow<'a, str>),
    Compound,
}

impl Scalar<'_> {
    /// The error for this value at `path`. The path is formatted only here, because most values are
    /// valid.
    pub fn invalid(&self, path: impl fmt::Display, expected: &'static str) -> InvalidValue {
        let got = match self {
            Scalar::Missing => None,
            value => Some(value.to_string()),
        };
        InvalidValue::new(path.to_string(), expected, got)
    }

    /// The value if it is a string.
    pub fn as_text(&self) -> Option<&str> {
        match self {
            Scalar::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The value if it is a boolean.
    pub fn as_bool(&self) -> Option<bool> {
        match self {
            Scalar::Bool(value) => Some(*value),
            _ => None,
        }
    }

    /// The value if it is an integer of 0 or more.
    pub fn as_unsigned(&self) -> Option<u64> {
        match self {
            Scalar::Unsigned(value) => Some(*value),
            _ => None,
        }
    }

    /// The value if it is a number.
    pub fn as_float(&self) -> Option<f64> {
        match self {
            Scalar::Unsigned(value) => Some(*value as f64),
            Scalar::Float(value) => Some(*value),
            _ => None,
        }
    }
}

impl fmt::Display for Scalar<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scalar::Missing => f.write_str("nothing"),
            Scalar::Null => f.write_str("null"),
            Scalar::Bool(value) => write!(f, "{value}"),
            Scalar::Unsigned(value) => write!(f, "{value}"),
            Scalar::Float(value) => write!(f, "{value}"),
            Scalar::Text(value) => write!(f, "{value:?}"),
            Scalar::Compound => f.write_str("an array or an object"),
        }
    }
}

impl<'de> Deserialize<'de> for Scalar<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ScalarVisitor)
    }
}

struct ScalarVisitor;

impl<'de> Visitor<'de> for ScalarVisitor {
    type Value = Scalar<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Unsigned(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Float(value as f64))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Float(value))
    }

    fn visit_borrowed_str<E>(self, value: &'de str) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Text(Cow::Borrowed(value)))
    }

    fn visit_str<E>(self, value: &str) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Text(Cow::Owned(value.into())))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Scalar<'de>, A::Error> {
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Scalar::Compound)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut members: A) -> Result<Scalar<'de>, A::Error> {
        while members.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Scalar::Compound)
    }
}
