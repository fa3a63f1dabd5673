//! The driver: the one owner of the balancer, of the pending requests and of their attempts.
//!
//! It turns what happens in the proxy into events for the balancer, and carries out the balancer's
//! actions. The balancer alone decides which backend gets a request, whether the request is retried
//! and whether it is admitted at all.
//!
//! - this module puts the parts together, runs the event loop and starts the balancer's ticks;
//! - `balancer_host` holds the balancer with its timers and the events for its next tick;
//! - `actions` carries out the balancer's actions, and `balancer_log` writes its log lines;
//! - `pending_requests` holds the requests, `in_flight_attempt` their attempts under way;
//! - `upstreams` holds the backends of the endpoint list;
//! - `wakeup_timer` wakes the event loop when something is due.

use crate::backend_response::AttemptResult;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::discovery::endpoint_list::ResolvedEndpoint;
use crate::message::{AttemptId, DriverEvent, FinalResponse, IncomingRequest};
use balancer_host::BalancerHost;
use brookstack_balancer::{
    Arrival, Config, ConfigError, Endpoint, EndpointUpdate, Event, Micros, RequestId, Time,
    RESPONSE_GRACE_TICKS,
};
use pending_requests::PendingRequests;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};
use upstreams::Upstreams;
use wakeup_timer::WakeupTimer;

mod actions;
mod balancer_host;
mod balancer_log;
mod in_flight_attempt;
mod pending_requests;
mod upstreams;
mod wakeup_timer;

/// The interval at which idle connections are checked.
const IDLE_CHECK_INTERVAL: Micros = Micros(1_000_000);

/// What the driver reports to the rest of the program.
#[derive(Default)]
pub struct Status {
    /// Whether any backend on the endpoint list accepts requests.
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
    /// The largest number of open requests. Those in excess are rejected without the balancer.
    pub max_open_requests: usize,
    /// The connections to backends.
    pub pool: Rc<ConnectionPool>,
    /// Where attempts report their end: the sending side of the channel that is given to
    /// [`Driver::run`].
    pub events: mpsc::UnboundedSender<DriverEvent>,
    /// Notified when the balancer wants the endpoint list to be watched or polled.
    pub poll_requested: Rc<Notify>,
    /// What the driver reports to the rest of the program.
    pub status: Rc<Status>,
}

/// Drives the balancer; see the [module](self).
pub struct Driver {
    clock: Clock,
    max_open_requests: usize,
    balancer: BalancerHost,
    pending: PendingRequests,
    upstreams: Upstreams,
    pool: Rc<ConnectionPool>,
    /// Where attempts report their end.
    event_sender: mpsc::UnboundedSender<DriverEvent>,
    /// Notified when the balancer wants the endpoint list to be watched or polled.
    poll_requested: Rc<Notify>,
    status: Rc<Status>,
}

impl Driver {
    /// A driver without backends and requests. Fails if the balancer refuses its configuration.
    pub fn new(parts: DriverParts) -> Result<Driver, ConfigError> {
        let tick = parts.balancer_config.tick;
        let grace_period = Micros(RESPONSE_GRACE_TICKS * tick.0);
        Ok(Driver {
            clock: parts.clock,
            max_open_requests: parts.max_open_requests,
            balancer: BalancerHost::new(parts.balancer_config, parts.seed)?,
            pending: PendingRequests::new(grace_period),
            upstreams: Upstreams::default(),
            pool: parts.pool,
            event_sender: parts.events,
            poll_requested: parts.poll_requested,
            status: parts.status,
        })
    }

