//! Hosts the balancer: collects the events for its next tick, keeps its timers, and restarts it
//! after a panic.

use brookstack_balancer::{
    Action, Balancer, Config, ConfigError, Endpoint, EndpointUpdate, Event, Micros, RequestId,
    Time, TimerQueue, TimerToken,
};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The balancer panicked while it handled an event.
#[derive(Debug, thiserror::Error)]
#[error("the balancer panicked")]
pub struct BalancerPanicked;

/// The balancer, which handles events once a tick, with all that it needs between two ticks.
pub struct BalancerHost {
    config: Config,
    /// The seed of the balancer's random numbers; each restart uses another one.
    seed: u64,
    balancer: Balancer,
    timers: TimerQueue,
    /// The events for the next tick, in the order in which they were reported.
    events: Vec<Event>,
    /// The next tick starts at this time or later.
    next_tick: Time,
}

impl BalancerHost {
    /// Starts a balancer. Fails if the balancer refuses the configuration.
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

    /// Sets a timer, whose event is part of the first tick after it has expired.
    pub fn set_timer(&mut self, expires_at: Time, token: TimerToken) {
        self.timers.set(expires_at, token);
    }

    /// The earliest time of the next tick.
    pub fn next_tick(&self) -> Time {
        self.next_tick
    }

    /// When the balancer next has something to handle if no more events are reported.
    pub fn next_due(&self) -> Time {
        if self.events.is_empty() {
            self.timers.next_expiry().unwrap_or(Time::NEVER)
        } else {
            self.next_tick
        }
    }

    /// The time after which a client may retry a request that is rejected now.
    pub fn retry_after(&self) -> Micros {
        self.balancer.retry_after()
    }

    /// When the first byte of a request's next attempt must have been sent, for attempts that are
    /// safe only until then.
    pub fn send_by(&self, request: RequestId) -> Option<Time> {
        self.balancer.send_by(request)
    }

    /// Starts a tick: takes the reported events, followed by those of the expired timers. Without
    /// any event there is no tick, and the time of the next one stays.
    pub fn start_tick(&mut self, now: Time) -> Vec<Event> {
        while let Some(token) = self.timers.pop_expired(now) {
            self.events.push(Event::Timer { token });
        }
        if !self.events.is_empty() {
            // Ticks start at multiples of their length. If each were counted from the start of the
            // one before it, every late wake-up would delay all ticks that follow.
            let tick = self.config.tick;
            let started_at = Time(now.0 - now.0 % tick.0);
            self.next_tick = started_at + tick;
        }
        std::mem::take(&mut self.events)
    }

    /// Passes an event of the present tick to the balancer, which adds its actions to `actions`.
    /// After a panic `actions` holds those that were added before it.
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

    /// Replaces the balancer after a panic, because its state cannot be trusted any more. The new
    /// one starts from the given endpoint list, without timers and without earlier events. If the
    /// configuration is refused, the old balancer goes on.
    pub fn restart(&mut self, endpoints: Vec<Endpoint>) {
        self.seed = self.seed.wrapping_add(1);
        match Balancer::new(self.config.clone(), self.seed) {
            Ok(balancer) => self.balancer = balancer,
            Err(error) => tracing::error!("the balancer refused its configuration: {error}"),
        }
        self.timers.clear();
        self.events.clear();
        self.events.push(Event::EndpointsUpdated {
            update: EndpointUpdate::Cached,
            endpoints,
        });
    }

    /// The events for the next tick.
    #[cfg(test)]
    pub fn reported_events(&self) -> &[Event] {
        &self.events
    }
}

#[cfg(test)]
mod tests;
