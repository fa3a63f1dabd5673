//! One value of a message.

use crate::error::MessageError;
use serde_json::Value;

/// Digits of a request id on the wire.
const REQUEST_ID_DIGITS: usize = 16;

/// One value of a message. It knows its place, which an error names. Its methods check the value
/// and take the text that the error gives for what was expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field<'a> {
    message: &'static str,
    index: usize,
    value: &'a Value,
}

impl<'a> Field<'a> {
    /// The value with this index, from 0 after the name, in a message of this name.
    pub fn new(message: &'static str, index: usize, value: &'a Value) -> Field<'a> {
        Field {
            message,
            index,
            value,
        }
    }

    /// The value, unchecked.
    pub fn value(self) -> &'a Value {
        self.value
    }

    /// The error that the value is not what was expected.
    pub fn invalid(self, expected: &'static str) -> MessageError {
        MessageError::InvalidValue {
            message: self.message,
            index: self.index,
            expected,
            got: self.value.clone(),
        }
    }

    /// The value as text.
    pub fn text(self, expected: &'static str) -> Result<&'a str, MessageError> {
        self.value.as_str().ok_or_else(|| self.invalid(expected))
    }

    /// The value as a whole number of 0 or more.
    pub fn unsigned(self, expected: &'static str) -> Result<u64, MessageError> {
        self.value.as_u64().ok_or_else(|| self.invalid(expected))
    }

    /// The value as true or false.
    pub fn boolean(self, expected: &'static str) -> Result<bool, MessageError> {
        self.value.as_bool().ok_or_else(|| self.invalid(expected))
    }

    /// The value as an array.
    pub fn array(self, expected: &'static str) -> Result<&'a [Value], MessageError> {
        match self.value {
            Value::Array(items) => Ok(items),
            _ => Err(self.invalid(expected)),
        }
    }

    /// The value as a request id: 16 lower-case hex digits.
    pub fn request_id(self) -> Result<u64, MessageError> {
        let text = self.text("a request id of 16 hex digits")?;
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
