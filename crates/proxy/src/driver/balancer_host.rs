//! Collects the events for the balancer's next tick, keeps its timers, and restarts it after a
//! panic.

use brookstack_balancer::{
    Action, Balancer, Config, ConfigError, Endpoint, EndpointUpdate, Event, ListEvidence, Micros,
    RequestId, Time, TimerQueue, TimerToken,
};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The error for a balancer that panicked while it handled an event.
#[derive(Debug, thiserror::Error)]
#[error("the balancer panicked")]
pub struct BalancerPanicked;

/// The balancer, the events for its next tick and its timers. The balancer handles events once per
/// tick.
pub struct BalancerHost {
    config: Config,
    /// The seed of the balancer's random number generator. Each restart uses a different seed.
    seed: u64,
    balancer: Balancer,
    timers: TimerQueue,
    /// The events for the next tick, in the order in which they were reported.
    events: Vec<Event>,
    /// The earliest time at which the next tick may start.
    next_tick: Time,
}

impl BalancerHost {
    /// Creates a balancer. Fails if the configuration is invalid.
    pub fn new(config: Config, seed: u64) -> Result<BalancerHost, ConfigError> {
        Ok(BalancerHost {
            balancer: Balancer::new(config.clone(), seed)?,
            config,
            seed,
            timers: TimerQueue::default(),
            events: Vec::new(),
            next_tick: Time(0),
        })
    }

    /// Adds an event for the next tick.
    pub fn report(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Sets a timer. The first tick after it expires includes its event.
    pub fn set_timer(&mut self, expires_at: Time, token: TimerToken) {
        self.timers.set(expires_at, token);
    }

    /// The earliest time at which the next tick may start.
    pub fn next_tick(&self) -> Time {
        self.next_tick
    }

    /// The time at which the balancer next has an event to handle if no more events are reported:
    /// the next tick if there are events, otherwise the next expiry of a timer.
    pub fn next_due(&self) -> Time {
        if self.events.is_empty() {
            self.timers.next_expiry().unwrap_or(Time::NEVER)
        } else {
            self.next_tick
        }
    }

    /// The time after which a client may retry if its request is rejected now.
    pub fn retry_after(&self) -> Micros {
        self.balancer.retry_after()
    }

    /// Why the endpoint list may be used at `now`, or that it may not.
    pub fn list_evidence(&self, now: Time) -> ListEvidence {
        self.balancer.list_evidence(now)
    }

    /// The time before which the first byte of a request's newest attempt must be sent, as of
    /// `now`, or `None` if there is no such limit. After that time the endpoint list must not be
    /// used, or backends may have forgotten the request's idempotency key.
    pub fn send_by(&self, now: Time, request: RequestId) -> Option<Time> {
        self.balancer.send_by(now, request)
    }

    /// Starts a tick: takes the reported events, followed by the events of expired timers. If there
    /// are no events, no tick starts and the time of the next tick does not change.
    pub fn start_tick(&mut self, now: Time) -> Vec<Event> {
        while let Some(token) = self.timers.pop_expired(now) {
            self.events.push(Event::Timer { token });
        }
        if !self.events.is_empty() {
            // Ticks start at multiples of the tick length. If the next tick were scheduled relative
            // to the start of this one, every late wake-up would delay all later ticks.
            let tick = self.config.tick;
            let started_at = Time(now.0 - now.0 % tick.0);
            self.next_tick = started_at + tick;
        }
        std::mem::take(&mut self.events)
    }

    /// Passes an event of the current tick to the balancer, which adds its actions to `actions`. If
    /// the balancer panics, the actions that it added before the panic remain in `actions`.
    pub fn handle(
        &mut self,
        now: Time,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), BalancerPanicked> {
        let balancer = &mut self.balancer;
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        handled.map_err(|_| BalancerPanicked)
    }

    /// Replaces the balancer after a panic, because its state may be inconsistent. The new balancer
    /// starts with the given endpoint list and without the timers and events of the old one. If the
    /// configuration is rejected as invalid, the old balancer stays in use.
    pub fn restart(&mut self, endpoints: Vec<Endpoint>) {
        self.seed = self.seed.wrapping_add(1);
        match Balancer::new(self.config.clone(), self.seed) {
            Ok(balancer) => self.balancer = balancer,
            Err(error) => tracing::error!(
                "could not restart the balancer, so the old one stays in use: \
                 invalid configuration: {error}"
            ),
        }
        self.timers.clear();
        self.events.clear();
        self.events.push(Event::EndpointsUpdated {
            update: EndpointUpdate::Cached,
            endpoints,
        });
    }

    /// The events that have been reported for the next tick.
    #[cfg(test)]
    pub fn reported_events(&self) -> &[Event] {
        &self.events
    }
}

#[cfg(test)]
mod tests;
