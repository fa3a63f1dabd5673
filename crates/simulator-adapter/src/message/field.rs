//! A single value of a message.

use crate::error::MessageError;
use serde_json::Value;

/// Number of hexadecimal digits in a request id on the wire.
const REQUEST_ID_DIGITS: usize = 16;

/// A value of a message together with its position, which errors report. The methods check the
/// type of the value; their `expected` argument is the description of a valid value for the error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field<'a> {
    message: &'static str,
    index: usize,
    value: &'a Value,
}

impl<'a> Field<'a> {
    /// Creates the field for the value at `index` of the message with the name `message`. The first
    /// value after the name has index 0.
    pub fn new(message: &'static str, index: usize, value: &'a Value) -> Field<'a> {
        Field {
            message,
            index,
            value,
        }
    }

    /// Returns the value without checking it.
    pub fn value(self) -> &'a Value {
        self.value
    }

    /// Returns the error that the value does not match `expected`.
    pub fn invalid(self, expected: &'static str) -> MessageError {
        MessageError::InvalidValue {
            message: self.message,
            index: self.index,
            expected,
            got: self.value.clone(),
        }
    }

    /// Returns the value as a string.
    pub fn text(self, expected: &'static str) -> Result<&'a str, MessageError> {
        self.value.as_str().ok_or_else(|| self.invalid(expected))
    }

    /// Returns the value as an unsigned integer.
    pub fn unsigned(self, expected: &'static str) -> Result<u64, MessageError> {
        self.value.as_u64().ok_or_else(|| self.invalid(expected))
    }

    /// Returns the value as a boolean.
    pub fn boolean(self, expected: &'static str) -> Result<bool, MessageError> {
        self.value.as_bool().ok_or_else(|| self.invalid(expected))
    }

    /// Returns the elements of the value, which must be an array.
    pub fn array(self, expected: &'static str) -> Result<&'a [Value], MessageError> {
        match self.value {
            Value::Array(items) => Ok(items),
            _ => Err(self.invalid(expected)),
        }
    }

    /// Returns the value as a request id, which is written as 16 lower-case hexadecimal digits.
    pub fn request_id(self) -> Result<u64, MessageError> {
        let text = self.text("a request id as a string")?;
        parse_request_id(text)
            .ok_or_else(|| self.invalid("a request id of 16 lower-case hex digits"))
    }
}

fn parse_request_id(text: &str) -> Option<u64> {
    let is_digit = |byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != REQUEST_ID_DIGITS || !text.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
