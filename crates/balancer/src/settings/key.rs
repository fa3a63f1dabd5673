//! Access to the values of a JSON document, with errors that contain the path of the value.

use super::InvalidValue;
use crate::Micros;
use serde_json::Value;

/// A path in a JSON document, and the value at this path if there is one.
///
/// The methods that read the value return an error if it is missing or has an unexpected form.
pub struct Key<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Key<'a> {
    /// The root of a document.
    pub fn root(value: &'a Value) -> Key<'a> {
        Key {
            path: String::new(),
            value: Some(value),
        }
    }

    /// The member `name` of the object at this path. The member and the object may be missing.
    pub fn get(&self, name: &str) -> Key<'a> {
        let path = if self.path.is_empty() {
            name.into()
        } else {
            format!("{}.{name}", self.path)
        };
        Key {
            path,
            value: self.value.and_then(|value| value.get(name)),
        }
    }

    /// The value without a check of its type; `None` if it is missing or null.
    pub fn value(&self) -> Option<&'a Value> {
        self.value.filter(|value| !value.is_null())
    }

    /// Reads the value as an array and returns its items.
    pub fn list(&self) -> Result<Vec<Key<'a>>, InvalidValue> {
        let items = self.require(self.value.and_then(Value::as_array), "an array")?;
        let mut keys = Vec::with_capacity(items.len());
        for (index, value) in items.iter().enumerate() {
            keys.push(Key {
                path: format!("{}[{index}]", self.path),
                value: Some(value),
            });
        }
        Ok(keys)
    }

    /// Reads the value as a string.
    pub fn text(&self) -> Result<&'a str, InvalidValue> {
        self.require(self.value.and_then(Value::as_str), "text")
    }

    /// Reads the value as a boolean.
    pub fn flag(&self) -> Result<bool, InvalidValue> {
        self.require(self.value.and_then(Value::as_bool), "true or false")
    }

    /// Reads the value as a number.
    pub fn real(&self) -> Result<f64, InvalidValue> {
        self.require(self.value.and_then(Value::as_f64), "a number")
    }

    /// Reads the value as a number; returns `default` if the value is missing.
    pub fn real_or(&self, default: f64) -> Result<f64, InvalidValue> {
        match self.value {
            Some(_) => self.real(),
            None => Ok(default),
        }
    }

    /// Reads the value as an integer from 0 to `u32::MAX`.
    pub fn count(&self) -> Result<u32, InvalidValue> {
        let number = self.value.and_then(Value::as_u64);
        let count = number.and_then(|number| u32::try_from(number).ok());
        self.require(count, "an integer from 0 to 4294967295")
    }

    /// Reads the value as a time span in whole microseconds.
    pub fn micros(&self) -> Result<Micros, InvalidValue> {
        let number = self.value.and_then(Value::as_u64);
        let micros = self.require(number, "whole microseconds")?;
        Ok(Micros(micros))
    }

    /// Returns `parsed`, the result of the caller's attempt to parse the value. If it is `None`,
    /// returns the error that the value is missing or is not `expected`.
    pub fn require<T>(&self, parsed: Option<T>, expected: &'static str) -> Result<T, InvalidValue> {
        parsed.ok_or_else(|| self.error(expected))
    }

    /// The error that the value is missing or is not `expected`.
    pub fn error(&self, expected: &'static str) -> InvalidValue {
        let got = self.value.map(Value::to_string);
        InvalidValue::new(self.path.clone(), expected, got)
    }
}
