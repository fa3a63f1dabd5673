//! The balancer's state machine. It takes an event (`event.rs`), decides by its configuration
//! (`config.rs`) and returns actions (`action.rs`); these files are in `interface/`.
//!
//! [`Balancer`] consists of components, each of which owns one part of the state, and calls them in
//! the order that an event requires. This file handles each kind of event. `dispatch.rs` dispatches
//! the attempts of a request and gives its final response. `periodic.rs` contains the work that is
//! done at regular intervals and at wake-ups.

mod dispatch;
mod periodic;

use crate::admission::{prompt_latency, AdmissionControl, Promptness, Timeliness};
use crate::backends::{BackendTable, OutlierDetector};
use crate::discovery_watch::{DiscoveryWatch, FailureKind};
use crate::estimation::{LatencyEstimates, RATE_MEMORY_SECS};
use crate::idle_connections::IdleConnectionLimit;
use crate::outbox::Outbox;
use crate::peers::Peers;
use crate::random::Rng;
use crate::requests::{InFlightAttempt, Request, RequestQueue, RequestTable};
use crate::retry::{RetryBudget, QUEUE_CHECK_TICKS};
use crate::routing::{count_in_flight, ConcurrencyLimits, ShareSchedule};
use crate::subset::{Subset, SubsetUpdate};
use crate::wakeups::Wakeups;
use crate::{
    Action, Arrival, AttemptEnd, AttemptNumber, Config, ConfigError, Endpoint, EndpointUpdate,
    Event, ListEvidence, LogEvent, Micros, Outcome, RequestId, Time,
};

/// The load balancer of one proxy. The host must pass every event to [`handle`](Self::handle), in
/// the order in which the events happen, and execute the actions that it returns.
pub struct Balancer {
    config: Config,
    rng: Rng,
    /// Open requests and their attempts in flight.
    requests: RequestTable,
    /// The open requests that wait for a backend.
    queue: RequestQueue,
    /// Decides which requests are admitted, by priority and tenant quota.
    admission: AdmissionControl,
    /// Limits the number of retries and hedged requests.
    retry_budget: RetryBudget,
    /// The backends that this proxy uses, and their machine types.
    backends: BackendTable,
    /// Decides which backends are ejected, suspect or unresponsive.
    outliers: OutlierDetector,
    /// Limits the attempts that this proxy may have in flight.
    concurrency: ConcurrencyLimits,
    /// When the traffic shares are computed, and which fraction of the traffic they can place.
    shares: ShareSchedule,
    /// Estimates of the latency and the work of each class.
    latencies: LatencyEstimates,
    /// The endpoint list, and the part of it that this proxy uses.
    subset: Subset,
    /// When to poll discovery, and whether the endpoint list is stale.
    discovery_watch: DiscoveryWatch,
    /// Limits the idle connections that the host may keep.
    idle_connections: IdleConnectionLimit,
    /// When the balancer must run next even if no event arrives.
    wakeups: Wakeups,
    /// The actions to return for the current event.
    outbox: Outbox,
}

impl Balancer {
    /// Creates the balancer of a proxy that has no endpoint list yet. Balancers with the same
    /// configuration and seed return the same actions for the same events.
    ///
    /// # Errors
    ///
    /// Fails if a field of the configuration is out of its range.
    pub fn new(config: Config, seed: u64) -> Result<Balancer, ConfigError> {
        config.validate()?;
        Ok(Balancer {
            rng: Rng::new(seed),
            requests: RequestTable::default(),
            queue: RequestQueue::default(),
            admission: AdmissionControl::new(&config),
            retry_budget: RetryBudget::default(),
            backends: BackendTable::default(),
            outliers: OutlierDetector::default(),
            concurrency: ConcurrencyLimits::new(),
            shares: ShareSchedule::new(&config),
            latencies: LatencyEstimates::new(&config),
            subset: Subset::new(),
            discovery_watch: DiscoveryWatch::new(&config),
            idle_connections: IdleConnectionLimit::default(),
            wakeups: Wakeups::new(),
            outbox: Outbox::default(),
            config,
        })
    }

