//! Messages whose name and number of values are right, and whose values are not decoded yet.

use super::field::Field;
use super::kind::{EventKind, MessageKind, WireFormat};
use crate::error::MessageError;
use serde_json::Value;
use std::array;

/// Index of the instance in every message that has one.
const INSTANCE: usize = 0;

/// A message whose values are not decoded yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EncodedMessage<'a> {
    format: &'static WireFormat,
    values: &'a [Value],
}

impl<'a> EncodedMessage<'a> {
    /// Reads the name of a message and checks the number of its values.
    ///
    /// # Errors
    /// The line is not an array, its name is missing or unknown, or it has too few or too many
    /// values.
    pub fn from_json(line: &'a Value) -> Result<EncodedMessage<'a>, MessageError> {
        let Value::Array(items) = line else {
            return Err(MessageError::NotAnArray);
        };
        let Some((Value::String(name), values)) = items.split_first() else {
            return Err(MessageError::MissingName);
        };
        let Some(format) = WireFormat::of_name(name) else {
            return Err(MessageError::UnknownName(name.clone()));
        };
        let message = EncodedMessage { format, values };
        message.check_value_count(format.value_count)?;
        Ok(message)
    }

    /// What the message is.
    pub fn kind(&self) -> MessageKind {
        self.format.kind
    }

    /// The message's name on the wire.
    pub fn name(&self) -> &'static str {
        self.format.name
    }

    /// All values, in the order of the wire.
    ///
    /// # Errors
    /// The message does not have `COUNT` values.
    pub fn fields<const COUNT: usize>(&self) -> Result<[Field<'a>; COUNT], MessageError> {
        self.check_value_count(COUNT)?;
        Ok(array::from_fn(|index| self.field(index)))
    }

    /// The instance that the message is for. Only messages that have one may be asked.
    ///
    /// # Errors
    /// The value is not text.
    pub fn instance(&self) -> Result<InstanceReference<'a>, MessageError> {
        let field = self.field(INSTANCE);
        let name = field.text("an instance")?;
        Ok(InstanceReference { field, name })
    }

    fn field(&self, index: usize) -> Field<'a> {
        Field::new(self.name(), index, &self.values[index])
    }

    fn check_value_count(&self, expected: usize) -> Result<(), MessageError> {
        if self.values.len() == expected {
            return Ok(());
        }
        Err(MessageError::ValueCount {
            message: self.name(),
            expected,
            got: self.values.len(),
        })
    }
}

/// An event whose values are not decoded yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EncodedEvent<'a> {
    kind: EventKind,
    message: EncodedMessage<'a>,
}

impl<'a> EncodedEvent<'a> {
    /// An event of this kind, which `message` reports.
    pub fn new(kind: EventKind, message: EncodedMessage<'a>) -> EncodedEvent<'a> {
        EncodedEvent { kind, message }
    }

    /// What happened.
    pub fn kind(&self) -> EventKind {
        self.kind
    }

    /// All values of the message, in the order of the wire. The first is the instance.
    ///
    /// # Errors
    /// The message does not have `COUNT` values.
    pub fn fields<const COUNT: usize>(&self) -> Result<[Field<'a>; COUNT], MessageError> {
        self.message.fields()
    }
}

/// The instance that a message is for. No such instance may exist.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceReference<'a> {
    field: Field<'a>,
    name: &'a str,
}

impl<'a> InstanceReference<'a> {
    /// The name of the instance.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// The error that no such instance exists.
    pub fn unknown(&self) -> MessageError {
        self.field.invalid("a known instance")
    }
}
