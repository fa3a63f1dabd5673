//! Decodes the values of messages, except those of events.

use super::{EncodedEvent, EncodedMessage, ListNumber, Message, MessageKind};
use crate::error::MessageError;
use brookstack_balancer::Time;

/// Prefix of every instance name; a number follows it.
const INSTANCE_PREFIX: &str = "proxy-";
/// The highest valid number of an endpoint list.
const MAX_LIST_NUMBER: u64 = 15;
const EXPECTED_LIST_NUMBER: &str = "an endpoint list number from 0 to 15";

impl<'a> Message<'a> {
    /// Decodes the values of a message, except those of an event.
    ///
    /// # Errors
    /// A value has the wrong type or is out of range.
    pub fn decode(message: &EncodedMessage<'a>) -> Result<Message<'a>, MessageError> {
        match message.kind() {
            MessageKind::SetClock => {
                let now = decode_clock(message)?;
                Ok(Message::SetClock { now })
            }
            MessageKind::EndBatch => Ok(Message::EndBatch),
            MessageKind::StoreEndpointList => decode_endpoint_list(message),
            MessageKind::CreateInstance => decode_new_instance(message),
            MessageKind::RemoveInstance => {
                let instance = message.instance()?;
                Ok(Message::RemoveInstance { instance })
            }
            MessageKind::Event(kind) => {
                let instance = message.instance()?;
                let event = EncodedEvent::new(kind, *message);
                Ok(Message::Event { instance, event })
            }
        }
    }
}

/// Decodes the time of [`MessageKind::SetClock`].
///
/// # Errors
/// The time is not an unsigned integer.
pub fn decode_clock(message: &EncodedMessage) -> Result<Time, MessageError> {
    let [time] = message.fields()?;
    let micros = time.unsigned("a time in microseconds")?;
    Ok(Time(micros))
}

fn decode_endpoint_list<'a>(message: &EncodedMessage<'a>) -> Result<Message<'a>, MessageError> {
    let [number_field, rows] = message.fields()?;
    let number = number_field.unsigned(EXPECTED_LIST_NUMBER)?;
    if number > MAX_LIST_NUMBER {
        return Err(number_field.invalid(EXPECTED_LIST_NUMBER));
    }
    let rows = rows.array("an array of endpoint list rows")?;
    Ok(Message::StoreEndpointList {
        number: ListNumber(number),
        rows,
    })
}

fn decode_new_instance<'a>(message: &EncodedMessage<'a>) -> Result<Message<'a>, MessageError> {
    let [name_field, seed, settings] = message.fields()?;
    let name = name_field.text("an instance name")?;
    if !is_instance_name(name) {
        return Err(name_field.invalid("an instance name such as proxy-3"));
    }
    let seed = seed.unsigned("a seed of 0 or more")?;
    Ok(Message::CreateInstance {
        name,
        seed,
        settings: settings.value(),
    })
}

/// Returns whether a name consists of `proxy-` and a number. Replies contain the name without JSON
/// escaping, so it must not contain a character that JSON escapes.
fn is_instance_name(name: &str) -> bool {
    match name.strip_prefix(INSTANCE_PREFIX) {
        Some(number) => number.parse::<u64>().is_ok(),
        None => false,
    }
}
