//! The queue of the scheduled events of a simulation, in the order of time.

use brookstack_balancer::{AttemptNumber, Micros, Outcome, RequestId, Time, TimerToken};
use std::collections::BTreeMap;

/// A scheduled event of a simulation.
pub enum SimulationEvent {
    /// A request arrives at a proxy.
    Arrival {
        /// The proxy.
        proxy: usize,
    },
    /// A timer of a proxy's balancer fires.
    Timer {
        /// The proxy.
        proxy: usize,
        /// The generation of proxy processes that set the timer.
        generation: u32,
        /// The token of the timer.
        token: TimerToken,
    },
    /// An attempt ends.
    AttemptEnd(FinishedAttempt),
    /// The fault: backends restart, are removed or become faulty.
    Fault,
    /// All proxies restart.
    ProxiesRestart,
}

/// An attempt that has ended.
pub struct FinishedAttempt {
    /// The proxy that dispatched it.
    pub proxy: usize,
    /// The generation of proxy processes that dispatched it.
    pub generation: u32,
    /// Its request.
    pub request: RequestId,
    /// Its number within the request.
    pub attempt: AttemptNumber,
    /// The backend that it was dispatched to.
    pub backend: usize,
    /// When it was dispatched.
    pub dispatched_at: Time,
    /// How it ended.
    pub outcome: Outcome,
}

/// The events that have not occurred yet.
pub struct EventQueue {
    tick: Micros,
    events: BTreeMap<EventKey, SimulationEvent>,
    last_sequence_number: u64,
}

/// The order of the events: by time, and at the same time in the order in which they were
/// scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Time,
    sequence_number: u64,
}

impl EventQueue {
    /// Creates an empty queue for a clock with the given tick.
    pub fn new(tick: Micros) -> EventQueue {
        EventQueue {
            tick,
            events: BTreeMap::new(),
            last_sequence_number: 0,
        }
    }

    /// Schedules an event at the end of the tick that contains `at`, because proxies receive events
    /// once per tick.
    pub fn schedule(&mut self, at: Time, event: SimulationEvent) {
        self.last_sequence_number += 1;
        let tick = self.tick.0;
        let key = EventKey {
            at: Time(at.0.div_ceil(tick) * tick),
            sequence_number: self.last_sequence_number,
        };
        self.events.insert(key, event);
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Time, SimulationEvent)> {
        let (key, event) = self.events.pop_first()?;
        Some((key.at, event))
    }
}
