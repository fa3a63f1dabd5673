//! Messages whose name and number of values are valid and whose values are not decoded yet.

use super::field::Field;
use super::kind::{EventKind, MessageKind, WireFormat};
use crate::error::MessageError;
use serde_json::Value;
use std::array;

/// Index of the instance name among the values of every message that refers to an instance.
const INSTANCE_INDEX: usize = 0;

/// A message whose values are not decoded yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EncodedMessage<'a> {
    format: &'static WireFormat,
    values: &'a [Value],
}

impl<'a> EncodedMessage<'a> {
    /// Finds the wire format of a message by its name and checks the number of values.
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
        let Some(format) = WireFormat::find_by_name(name) else {
            return Err(MessageError::UnknownName(name.clone()));
        };
        let message = EncodedMessage { format, values };
        message.check_value_count(format.value_count)?;
        Ok(message)
    }

    /// Returns the kind of the message.
    pub fn kind(&self) -> MessageKind {
        self.format.kind
    }

    /// Returns the message's name on the wire.
    pub fn name(&self) -> &'static str {
        self.format.name
    }

    /// Returns all values in wire order.
    ///
    /// # Errors
    /// The message does not have `COUNT` values.
    pub fn fields<const COUNT: usize>(&self) -> Result<[Field<'a>; COUNT], MessageError> {
        self.check_value_count(COUNT)?;
        Ok(array::from_fn(|index| self.field(index)))
    }

    /// Returns the instance that the message refers to. It must not be called for messages that do
    /// not refer to an instance, such as `END`.
    ///
    /// # Errors
    /// The instance name is not a string.
    pub fn instance(&self) -> Result<InstanceReference<'a>, MessageError> {
        let field = self.field(INSTANCE_INDEX);
        let name = field.text("an instance name")?;
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
    /// Creates an event of this kind from the message that reports it.
    pub fn new(kind: EventKind, message: EncodedMessage<'a>) -> EncodedEvent<'a> {
        EncodedEvent { kind, message }
    }

    /// Returns the kind of the event.
    pub fn kind(&self) -> EventKind {
        self.kind
    }

    /// Returns all values of the message in wire order. The first one is the instance name.
    ///
    /// # Errors
    /// The message does not have `COUNT` values.
    pub fn fields<const COUNT: usize>(&self) -> Result<[Field<'a>; COUNT], MessageError> {
        self.message.fields()
    }
}

/// A message's reference to an instance by its name. The instance does not necessarily exist.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceReference<'a> {
    field: Field<'a>,
    name: &'a str,
}

impl<'a> InstanceReference<'a> {
    /// Returns the name of the instance.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// Returns the error that no instance with this name exists.
    pub fn unknown(&self) -> MessageError {
        self.field.invalid("a known instance")
    }
}
