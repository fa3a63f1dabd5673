//! The driver owns the balancer, the pending requests and their attempts.
//!
//! It reports what happens in the proxy to the balancer as events, and carries out the balancer's
//! actions. The balancer alone decides which backend gets a request, whether the request is retried
//! and whether it is admitted at all.
//!
//! - This module runs the event loop and starts the balancer's ticks.
//! - `balancer_host` holds the balancer, its timers and the events for its next tick.
//! - `actions` carries out the balancer's actions.
//! - `attempt_log` writes the start of each attempt to the log.
//! - `balancer_log` writes the balancer's log events to the log.
//! - `list_log` writes the endpoint list's updates and the evidence for it to the log.
//! - `pending_requests` holds the pending requests.
//! - `in_flight_attempt` starts and aborts the attempts of a request.
//! - `rejection_log` writes why a request may be rejected.
//! - `upstreams` holds the backends on the endpoint list.
//! - `wakeup_timer` wakes the event loop when scheduled work, such as a tick, is due.

use crate::backend_response::AttemptResult;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::discovery::endpoint_list::ResolvedEndpoint;
use crate::message::{AttemptId, DiscoveryAnswer, DriverEvent, FinalResponse, IncomingRequest};
use balancer_host::BalancerHost;
use brookstack_balancer::{
    Arrival, Config, ConfigError, Endpoint, EndpointUpdate, Event, Micros, RequestId, Time,
    RESPONSE_GRACE_TICKS,
};
use list_log::EvidenceLog;
use pending_requests::PendingRequests;
use rejection_log::RejectionLog;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};
use upstreams::Upstreams;
use wakeup_timer::WakeupTimer;

mod actions;
mod attempt_log;
mod balancer_host;
mod balancer_log;
mod in_flight_attempt;
mod list_log;
mod pending_requests;
mod rejection_log;
mod upstreams;
mod wakeup_timer;

/// The interval at which expired idle connections are closed.
const IDLE_CHECK_INTERVAL: Micros = Micros(1_000_000);

/// The driver's state that other parts of the proxy read.
#[derive(Default)]
pub struct DriverStatus {
    /// Whether the proxy can serve requests: some backend on the endpoint list accepts requests,
    /// and the driver has not panicked.
    pub serving: Cell<bool>,
}

/// The configuration and the shared objects that a driver is built from.
pub struct DriverParts {
    /// The clock that all parts of the proxy share.
    pub clock: Clock,
    /// The balancer's configuration.
    pub balancer_config: Config,
    /// The seed of the balancer's random number generator.
    pub seed: u64,
    /// The maximum number of pending requests. Requests beyond it are rejected without asking the
    /// balancer.
    pub max_pending_requests: usize,
    /// The pool of connections to backends.
    pub pool: Rc<ConnectionPool>,
    /// The channel on which attempts report their end. [`Driver::run`] gets its receiver.
    pub events: mpsc::UnboundedSender<DriverEvent>,
    /// Notified when the balancer requests a poll of discovery.
    pub poll_requested: Rc<Notify>,
    /// The driver's state that other parts of the proxy read.
    pub status: Rc<DriverStatus>,
}

/// Runs the balancer and carries out its decisions; see the [module](self).
pub struct Driver {
    clock: Clock,
    max_pending_requests: usize,
    balancer: BalancerHost,
    pending: PendingRequests,
    upstreams: Upstreams,
    pool: Rc<ConnectionPool>,
    /// The channel on which attempts report their end.
    event_sender: mpsc::UnboundedSender<DriverEvent>,
    /// Notified when the balancer requests a poll of discovery.
    poll_requested: Rc<Notify>,
    status: Rc<DriverStatus>,
    /// The version of the newest list that discovery sent to this process.
    list_version: Option<u64>,
    evidence_log: EvidenceLog,
    rejection_log: RejectionLog,
}

impl Driver {
    /// Creates a driver without backends and requests. Fails if the balancer's configuration is
    /// invalid.
    pub fn new(parts: DriverParts) -> Result<Driver, ConfigError> {
        let tick = parts.balancer_config.tick;
        let grace_period = Micros(RESPONSE_GRACE_TICKS * tick.0);
        Ok(Driver {
            clock: parts.clock,
            rejection_log: RejectionLog::new(parts.balancer_config.classes.clone()),
            max_pending_requests: parts.max_pending_requests,
            balancer: BalancerHost::new(parts.balancer_config, parts.seed)?,
            pending: PendingRequests::new(grace_period),
            upstreams: Upstreams::default(),
            pool: parts.pool,
            event_sender: parts.events,
            poll_requested: parts.poll_requested,
            status: parts.status,
            list_version: None,
            evidence_log: EvidenceLog::default(),
        })
    }

    /// Runs the event loop. It never returns, because the driver itself holds a sender of the
    /// channel.
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

