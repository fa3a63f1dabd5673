//! Messages of the simulator. Each line is a JSON array of a message's name and its values.
//!
//! A message is decoded in three steps, because the values of some messages must not be checked:
//!
//! 1. [`EncodedMessage::from_json`] checks the name and the number of values of every message.
//! 2. [`Message::decode`] decodes the values of a message, except those of an event. It is called
//!    only once the clock of the batch is set: until then, every message except `TICK` is rejected
//!    before its values are decoded.
//! 3. [`crate::event::decode`] decodes the values of an event if the instance has a balancer. An
//!    event for an instance whose settings were invalid is skipped, even if its values are invalid.
//!
//! Decoded messages borrow from the line.

mod decode;
mod encoded;
mod field;
mod kind;

#[cfg(test)]
mod tests;

pub use decode::decode_clock;
pub use encoded::{EncodedEvent, EncodedMessage, InstanceReference};
pub use field::Field;
pub use kind::{EventKind, MessageKind};

use brookstack_balancer::Time;
use serde_json::Value;

/// The number that the simulator has assigned to an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ListNumber(pub u64);

/// A message whose values are decoded, except for those of an event.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// Starts a batch if none is open, and sets its clock.
    SetClock {
        /// The time of the messages that follow.
        now: Time,
    },
    /// Ends the batch: its reply must be written.
    EndBatch,
    /// Stores an endpoint list, replacing any earlier list with the same number.
    StoreEndpointList {
        /// The number of the list.
        number: ListNumber,
        /// The rows of the list, which are not decoded yet.
        rows: &'a [Value],
    },
    /// Creates an instance, replacing any earlier instance with the same name.
    CreateInstance {
        /// The name of the instance.
        name: &'a str,
        /// The seed of the instance's random number generator.
        seed: u64,
        /// The settings of the instance, to be decoded by the balancer's settings reader.
        settings: &'a Value,
    },
    /// Removes an instance.
    RemoveInstance {
        /// The instance to remove.
        instance: InstanceReference<'a>,
    },
    /// Reports an event to an instance.
    Event {
        /// The instance that gets the event.
        instance: InstanceReference<'a>,
        /// The event, whose values are not decoded yet.
        event: EncodedEvent<'a>,
    },
}
