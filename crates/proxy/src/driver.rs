//! The driver: the one owner of the balancer, of the pending requests and of their attempts. It
//! turns what happens into events for the balancer and carries out the balancer's actions. Which
//! backend gets a request, whether it is retried and whether it is admitted at all is decided by
//! the balancer.

use crate::attempt::{Attempt, AttemptDeadlines, SendProgress};
use crate::backend_response::AttemptResult;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::discovery::endpoint_list::ResolvedEndpoint;
use crate::message::{AttemptId, DriverEvent, FinalResponse, IncomingRequest};
use crate::upstream::Upstream;
use brookstack_balancer::{
    Action, Arrival, AttemptEnd, BackendId, Balancer, Config, ConfigError, EndpointUpdate, Event,
    LogEvent, Micros, Outcome, RequestId, Time, TimerQueue, RESPONSE_GRACE_TICKS,
};
use in_flight_attempt::InFlightAttempt;
use pending_requests::PendingRequests;
use std::cell::Cell;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};
use upstreams::Upstreams;

mod in_flight_attempt;
mod pending_requests;
mod upstreams;

/// Idle connections are checked this often.
const IDLE_CHECK_INTERVAL: Micros = Micros(1_000_000);
/// A time that never comes.
const NEVER: Time = Time(u64::MAX);

/// What the driver reports to the rest of the program.
#[derive(Default)]
pub struct Status {
    /// Some backend can be sent requests.
    pub serving: Cell<bool>,
}

/// What a driver is built from.
pub struct DriverParts {
    /// The clock that is shared by the whole proxy.
    pub clock: Clock,
    /// The balancer's configuration.
    pub balancer_config: Config,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// Requests in excess of this are rejected without the balancer.
    pub max_pending_requests: usize,
    /// The connections to backends.
    pub pool: Rc<ConnectionPool>,
    /// Where attempts report their end: the sending side of the channel that is given to
    /// [`Driver::run`].
    pub events: mpsc::UnboundedSender<DriverEvent>,
    /// Notified when the balancer wants the endpoint list to be watched or polled.
    pub watch_requested: Rc<Notify>,
    /// What the driver reports to the rest of the program.
    pub status: Rc<Status>,
}

/// Drives the balancer; see the [module](self).
pub struct Driver {
    parts: DriverParts,
    balancer: Balancer,
    upstreams: Upstreams,
    pending: PendingRequests,
    timers: TimerQueue,
    /// Events for the balancer's next tick.
    events: Vec<Event>,
    /// An empty buffer for the balancer's actions.
    actions: Vec<Action>,
    /// The balancer handles events once a tick: the time of its next one.
    next_tick: Time,
}

impl Driver {
    /// A driver without backends and requests. Fails if the balancer refuses its configuration.
    pub fn new(parts: DriverParts) -> Result<Driver, ConfigError> {
        let config = &parts.balancer_config;
        let grace_period = Micros(RESPONSE_GRACE_TICKS * config.tick.0);
        Ok(Driver {
            balancer: Balancer::new(config.clone(), parts.seed)?,
            parts,
            upstreams: Upstreams::default(),
            pending: PendingRequests::new(grace_period),
            timers: TimerQueue::default(),
            events: Vec::new(),
            actions: Vec::new(),
            next_tick: Time(0),
        })
    }

    /// Runs until no events can be sent any more, which does not happen: the driver holds a sender
    /// itself.
    pub async fn run(mut self, mut incoming: mpsc::UnboundedReceiver<DriverEvent>) {
        let clock = self.parts.clock;
        let sleep = tokio::time::sleep_until(clock.instant(clock.now()));
        tokio::pin!(sleep);
        // The time at which `sleep` ends; zero if it has to be set again.
        let mut sleeping_until = Time(0);
        let mut next_idle_check = clock.now() + IDLE_CHECK_INTERVAL;
        loop {
            let wake_at = self.next_wakeup().min(next_idle_check);
            if wake_at != sleeping_until {
                sleeping_until = wake_at;
                sleep.as_mut().reset(clock.instant(wake_at));
            }
            tokio::select! {
                biased;
                event = incoming.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = &mut sleep => sleeping_until = Time(0),
            }
            while let Ok(event) = incoming.try_recv() {
                self.handle_event(event);
            }
            let now = clock.now();
            self.handle_time(now);
            if now >= next_idle_check {
                next_idle_check = now + IDLE_CHECK_INTERVAL;
                self.check_idle_connections();
            }
        }
    }

    /// When something is due next without any event.
    fn next_wakeup(&self) -> Time {
        let tick = if self.events.is_empty() {
            self.timers.next_expiry().unwrap_or(NEVER)
        } else {
            self.next_tick
        };
        let grace_end = self.pending.next_grace_end().unwrap_or(NEVER);
        let deadline = self.pending.next_deadline().unwrap_or(NEVER);
        tick.min(grace_end).max(self.next_tick).min(deadline)
    }