    /// The time of the next wake-up if no event arrives before it.
    fn next_wakeup(&self) -> Time {
        let mut next = self.balancer.next_due();
        if let Some(grace_end) = self.pending.next_grace_end() {
            next = next.min(grace_end);
        }
        // The balancer's work and the ends of grace periods are handled in ticks, deadlines at any
        // time.
        next = next.max(self.balancer.next_tick());
        if let Some(deadline) = self.pending.next_deadline() {
            next = next.min(deadline);
        }
        next
    }

    /// Aborts the attempts whose deadline has passed, and runs the balancer's tick if it is due.
    fn handle_time(&mut self, now: Time) {
        self.pending.expire_deadlines(now, &mut self.balancer);
        if now >= self.balancer.next_tick() {
            self.run_tick(now);
            // Overdue requests are failed after the tick, not before it. After a late wake-up,
            // deadlines and the tick are handled at the same time. If a request had less than a
            // tick left, it is in this tick that the balancer responds to it.
            self.fail_overdue(now);
        }
    }

    fn check_idle_connections(&self) {
        let pool = self.pool.clone();
        tokio::task::spawn_local(async move { pool.close_expired().await });
    }

    /// Handles an event. What does not need a decision of the balancer is done immediately: for
    /// example, a response that can be forwarded is sent to its client. The rest is reported to the
    /// balancer for its next tick.
    fn handle_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::RequestArrived(incoming) => self.accept_request(incoming),
            DriverEvent::ClientDisconnected(request) => self.disconnect_client(request),
            DriverEvent::ResponseHeld(id) => self.hold_response(id),
            DriverEvent::AttemptEnded(id, result) => self.finish_attempt(id, result),
            DriverEvent::DiscoveryAnswered(answer) => self.record_answer(&answer),
            DriverEvent::EndpointsUpdated(update, targets) => {
                self.update_endpoints(update, targets);
            }
        }
    }

    fn accept_request(&mut self, incoming: IncomingRequest) {
        if self.pending.len() >= self.max_pending_requests {
            // The request is passed to neither the balancer nor a backend.
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

    fn hold_response(&mut self, id: AttemptId) {
        let now = self.clock.now();
        let pending = self.pending.get_mut(id.request);
        let attempt = pending.and_then(|pending| pending.attempts.get_mut(&id.attempt));
        if let Some(attempt) = attempt {
            attempt.response_held_at = Some(now);
            self.balancer.report(Event::ResponseHeld {
                request: id.request,
                attempt: id.attempt,
            });
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
        pending.record_end(&attempt, result.outcome, result.has_answered);
        if let Some(response) = result.response.take() {
            pending.respond(FinalResponse::Served(response));
        }
        let settled = !pending.awaits_response();
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

    fn record_answer(&mut self, answer: &DiscoveryAnswer) {
        self.list_version = Some(answer.version);
        self.balancer.report(Event::DiscoveryAnswered {
            service_time: answer.service_time,
            age: answer.age,
        });
    }

    fn update_endpoints(&mut self, update: EndpointUpdate, targets: Vec<ResolvedEndpoint>) {
        let endpoints: Vec<Endpoint> = targets
            .iter()
            .map(|target| target.endpoint.clone())
            .collect();
        list_log::write_update(update, &targets, &self.upstreams);
        self.evidence_log.record_cause(update);
        self.upstreams.apply(update, targets);
        let serving = self.upstreams.any_accepting();
        self.status.serving.set(serving);
        self.balancer
            .report(Event::EndpointsUpdated { update, endpoints });
    }

    /// Fails the requests whose grace period after the deadline has ended. This protects clients
    /// from a balancer that never responds. The requests are failed and not rejected, because only
    /// the balancer knows whether they may have been executed.
    fn fail_overdue(&mut self, now: Time) {
        while let Some(request) = self.pending.pop_overdue(now) {
            tracing::error!(
                "the balancer did not respond to request {} by its deadline: failing the request",
                request.0
            );
            self.balancer.report(Event::ClientDisconnected { request });
            self.respond(request, FinalResponse::Failed);
        }
    }

    /// Runs the balancer's tick, which handles the events reported since the last tick. The actions
    /// for an event are carried out before the balancer handles the next event.
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
        let evidence = self.balancer.list_evidence(now);
        self.evidence_log.write_change(now, evidence);
    }

    /// Sets the time left of a new request to the time from this tick to its deadline. With the
    /// time left at its arrival, the balancer would assume a deadline that is too late by the time
    /// for which the request waited for the tick.
    fn refresh_time_left(&self, now: Time, event: &mut Event) {
        if let Event::Request(arrival) = event {
            arrival.time_left = self.pending.time_left(arrival.request, now);
        }
    }

    /// Restarts the balancer after a panic, with the current endpoint list. The pending requests
    /// are failed, because the new balancer does not know them. The panic hook has already reported
    /// the panic itself.
    fn restart_balancer(&mut self) {
        tracing::error!(
            "the balancer panicked: restarting it and failing all {} pending requests",
            self.pending.len()
        );
        self.balancer.restart(self.upstreams.endpoints());
        self.pending.fail_all();
    }
}

#[cfg(test)]
mod tests;