    /// Handles an event that happened at `now` and appends the actions to execute to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if may_free_capacity(&event) {
            self.queue.unblock();
        }
        self.shares.record_event(now);
        let in_flight = self.count_in_flight();
        self.concurrency.record_in_flight(now, in_flight);
        if let Event::Timer { token } = event {
            if !self.wakeups.accept_timer(token) {
                return; // A newer timer has replaced this one.
            }
        }
        self.handle_event(now, event);
        if self.shares.are_due(now) {
            self.recompute_shares(now);
        }
        if self.wakeups.take_due(now) {
            self.poll_discovery(now);
            self.check_attempts(now);
            // `check_requests` gives up requests that would be late by their expected latency. An
            // overdue wake-up may be handled together with the arrival of a request, which must be
            // offered to the backends before this check.
            self.send_queued(now);
            self.check_requests(now);
        }
        self.send_queued(now);
        if let Some(max_idle) = self.idle_connections.take_change() {
            self.outbox.push(Action::LimitIdleConnections { max_idle });
        }
        if let Some(set_timer) = self.wakeups.arm_timer(now, self.config.tick) {
            self.outbox.push(set_timer);
        }
        self.outbox.drain_into(actions);
    }

    /// Runs the part of the handling that is specific to the kind of event.
    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::EndpointsUpdated { update, endpoints } => {
                self.on_endpoints_updated(now, update, endpoints);
            }
            Event::DiscoveryAnswered { service_time, age } => {
                self.discovery_watch.record_answer(service_time, age);
            }
            Event::Request(arrival) => self.on_request(now, &arrival),
            Event::StreamStarted { request, attempt } => {
                self.requests.record_stream(request, attempt);
            }
            Event::ResponseHeld { request, attempt } => self.on_response_held(request, attempt),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end),
            Event::ConnectionRejected { idle_connections } => {
                self.idle_connections
                    .on_connection_rejected(now, idle_connections);
            }
            Event::ClientDisconnected { request } => self.close_request(request),
            Event::Timer { .. } => {} // `handle` runs the wake-up that the timer was set for.
        }
    }

    fn on_endpoints_updated(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        self.update_discovery_watch(now, update);
        if let Some(poll_at) = self.discovery_watch.next_poll_at() {
            self.wakeups.wake_by(poll_at);
        }
        let SubsetUpdate { update, endpoints } =
            self.subset.apply(now, &self.config, update, endpoints);
        if self.backends.apply_update(update, endpoints) {
            self.recompute_shares(now);
        }
    }

    fn update_discovery_watch(&mut self, now: Time, update: EndpointUpdate) {
        let watch = &mut self.discovery_watch;
        match update {
            EndpointUpdate::WatchFailed => self.on_watch_failed(now, FailureKind::NoAnswer),
            EndpointUpdate::AnswerSpoilt { begun_before } => {
                let begun_at = Time(now.0.saturating_sub(begun_before.0));
                self.on_watch_failed(now, FailureKind::AnswerSpoilt { begun_at });
            }
            EndpointUpdate::WatchTimedOut => {
                watch.on_watch_timed_out(now, &self.config);
                self.outbox.log(now, LogEvent::WatchTimedOut);
            }
            EndpointUpdate::SourceChanged => watch.on_source_changed(now, &self.config),
            EndpointUpdate::Delta | EndpointUpdate::Snapshot => {
                watch.on_endpoints_received(now, &self.config);
            }
            EndpointUpdate::Cached => {
                let rng = &mut self.rng;
                watch.on_process_started(now, &self.config, || rng.unit());
            }
        }
    }

    fn on_watch_failed(&mut self, now: Time, kind: FailureKind) {
        let random = self.rng.unit();
        self.discovery_watch
            .on_watch_failed(now, &self.config, kind, random);
        self.outbox.log(now, LogEvent::WatchFailed);
    }

    /// Records a request, then queues or rejects it.
    fn on_request(&mut self, now: Time, arrival: &Arrival) {
        let Some(class) = self.config.classes.get(arrival.class.0) else {
            return;
        };
        if self.requests.contains(arrival.request) {
            return;
        }
        let expected_work = arrival.work_hint.unwrap_or_default();
        let objective = class.latency_objective + expected_work.times(class.objective_per_work);
        self.retry_budget.deposit();
        let weight = self.admission.record_arrival(now, &self.config, arrival);
        let request = Request::new(now, arrival, objective, weight);
        self.requests.insert(arrival.request, request);
        let is_admitted = self.admission.admit(
            now,
            arrival.class,
            weight,
            &self.config,
            &self.latencies,
            &mut self.rng,
        );
        if !is_admitted || !self.shares.can_place(&mut self.rng) {
            self.give_up(arrival.request);
            return;
        }
        self.queue.push(arrival.request);
        let queue_check = self.config.tick.times(QUEUE_CHECK_TICKS);
        self.wakeups
            .wake_by(now + queue_check.min(arrival.time_left));
    }

    /// Frees the capacity of a backend whose response is held back.
    fn on_response_held(&mut self, request: RequestId, attempt: AttemptNumber) {
        if let Some(backend) = self.requests.record_held(request, attempt) {
            if let Some(backend) = self.backends.get_mut(backend) {
                backend.record_attempt_end();
            }
        }
    }

    /// Updates the estimates with the result of an attempt. Then closes the request if it has its
    /// final response, or queues it for another attempt if none is in flight.
    fn on_attempt_ended(&mut self, now: Time, mut end: AttemptEnd) {
        let Some(attempt) = self.requests.take_in_flight(&end) else {
            return;
        };
        end.outcome = self.effective_outcome(&attempt, &end);
        self.adjust_admission(&attempt, &end);
        self.record_outcome(now, &attempt, &end);
        let Some(request) = self.requests.record_attempt_end(&end) else {
            return;
        };
        let is_success = end.outcome == Outcome::Success;
        let timeliness = if is_success && now <= request.objective_at {
            Timeliness::OnTime
        } else {
            Timeliness::Missed
        };
        if end.settled || is_success {
            self.close_with_final_response(end.request, timeliness);
        } else if !request.is_in_flight() && !self.queue.contains(end.request) {
            // `send_queued` dispatches another attempt or gives the request up.
            self.queue.push(end.request);
        }
    }

    /// The outcome by which an attempt is evaluated. A cancelled attempt that took longer than its
    /// class's latency objective counts as a timeout: in most cases, the client gave up after
    /// waiting that long.
    fn effective_outcome(&self, attempt: &InFlightAttempt, end: &AttemptEnd) -> Outcome {
        let objective = self.config.classes[attempt.class.0].latency_objective;
        if end.outcome == Outcome::Cancelled && end.latency > objective {
            Outcome::TimedOut
        } else {
            end.outcome
        }
    }

    /// Adjusts admission control to the latency of an attempt, unless the attempt was counted as
    /// late while it was in flight. Only successes and timeouts count: the other outcomes are
    /// caused by cancellations and by faulty, draining or unreachable backends, not by overload.
    fn adjust_admission(&mut self, attempt: &InFlightAttempt, end: &AttemptEnd) {
        let is_success = end.outcome == Outcome::Success;
        let shows_load = is_success || end.outcome == Outcome::TimedOut;
        if attempt.counted_late || !shows_load {
            return;
        }
        let baseline = self.backends.baseline_latency(attempt.backend);
        let prompt_latency = prompt_latency(&self.latencies, baseline, attempt.class);
        let promptness = if is_success && end.latency < prompt_latency {
            Promptness::Prompt
        } else {
            Promptness::Late
        };
        self.admission.adjust(promptness, self.peers());
    }

    /// Updates outlier detection and the latency estimates with the outcome of an attempt.
    fn record_outcome(&mut self, now: Time, attempt: &InFlightAttempt, end: &AttemptEnd) {
        let Some(backend) = self.backends.get_mut(attempt.backend) else {
            return;
        };
        if !attempt.is_held {
            backend.record_attempt_end();
        }
        let is_ejected = self.outliers.record_outcome(
            now,
            attempt,
            end,
            &mut self.backends,
            &self.latencies,
            &mut self.rng,
        );
        if is_ejected {
            // The attempts in flight on this backend are probably lost. The checks at this wake-up
            // hedge or replace those that are the only attempt of their request.
            self.wakeups.wake_by(now + self.config.tick);
            let ejection = LogEvent::BackendEjected {
                backend: attempt.backend,
                outcome: end.outcome,
            };
            self.outbox.log(now, ejection);
        }
        if end.outcome == Outcome::Success {
            let mean_request_latency = self.latencies.record(attempt.class, end.latency);
            self.backends
                .record_latency(attempt.backend, mean_request_latency);
        }
    }

    /// Why the endpoint list may be used at `now`, or that it may not.
    pub fn list_evidence(&self, now: Time) -> ListEvidence {
        self.discovery_watch.list_evidence(now, &self.config)
    }

    /// How many proxies share each backend.
    fn peers(&self) -> Peers {
        Peers {
            per_backend: self.subset.proxies_per_backend(&self.config),
        }
    }

    /// The attempts in flight that count against the concurrency limits of this proxy.
    fn count_in_flight(&self) -> f64 {
        count_in_flight(&self.requests, &self.backends, self.peers())
    }

    /// The time that a rejected client should wait before it retries. It is the time that rate
    /// estimates cover: an earlier retry would meet the same load.
    pub fn retry_after(&self) -> Micros {
        Micros::from_secs(RATE_MEMORY_SECS)
    }
}

/// Whether an event may free capacity for waiting requests. After any other event, offering a long
/// queue to full backends again would only cost CPU time.
fn may_free_capacity(event: &Event) -> bool {
    !matches!(event, Event::Request(_) | Event::Timer { .. })
}
