//! The balancer's state machine: takes an event (`event.rs`), decides by its configuration
//! (`config.rs`) and returns actions (`action.rs`).
//!
//! The [`Balancer`] is made of components, each of which owns one part of the state. Its methods
//! call them in the order of what happens at an event: this file has one method for each event,
//! `dispatch.rs` what leads to a request's attempts and final response, and `periodic.rs` what is
//! done at regular times.

mod dispatch;
mod periodic;

use crate::admission::{prompt_latency, AdmissionControl, Promptness, Timeliness};
use crate::backends::{BackendTable, OutlierDetector};
use crate::discovery_watch::DiscoveryWatch;
use crate::estimation::{LatencyEstimates, RATE_MEMORY};
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
    Acceptance, Action, Arrival, AttemptEnd, Config, ConfigError, Endpoint, EndpointUpdate, Event,
    LogEvent, Micros, Outcome, Time,
};

/// The decisions of one proxy. Give it every event in order; it responds with actions.
pub struct Balancer {
    config: Config,
    rng: Rng,
    /// Open requests and their attempts in flight.
    requests: RequestTable,
    /// The open requests that wait for a backend.
    queue: RequestQueue,
    /// Which requests are admitted, by priority and tenant quota.
    admission: AdmissionControl,
    /// The retries and hedged requests that may be sent now.
    retry_budget: RetryBudget,
    /// The backends that this proxy uses, and their machine types.
    backends: BackendTable,
    /// Decides which backends are ejected, suspect or unresponsive.
    outliers: OutlierDetector,
    /// How many attempts this proxy may have in flight.
    concurrency: ConcurrencyLimits,
    /// When the shares of the traffic are computed, and how much of it they can place.
    shares: ShareSchedule,
    /// Latency and work of each class.
    latencies: LatencyEstimates,
    /// The endpoint list, and the part of it that this proxy uses.
    subset: Subset,
    /// When discovery is polled, and how old the endpoint list is.
    discovery_watch: DiscoveryWatch,
    /// How many idle connections the host may keep.
    idle_connections: IdleConnectionLimit,
    /// When something is next to be done without an event.
    wakeups: Wakeups,
    /// The actions that the event at hand has called for so far.
    outbox: Outbox,
}

impl Balancer {
    /// A proxy that knows nothing yet but its configuration. The same seed and the same events
    /// cause the same actions.
    ///
    /// # Errors
    ///
    /// A field of the configuration is out of its range.
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