    /// Runs the event loop. It does not end, because the driver itself holds a sender of events.
    pub async fn run(mut self, mut incoming: mpsc::UnboundedReceiver<DriverEvent>) {
        let clock = self.clock;
        let mut wakeup_timer = WakeupTimer::new(clock);
        let mut next_idle_check = clock.now() + IDLE_CHECK_INTERVAL;
        loop {
            let wake_at = self.next_wakeup().min(next_idle_check);
            wakeup_timer.set(wake_at);
            tokio::select! {
                biased;
                event = incoming.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = wakeup_timer.expired() => {}
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
        let mut next = self.balancer.next_due();
        if let Some(grace_end) = self.pending.next_grace_end() {
            next = next.min(grace_end);
        }
        // The balancer and the grace periods wait for the next tick; deadlines do not.
        next = next.max(self.balancer.next_tick());
        if let Some(deadline) = self.pending.next_deadline() {
            next = next.min(deadline);
        }
        next
    }

    /// Does what is due at `now`: ends overdue attempts, and runs the balancer's tick.
    fn handle_time(&mut self, now: Time) {
        self.pending.expire_deadlines(now, &mut self.balancer);
        if now >= self.balancer.next_tick() {
            self.run_tick(now);
            // This comes after the tick: a late wake-up brings deadlines and the tick at the same
            // moment, and the balancer responds in that tick to a request which had less than a
            // tick left.
            self.fail_overdue(now);
        }
    }

    fn check_idle_connections(&self) {
        let pool = self.pool.clone();
        tokio::task::spawn_local(async move { pool.close_expired().await });
    }

    /// Handles an event as far as it cannot wait for the balancer's tick: a successful response
    /// goes to its client at once.
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
        if self.pending.len() >= self.max_open_requests {
            // The request reaches neither the balancer nor a backend.
            let retry_after = self.balancer.retry_after();
            let _ = incoming.reply.send(FinalResponse::Rejected(retry_after));
            return;
        }
        self.balancer.report(Event::Request(Arrival {
            request: incoming.id,
            class: incoming.class,
            tenant: incoming.tenant,
            time_left: incoming.deadline - self.clock.now(),
            work_hint: incoming.work_hint,
            is_retry: incoming.is_retry,
        }));
        self.pending.insert(incoming);
    }

    fn disconnect_client(&mut self, request: RequestId) {
        if self.pending.disconnect(request) {
            self.balancer.report(Event::ClientDisconnected { request });
            let now = self.clock.now();
            self.pending.settle(request, now, &mut self.balancer);
        }
    }

    fn finish_attempt(&mut self, id: AttemptId, mut result: AttemptResult) {
        let now = self.clock.now();
        let Some(attempt) = self.pending.remove_attempt(id) else {
            return;
        };
        let Some(pending) = self.pending.get_mut(id.request) else {
            return;
        };
        attempt.task.abort();
        if let Some(response) = result.response.take() {
            pending.respond(FinalResponse::Served(response));
        }
        let settled = !pending.is_owed_response();
        if result.connection_rejected {
            self.balancer.report(Event::ConnectionRejected {
                idle_connections: self.pool.idle_connections() as u32,
            });
        }
        self.balancer
            .report(attempt.finished(now, &result, settled));
        if settled {
            let now = self.clock.now();
            self.pending.settle(id.request, now, &mut self.balancer);
        }
    }

    fn update_endpoints(&mut self, update: EndpointUpdate, targets: Vec<ResolvedEndpoint>) {
        let endpoints: Vec<Endpoint> = targets
            .iter()
            .map(|target| target.endpoint.clone())
            .collect();
        tracing::debug!(?update, entries = endpoints.len(), "endpoint list update");
        self.upstreams.apply(update, targets);
        let serving = self.upstreams.any_accepting();
        self.status.serving.set(serving);
        self.balancer
            .report(Event::EndpointsUpdated { update, endpoints });
    }

    /// Fails the requests whose grace period after the deadline is over. This is a safety net
    /// against a balancer that never responds. The requests are failed and not rejected, because
    /// only the balancer knows whether they may have been executed.
    fn fail_overdue(&mut self, now: Time) {
        while let Some(request) = self.pending.pop_overdue(now) {
            tracing::error!("request {} had no answer at its deadline", request.0);
            self.balancer.report(Event::ClientDisconnected { request });
            self.respond(request, FinalResponse::Failed);
        }
    }

    /// The balancer's tick: it handles everything that has come in since the last one. The actions
    /// of an event are carried out before the balancer handles the next event.
    fn run_tick(&mut self, now: Time) {
        let events = self.balancer.start_tick(now);
        if events.is_empty() {
            return;
        }
        let mut actions = Vec::new();
        for mut event in events {
            self.refresh_time_left(now, &mut event);
            let handled = self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
            if handled.is_err() {
                self.restart_balancer();
                return;
            }
        }
        self.pending.drop_finished();
    }

    /// Counts the time that a new request has left from this tick. Otherwise the balancer would
    /// take the deadline to be later by the time that the request has waited for the tick.
    fn refresh_time_left(&self, now: Time, event: &mut Event) {
        if let Event::Request(arrival) = event {
            arrival.time_left = self.pending.time_left(arrival.request, now);
        }
    }

    /// Restarts the balancer after a panic, from the endpoint list as it is. The pending requests
    /// fail, because the new balancer does not know them. The panic hook has reported the panic
    /// itself.
    fn restart_balancer(&mut self) {
        tracing::error!(
            "the balancer panicked; it starts anew, {} requests fail",
            self.pending.len()
        );
        self.balancer.restart(self.upstreams.endpoints());
        self.pending.fail_all();
    }
}

#[cfg(test)]
mod tests;
