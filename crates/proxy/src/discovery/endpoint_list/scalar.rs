//! One value of a JSON document, read without regard to its type and checked afterwards, so that an
//! error can name its path, what was expected and what was got.

use brookstack_balancer::settings::InvalidValue;
use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::borrow::Cow;
use std::fmt;

/// A JSON value, kept as far as a list needs it or an error message shows it: of an array or an
/// object only that it is one.
#[derive(Default)]
pub(super) enum Scalar<'a> {
    /// The document has no such member.
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
    /// The error for this value at that path. The path is only written out here, as most values are
    /// valid.
    pub fn invalid(&self, path: impl fmt::Display, expected: &'static str) -> InvalidValue {
        let got = match self {
            Scalar::Missing => None,
            value => Some(value.to_string()),
        };
        InvalidValue::new(path.to_string(), expected, got)
    }

    /// The text of a string.
    pub fn as_text(&self) -> Option<&str> {
        match self {
            Scalar::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The value of `true` or `false`.
    pub fn as_bool(&self) -> Option<bool> {
        match self {
            Scalar::Bool(value) => Some(*value),
            _ => None,
        }
    }

    /// An integer of 0 or more.
    pub fn as_unsigned(&self) -> Option<u64> {
        match self {
            Scalar::Unsigned(value) => Some(*value),
            _ => None,
        }
    }

    /// Any number.
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
