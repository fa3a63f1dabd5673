//! One simulated proxy: a balancer with its own clients, on the simulated clock and without
//! sockets. It drives the balancer in the same way as the real proxy: once per tick it passes the
//! events to the balancer, then the expired timers.

mod actions;
mod clients;
pub mod connections;
mod events;
mod inbox;
mod open_requests;
mod request_counts;

use super::context::SharedContext;
use super::messages::{AttemptKey, ProxyInput, ProxyOutput};
use crate::failure::InputError;
use brookstack_balancer::{
    Action, AttemptNumber, Balancer, Config, ConfigError, Event, Micros, RequestId, Time,
    TimerQueue,
};
use clients::Clients;
use connections::Connections;
use inbox::Inbox;
use open_requests::OpenRequests;
pub use request_counts::RequestCounts;

/// How long a client waits for a response.
const CLIENT_TIMEOUT: Micros = Micros(2_000_000);

/// One simulated proxy.
pub struct Proxy {
    number: u32,
    config: Config,
    balancer: Balancer,
    clients: Clients,
    requests: OpenRequests,
    inbox: Inbox,
    timers: TimerQueue,
    /// Events that were produced in one tick and are passed to the balancer in the next.
    next_tick_events: Vec<Event>,
    /// A buffer for the balancer's actions, which is reused and is empty between events.
    actions: Vec<Action>,
    /// Outputs that the fleet has not processed yet.
    pub outputs: Vec<ProxyOutput>,
    /// The number of its requests by outcome.
    pub counts: RequestCounts,
    /// Its connections to backends.
    pub connections: Connections,
}

/// The seed of one process of a proxy, derived from the seed of the fleet.
fn process_seed(fleet_seed: u64, proxy: u32, process: u32) -> u64 {
    fleet_seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (u64::from(proxy) << 20) ^ u64::from(process)
}

impl Proxy {
    /// A proxy whose clients send `requests_per_second` from the time `start` on.
    pub fn new(
        config: Config,
        fleet_seed: u64,
        requests_per_second: f64,
        start: Time,
    ) -> Result<Proxy, InputError> {
        let number = config.proxy_index;
        let seed = process_seed(fleet_seed, number, 0);
        Ok(Proxy {
            clients: Clients::new(requests_per_second, start, seed)?,
            balancer: Balancer::new(config.clone(), seed)?,
            number,
            config,
            requests: OpenRequests::default(),
            inbox: Inbox::default(),
            timers: TimerQueue::default(),
            next_tick_events: Vec::new(),
            actions: Vec::new(),
            outputs: Vec::new(),
            counts: RequestCounts::default(),
            connections: Connections::default(),
        })
    }

    /// Queues an input, which reaches the proxy at the time `at`.
    pub fn deliver(&mut self, at: Time, input: ProxyInput) {
        self.inbox.push(at, input);
    }

    /// Replaces the process by a new one without delay. The clients stay. Returns the attempts that
    /// were in flight.
    pub fn restart(
        &mut self,
        fleet_seed: u64,
        process: u32,
    ) -> Result<Vec<AttemptKey>, ConfigError> {
        let seed = process_seed(fleet_seed, self.number, process);
        self.balancer = Balancer::new(self.config.clone(), seed)?;
        let interrupted = self.interrupt_requests();
        self.inbox.clear();
        self.timers.clear();
        self.next_tick_events.clear();
        self.connections.close_all();
        Ok(interrupted)
    }

    /// Drops all open requests. Returns their attempts in flight, sorted.
    fn interrupt_requests(&mut self) -> Vec<AttemptKey> {
        let dropped: Vec<_> = self.requests.drain().collect();
        let mut attempts = Vec::new();
        for (request, open) in dropped {
            self.counts.interrupted += u64::from(!open.is_answered);
            for attempt in open.in_flight {
                attempts.push(self.attempt_key(request, attempt.number));
            }
        }
        attempts.sort();
        attempts
    }

    /// The number of open requests that have no final response yet.
    pub fn unanswered(&self) -> u64 {
        self.requests.unanswered()
    }

    /// Runs one tick: passes all due events and expired timers to the balancer.
    pub fn tick(&mut self, now: Time, shared: &SharedContext) {
        if !self.is_due(now) {
            return;
        }
        let mut events = std::mem::take(&mut self.next_tick_events);
        self.take_inputs(now, &mut events);
        self.time_out_requests(now, &mut events);
        self.take_expired_timers(now, &mut events);
        for event in events {
            self.handle(now, event, shared);
        }
        self.close_unanswered_requests(now);
    }

    /// Whether there is anything to do in a tick at the time `now`.
    fn is_due(&self, now: Time) -> bool {
        !self.next_tick_events.is_empty()
            || self.clients.next_arrival() <= now
            || self.inbox.next_at().is_some_and(|at| at <= now)
            || self.has_expired_timer(now)
            || self.requests.is_due(now)
    }

    fn has_expired_timer(&self, now: Time) -> bool {
        self.timers
            .next_expiry()
            .is_some_and(|expires_at| expires_at <= now)
    }

    fn handle(&mut self, now: Time, event: Event, shared: &SharedContext) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action, shared);
        }
        self.actions = actions;
    }

    fn attempt_key(&self, request: RequestId, attempt: AttemptNumber) -> AttemptKey {
        AttemptKey {
            proxy: self.number,
            request,
            attempt,
        }
    }
}
