//! A reader for JSON documents whose errors name the path of the value.

use super::InvalidValue;
use crate::Micros;
use serde_json::Value;

/// A place in a JSON document: the path that leads to it and the value that stands there, if any.
pub struct Key<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Key<'a> {
    /// The whole document.
    pub fn root(value: &'a Value) -> Key<'a> {
        Key {
            path: String::new(),
            value: Some(value),
        }
    }

    /// A member of an object.
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

    /// The value as it is; `None` if it is missing or null.
    pub fn value(&self) -> Option<&'a Value> {
        self.value.filter(|value| !value.is_null())
    }

    /// The items of an array.
    pub fn list(&self) -> Result<Vec<Key<'a>>, InvalidValue> {
        let items = self.want(self.value.and_then(Value::as_array), "an array")?;
        let mut keys = Vec::with_capacity(items.len());
        for (index, value) in items.iter().enumerate() {
            keys.push(Key {
                path: format!("{}[{index}]", self.path),
                value: Some(value),
            });
        }
        Ok(keys)
    }

    /// A text.
    pub fn text(&self) -> Result<&'a str, InvalidValue> {
        self.want(self.value.and_then(Value::as_str), "text")
    }

    /// A truth value.
    pub fn flag(&self) -> Result<bool, InvalidValue> {
        self.want(self.value.and_then(Value::as_bool), "true or false")
    }

    /// A number.
    pub fn real(&self) -> Result<f64, InvalidValue> {
        self.want(self.value.and_then(Value::as_f64), "a number")
    }

    /// A number, or `default` if there is no value.
    pub fn real_or(&self, default: f64) -> Result<f64, InvalidValue> {
        match self.value {
            Some(_) => self.real(),
            None => Ok(default),
        }
    }

    /// A whole number that is not negative.
    pub fn count(&self) -> Result<u32, InvalidValue> {
        let number = self.value.and_then(Value::as_u64);
        let count = number.and_then(|number| u32::try_from(number).ok());
        self.want(count, "a whole number")
    }

    /// A time span in whole microseconds.
    pub fn micros(&self) -> Result<Micros, InvalidValue> {
        let number = self.value.and_then(Value::as_u64);
        let micros = self.want(number, "whole microseconds")?;
        Ok(Micros(micros))
    }

    /// Returns `parsed`, which the caller has made of the value; if it is `None`, the error that
    /// the value is not as expected.
    pub fn want<T>(&self, parsed: Option<T>, expected: &'static str) -> Result<T, InvalidValue> {
        parsed.ok_or_else(|| self.error(expected))
    }

    /// The error that the value is missing or not as expected.
    pub fn error(&self, expected: &'static str) -> InvalidValue {
        let got = self.value.map(Value::to_string);
        InvalidValue::new(self.path.clone(), expected, got)
    }
}
