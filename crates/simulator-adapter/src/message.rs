//! Messages of the simulator. A line is a JSON array of a message's name and its values.
//!
//! A message is decoded in three steps, because not every message may be checked completely:
//!
//! 1. [`EncodedMessage::from_json`] checks the name and the number of values of every line.
//! 2. [`Message::decode`] decodes the values once the clock of the batch is set. It leaves out the
//!    values of an event.
//! 3. [`crate::event::decode`] decodes the values of an event once its instance is known to run. An
//!    event for an instance whose settings were invalid is skipped whatever its values are.
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

/// The number of an endpoint list, which the simulator assigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ListNumber(pub u64);

/// A message with its values, except those of an event.
#[derive(Debug, PartialEq)]
pub enum Message<'a> {
    /// The clock of the batch that follows.
    SetClock {
        /// The time of every message of the batch.
        now: Time,
    },
    /// The batch is complete and the reply is due.
    EndBatch,
    /// An endpoint list, which replaces an earlier list of the same number.
    StoreEndpointList {
        /// The number of the list.
        number: ListNumber,
        /// The rows of the list, which are not decoded yet.
        rows: &'a [Value],
    },
    /// A new instance, which replaces an earlier instance of the same name.
    CreateInstance {
        /// The name of the instance.
        name: &'a str,
        /// The seed of the instance's random generator.
        seed: u64,
        /// The settings of the instance, which the balancer's settings reader decodes.
        settings: &'a Value,
    },
    /// An instance has gone.
    RemoveInstance {
        /// The instance.
        instance: InstanceReference<'a>,
    },
    /// Something happened to an instance.
    Event {
        /// The instance.
        instance: InstanceReference<'a>,
        /// The event, whose values are not decoded yet.
        event: EncodedEvent<'a>,
    },
}