    /// Takes one event that happened at `now` and appends the actions it calls for.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if may_free_capacity(&event) {
            self.queue.unblock();
        }
        self.shares.record_event(now);
        let in_flight = self.count_in_flight();
        self.concurrency.record_in_flight(now, in_flight);
        if let Event::Timer { token } = event {
            if !self.wakeups.accept_timer(token) {
                return; // a newer timer has replaced it
            }
        }
        self.handle_event(now, event);
        if self.shares.are_due(now) {
            self.recompute_shares(now);
        }
        if self.wakeups.take_due(now) {
            self.poll_discovery(now);
            self.check_attempts(now);
            // A request is offered to the backends before it is judged by an expected latency: the
            // check may come late, together with the event that brought the request.
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

    /// Handles what is particular to an event.
    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::EndpointsUpdated { update, endpoints } => {
                self.on_endpoints_updated(now, update, endpoints);
            }
            Event::Request(arrival) => self.on_request(now, &arrival),
            Event::StreamStarted { request, attempt } => {
                self.requests.record_stream(request, attempt);
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end),
            Event::ConnectionRejected { idle_connections } => {
                self.idle_connections
                    .on_connection_rejected(now, idle_connections);
            }
            Event::ClientDisconnected { request } => self.close_request(request),
            Event::Timer { .. } => {} // its only effect is the wake-up
        }
    }

    fn on_endpoints_updated(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        self.update_discovery_watch(now, update, &endpoints);
        if let Some(poll_at) = self.discovery_watch.next_poll_at() {
            self.wakeups.wake_by(poll_at);
        }
        let SubsetUpdate { update, endpoints } =
            self.subset.apply(now, &self.config, update, endpoints);
        if self.backends.apply_update(update, endpoints) {
            self.recompute_shares(now);
        }
    }

    fn update_discovery_watch(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        endpoints: &[Endpoint],
    ) {
        let watch = &mut self.discovery_watch;
        match update {
            EndpointUpdate::WatchFailed => {
                watch.on_watch_failed(now, &self.config, self.rng.unit());
                self.outbox.log(now, LogEvent::WatchFailed);
            }
            EndpointUpdate::WatchTimedOut => {
                watch.on_watch_timed_out(now, &self.config);
                self.outbox.log(now, LogEvent::WatchTimedOut);
            }
            EndpointUpdate::Delta | EndpointUpdate::Snapshot => watch.on_endpoints_received(now),
            EndpointUpdate::Cached => {
                let has_cached_list = !endpoints.is_empty();
                let rng = &mut self.rng;
                watch.on_process_started(now, &self.config, has_cached_list, || rng.unit());
            }
        }
    }

    /// Takes in a request, then queues or rejects it.
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

    /// Learns from the end of an attempt. Its request then has its final response or waits for
    /// another attempt.
    fn on_attempt_ended(&mut self, now: Time, mut end: AttemptEnd) {
        let Some(attempt) = self.requests.take_in_flight(&end) else {
            return;
        };
        end.outcome = self.effective_outcome(&attempt, &end);
        self.adjust_admission(&attempt, &end);
        self.learn_from_outcome(now, &attempt, &end);
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
            self.close_answered_request(end.request, timeliness);
        } else if !request.is_in_flight() && !self.queue.contains(end.request) {
            // `send_queued` sends it again or gives it up.
            self.queue.push(end.request);
        }
    }

    /// The outcome that counts. A cancelled attempt that took longer than its class's objective
    /// counts as a time-out: mostly its client has left after all that time.
    fn effective_outcome(&self, attempt: &InFlightAttempt, end: &AttemptEnd) -> Outcome {
        let objective = self.config.classes[attempt.class.0].latency_objective;
        if end.outcome == Outcome::Cancelled && end.latency > objective {
            Outcome::TimedOut
        } else {
            end.outcome
        }
    }

    /// Lets admission control learn from the end of an attempt. Only successes and time-outs count:
    /// the other outcomes come from cancellations and from faulty, draining or unreachable
    /// backends, not from overload.
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

    /// Lets outlier detection and the estimates learn from the outcome of an attempt.
    fn learn_from_outcome(&mut self, now: Time, attempt: &InFlightAttempt, end: &AttemptEnd) {
        let Some(backend) = self.backends.get_mut(attempt.backend) else {
            return;
        };
        backend.record_attempt_end();
        let is_ejected = self.outliers.record_outcome(
            now,
            attempt,
            end,
            &mut self.backends,
            &self.latencies,
            &mut self.rng,
        );
        if is_ejected {
            // Requests whose only attempt is on this backend are probably lost: they are hedged at
            // the next wake-up.
            self.wakeups.wake_by(now + self.config.tick);
            let ejection = LogEvent::BackendEjected {
                backend: attempt.backend,
                outcome: end.outcome,
            };
            self.outbox.log(now, ejection);
        }
        if end.outcome == Outcome::Success {
            self.record_acceptance(attempt, end);
            let mean_request_latency = self.latencies.record(attempt.class, end.latency);
            self.backends
                .record_latency(attempt.backend, mean_request_latency);
        }
    }

    /// Records that a backend served a request: it accepted requests when this one was sent.
    fn record_acceptance(&mut self, attempt: &InFlightAttempt, end: &AttemptEnd) {
        if let Some(backend) = self.backends.get_mut(attempt.backend) {
            backend.health_mut().record_acceptance(Acceptance {
                sent_at: attempt.sent_at,
                connected_at: end.connected_at,
            });
        }
    }

    /// The proxies that share each backend with this one.
    fn peers(&self) -> Peers {
        Peers {
            per_backend: self.subset.proxies_per_backend(&self.config),
        }
    }

    /// Attempts that count against the limits of this proxy.
    fn count_in_flight(&self) -> f64 {
        count_in_flight(&self.requests, &self.backends, self.peers())
    }

    /// How long a client that is rejected now should wait before it retries. Rate estimates cover
    /// that time, so that an earlier retry would meet the same load.
    pub fn retry_after(&self) -> Micros {
        Micros::from_secs(RATE_MEMORY)
    }
}

/// Whether an event may free capacity for waiting requests. The others do not, and offering a long
/// queue to full backends again costs CPU.
fn may_free_capacity(event: &Event) -> bool {
    !matches!(event, Event::Request(_) | Event::Timer { .. })
}
