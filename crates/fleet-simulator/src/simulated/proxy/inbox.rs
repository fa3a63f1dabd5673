//! The inputs that are in transit to one proxy.

use crate::simulated::messages::ProxyInput;
use brookstack_balancer::Time;
use std::collections::BTreeMap;

/// The sort key of inputs: the time at which they reach the proxy, then the order of sending.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    at: Time,
    sequence_number: u64,
}

/// An input that has reached the proxy.
pub(super) struct ArrivedInput {
    pub(super) at: Time,
    pub(super) input: ProxyInput,
}

/// The queue of inputs that the proxy has not taken yet.
#[derive(Default)]
pub(super) struct Inbox {
    inputs: BTreeMap<Position, ProxyInput>,
    inputs_so_far: u64,
}

impl Inbox {
    /// Adds an input that reaches the proxy at the time `at`.
    pub(super) fn push(&mut self, at: Time, input: ProxyInput) {
        self.inputs_so_far += 1;
        let sequence_number = self.inputs_so_far;
        let position = Position {
            at,
            sequence_number,
        };
        self.inputs.insert(position, input);
    }

    /// When the next input reaches the proxy.
    pub(super) fn next_at(&self) -> Option<Time> {
        let (position, _) = self.inputs.first_key_value()?;
        Some(position.at)
    }

    /// Removes the next input and returns it, even if it has not reached the proxy yet.
    pub(super) fn pop(&mut self) -> Option<ArrivedInput> {
        let (position, input) = self.inputs.pop_first()?;
        Some(ArrivedInput {
            at: position.at,
            input,
        })
    }

    /// Drops all inputs.
    pub(super) fn clear(&mut self) {
        self.inputs.clear();
    }
}