    fn handle_time(&mut self, now: Time) {
        self.pending.expire_deadlines(now, &mut self.events);
        if now >= self.next_tick {
            self.run_balancer(now);
            // Only now: a late wake-up brings deadlines and the balancer's tick at the same moment,
            // and a request with less than a tick left gets its response from the timer after its
            // deadline.
            self.fail_overdue(now);
        }
    }

    fn check_idle_connections(&self) {
        let pool = self.parts.pool.clone();
        tokio::task::spawn_local(async move { pool.close_expired().await });
    }

    /// Does what cannot wait for the balancer's tick: a good response goes to its client at once.
    fn handle_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::RequestArrived(incoming) => self.accept_request(incoming),
            DriverEvent::ClientDisconnected(request) => self.disconnect_client(request),
            DriverEvent::AttemptEnded(id, result) => self.finish_attempt(id, result),
            DriverEvent::EndpointsUpdated(update, targets) => {
                self.update_endpoints(update, targets);
            }
        }
    }

    fn accept_request(&mut self, incoming: IncomingRequest) {
        if self.pending.len() >= self.parts.max_pending_requests {
            // It reaches neither the balancer nor a backend.
            let retry_after = self.balancer.retry_after();
            let _ = incoming.reply.send(FinalResponse::Rejected(retry_after));
            return;
        }
        self.events.push(Event::Request(Arrival {
            request: incoming.id,
            class: incoming.class,
            tenant: incoming.tenant,
            time_left: incoming.deadline - self.parts.clock.now(),
            work_hint: incoming.work_hint,
            is_retry: incoming.is_retry,
        }));
        self.pending.insert(incoming);
    }

    fn disconnect_client(&mut self, request: RequestId) {
        if self.pending.disconnect(request) {
            self.events.push(Event::ClientDisconnected { request });
            let now = self.parts.clock.now();
            self.pending.settle(request, now, &mut self.events);
        }
    }

    fn finish_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let now = self.parts.clock.now();
        let Some(attempt) = self.pending.remove_attempt(id) else {
            return;
        };
        let Some(pending) = self.pending.get_mut(id.request) else {
            return;
        };
        attempt.task.abort();
        if let Some(response) = result.response {
            pending.respond(FinalResponse::Served(response));
        }
        let settled = !pending.is_owed_response();
        if result.connection_rejected {
            self.events.push(Event::ConnectionRejected {
                idle_connections: self.parts.pool.idle_connections() as u32,
            });
        }
        self.events
            .push(attempt.ended(now, result.outcome, settled));
        if settled {
            let now = self.parts.clock.now();
            self.pending.settle(id.request, now, &mut self.events);
        }
    }

    fn update_endpoints(&mut self, update: EndpointUpdate, targets: Vec<ResolvedEndpoint>) {
        let endpoints = targets
            .iter()
            .map(|target| target.endpoint.clone())
            .collect();
        self.upstreams.apply(update, targets);
        let serving = self.upstreams.any_accepting();
        self.parts.status.serving.set(serving);
        self.events
            .push(Event::EndpointsUpdated { update, endpoints });
    }

    /// The safety net: fails the requests that the balancer has not responded to although it had a
    /// tick after their deadline. It never rejects them, for only the balancer knows what may have
    /// been executed.
    fn fail_overdue(&mut self, now: Time) {
        while let Some(request) = self.pending.pop_overdue(now) {
            tracing::error!("request {} had no answer at its deadline", request.0);
            self.events.push(Event::ClientDisconnected { request });
            self.respond(request, FinalResponse::Failed);
        }
    }

    /// Sends a final response. The clock is read anew: a tick may take a while for many responses.
    fn respond(&mut self, request: RequestId, response: FinalResponse) {
        let now = self.parts.clock.now();
        self.pending
            .respond(request, response, now, &mut self.events);
    }

    /// The balancer's tick: it handles everything that has come in since the last one.
    fn run_balancer(&mut self, now: Time) {
        while let Some(token) = self.timers.pop_expired(now) {
            self.events.push(Event::Timer { token });
        }
        if self.events.is_empty() {
            return;
        }
        let tick = self.parts.balancer_config.tick;
        // Ticks lie on a grid: counted from the present one, every late wake-up would put off all
        // that follow.
        self.next_tick = Time(now.0 - now.0 % tick.0) + tick;
        for mut event in std::mem::take(&mut self.events) {
            self.refresh_time_left(now, &mut event);
            let handled = self.handle_in_balancer(now, event);
            if handled.is_err() {
                return self.restart_balancer();
            }
        }
        self.pending.drop_finished();
    }

    /// Counts the time that a new request has left from this tick: the wait for it must not put off
    /// the balancer's idea of the deadline.
    fn refresh_time_left(&self, now: Time, event: &mut Event) {
        let Event::Request(arrival) = event else {
            return;
        };
        let pending = self.pending.get(arrival.request);
        arrival.time_left = pending.map_or(Micros(0), |pending| pending.deadline - now);
    }

    /// Passes an event to the balancer and carries out its actions, also those before a panic.
    fn handle_in_balancer(&mut self, now: Time, event: Event) -> Result<(), BalancerPanicked> {
        let mut actions = std::mem::take(&mut self.actions);
        let handled = catch_unwind(AssertUnwindSafe(|| {
            self.balancer.handle(now, event, &mut actions);
        }));
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.actions = actions;
        handled.map_err(|_| BalancerPanicked)
    }

    /// After a panic of the balancer its state cannot be trusted: it starts anew from the endpoint
    /// list, and the pending requests fail. The panic itself was reported by the panic hook.
    fn restart_balancer(&mut self) {
        tracing::error!(
            "the balancer panicked; it starts anew, {} requests fail",
            self.pending.len()
        );
        self.parts.seed = self.parts.seed.wrapping_add(1);
        match Balancer::new(self.parts.balancer_config.clone(), self.parts.seed) {
            Ok(balancer) => self.balancer = balancer,
            Err(error) => tracing::error!("the balancer refused its configuration: {error}"),
        }
        self.pending.fail_all();
        self.timers.clear();
        self.events.clear();
        self.events.push(Event::EndpointsUpdated {
            update: EndpointUpdate::Cached,
            endpoints: self.upstreams.endpoints(),
        });
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend } => self.dispatch(now, request, backend),
            Action::Reject { request } => {
                let retry_after = self.balancer.retry_after();
                self.respond(request, FinalResponse::Rejected(retry_after));
            }
            Action::Fail { request } => self.respond(request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request, attempt };
                self.pending.cancel_attempt(id, now, &mut self.events);
            }
            Action::SetTimer { token, after } => self.timers.set(now + after, token),
            Action::LimitIdleConnections { max_idle } => {
                self.parts.pool.set_max_idle(max_idle as usize);
            }
            Action::WatchEndpoints => self.parts.watch_requested.notify_one(),
            Action::Log(event) => self.log(event),
        }
    }

    /// Writes what the balancer reports to the log, with a backend's address as the list gives it.
    fn log(&self, event: LogEvent) {
        match event {
            LogEvent::BackendEjected { backend, outcome } => {
                let address = self.upstreams.address(backend);
                let address = address.map_or_else(|| "unknown".into(), |known| known.to_string());
                tracing::info!(%address, ?outcome, "backend ejected");
            }
            LogEvent::WatchFailed => tracing::info!("discovery watch failed, polling again"),
            LogEvent::WatchTimedOut => tracing::info!("discovery watch timed out, polling again"),
        }
    }

    fn dispatch(&mut self, now: Time, request: RequestId, backend: BackendId) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        let id = AttemptId {
            request,
            attempt: pending.next_attempt_number(),
        };
        let settled = !pending.is_owed_response();
        let may_send = !settled && pending.deadline > now;
        let upstream = self.upstreams.accepting(backend);
        let Some(upstream) = upstream.filter(|_| may_send) else {
            // The request was settled meanwhile, or the backend has started to drain or was
            // removed.
            self.events.push(Event::AttemptEnded(AttemptEnd {
                request,
                attempt: id.attempt,
                outcome: Outcome::NotSent,
                latency: Micros(0),
                settled,
            }));
            return;
        };
        self.free_socket_if_full();
        self.start_attempt(now, id, upstream);
    }

    /// Where all sockets are taken, an idle connection to any backend is closed for the next
    /// attempt.
    fn free_socket_if_full(&self) {
        if !self.parts.pool.is_full() {
            return;
        }
        if let Some(address) = self.parts.pool.close_idle(1) {
            tracing::debug!("sockets are short: closed a connection to {address}");
        }
    }

    fn start_attempt(&mut self, now: Time, id: AttemptId, upstream: Rc<Upstream>) {
        let Some(pending) = self.pending.get_mut(id.request) else {
            return;
        };
        let attempt = Attempt {
            pool: self.parts.pool.clone(),
            upstream,
            request: pending.forwarded.clone(),
            deadlines: AttemptDeadlines {
                send_by: self.balancer.send_by(id.request),
                deadline: pending.deadline,
            },
            progress: Rc::new(SendProgress::default()),
        };
        let events = self.parts.events.clone();
        let in_flight = InFlightAttempt::start(id, now, attempt, events);
        pending.attempts.insert(id.attempt, in_flight);
    }
}

/// The balancer panicked while it handled an event.
struct BalancerPanicked;

#[cfg(test)]
mod tests;
