//! Owns the instances of this process and executes each message.

use crate::encode;
use crate::endpoint_lists::EndpointLists;
use crate::error::{InvalidSettings, MessageError};
use crate::event;
use crate::message::{
    decode_clock, EncodedEvent, EncodedMessage, InstanceReference, Message, MessageKind,
};
use crate::PROGRAM_NAME;
use brookstack_balancer::settings::{self, Key, Names, Settings};
use brookstack_balancer::{Action, Balancer, ListTerms, Time};
use serde_json::Value;
use std::collections::HashMap;

/// Whether a batch is complete once a message has been handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchState {
    /// More messages of the batch follow.
    Open,
    /// The batch has ended: its reply is complete and must be written now.
    Complete,
}

/// One simulated proxy.
struct Instance {
    balancer: Balancer,
    /// Maps the class and tenant names in events to ids.
    names: Names,
}

impl Instance {
    /// Creates an instance from its settings and the seed of its random number generator.
    fn new(settings: &Value, seed: u64) -> Result<Instance, InvalidSettings> {
        let Settings { mut config, names } = settings::read(&Key::root(settings))?;
        config.list_terms = ListTerms::WhilePolling;
        let balancer = Balancer::new(config, seed)?;
        Ok(Instance { balancer, names })
    }
}

/// All instances of this process, the endpoint lists that they share, and the clock.
#[derive(Default)]
pub struct Host {
    /// Instances by name. The value is `None` for an instance whose settings were invalid; its
    /// events are skipped.
    instances: HashMap<String, Option<Instance>>,
    lists: EndpointLists,
    /// The clock of the current batch, or `None` between two batches.
    now: Option<Time>,
    /// Buffer for the actions of one event, empty between two messages. It is a field so that its
    /// allocation is reused.
    actions: Vec<Action>,
}

impl Host {
    /// Handles one line of input and appends its reply lines to `reply`.
    ///
    /// # Errors
    /// The line is not a valid message. The caller must not use the host after an error, because
    /// part of the message may already have taken effect.
    pub fn handle_line(
        &mut self,
        line: &str,
        reply: &mut Vec<u8>,
    ) -> Result<BatchState, MessageError> {
        let line: Value = serde_json::from_str(line)?;
        let message = EncodedMessage::from_json(&line)?;
        let Some(now) = self.now else {
            return self.start_batch(&message);
        };
        match Message::decode(&message)? {
            Message::SetClock { now } => self.now = Some(now),
            Message::EndBatch => {
                self.now = None;
                encode::write_end_of_reply(reply);
                return Ok(BatchState::Complete);
            }
            Message::StoreEndpointList { number, rows } => self.lists.store(number, rows)?,
            Message::CreateInstance {
                name,
                seed,
                settings,
            } => self.create_instance(name, seed, settings, reply),
            Message::RemoveInstance { instance } => self.remove_instance(instance)?,
            Message::Event { instance, event } => {
                self.handle_event(instance, &event, now, reply)?;
            }
        }
        Ok(BatchState::Open)
    }

    /// Starts a batch by setting its clock. Rejects every other message without decoding its
    /// values.
    ///
    /// # Errors
    /// The message is not [`MessageKind::SetClock`], or its time is invalid.
    fn start_batch(&mut self, message: &EncodedMessage) -> Result<BatchState, MessageError> {
        if message.kind() != MessageKind::SetClock {
            return Err(MessageError::ClockNotSet {
                message: message.name(),
            });
        }
        let now = decode_clock(message)?;
        self.now = Some(now);
        Ok(BatchState::Open)
    }

    /// Creates an instance. Invalid settings are reported in the reply and on standard error; they
    /// do not affect the other instances.
    fn create_instance(&mut self, name: &str, seed: u64, settings: &Value, reply: &mut Vec<u8>) {
        let instance = match Instance::new(settings, seed) {
            Ok(instance) => Some(instance),
            Err(error) => {
                eprintln!(
                    "{PROGRAM_NAME}: invalid settings for {name}, ignoring its events: {error}"
                );
                encode::write_invalid_settings(name, &error, reply);
                None
            }
        };
        self.instances.insert(name.into(), instance);
    }

    fn remove_instance(&mut self, instance: InstanceReference) -> Result<(), MessageError> {
        match self.instances.remove(instance.name()) {
            Some(_) => Ok(()),
            None => Err(instance.unknown()),
        }
    }

    /// Passes an event to its instance and writes the actions that the balancer returns.
    fn handle_event(
        &mut self,
        reference: InstanceReference,
        event: &EncodedEvent,
        now: Time,
        reply: &mut Vec<u8>,
    ) -> Result<(), MessageError> {
        let name = reference.name();
        let Some(entry) = self.instances.get_mut(name) else {
            return Err(reference.unknown());
        };
        let Some(instance) = entry else {
            // The settings were invalid. The reply to `CREATE` has reported that.
            return Ok(());
        };
        let Some(event) = event::decode(event, &instance.names, &self.lists)? else {
            return Ok(());
        };
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            encode::write_action(name, &action, &self.lists, reply);
        }
        Ok(())
    }
}
