//! The state that a [`Balancer`] owns, and its endpoint list. No decisions.

use crate::discovery_watch::DiscoveryWatch;
use crate::estimators::{
    update_fraction, RateEstimator, RunningMean, TimeWeightedMean, RATE_MEMORY,
};
use crate::idle_connections::IdleConnectionLimit;
use crate::random::Rng;
use crate::records::*;
use crate::subset::{Subset, SubsetUpdate};
use crate::token_bucket::TokenBucket;
use crate::*;
use std::collections::{BTreeMap, BTreeSet};

/// Shortest time between two log messages.
const LOG_INTERVAL: Micros = Micros(500_000);

/// The decisions of one proxy. Give it every event in order; it responds with actions.
pub struct Balancer {
    pub(crate) config: Config,
    pub(crate) rng: Rng,
    pub(crate) backends: BTreeMap<BackendId, BackendRecord>,
    pub(crate) kinds: BTreeMap<MachineTypeId, KindRecord>,
    pub(crate) classes: Vec<ClassRecord>,
    /// Seconds from dispatch to response over all classes, of served requests only.
    pub(crate) overall_latency: RunningMean,
    /// One bucket for each tenant.
    pub(crate) tenant_quotas: Vec<TokenBucket>,
    /// Requests that are owed a response.
    pub(crate) requests: BTreeMap<RequestId, RequestRecord>,
    /// Those of them that wait for a backend.
    pub(crate) queue: Vec<RequestId>,
    /// First attempts of a lower weight found no capacity since the last event that could free
    /// some.
    pub(crate) blocked_below_weight: f64,
    /// Fraction of the traffic that is admitted; above one, late responses have yet to bring it
    /// down to one.
    pub(crate) admitted_fraction: f64,
    /// Fraction of the arrivals that has low priority.
    pub(crate) low_priority_fraction: f64,
    pub(crate) in_flight_attempts: BTreeMap<(RequestId, AttemptNumber), InFlightAttempt>,
    /// How many attempts this proxy may have in flight.
    pub(crate) in_flight_limit: f64,
    /// How many it had in flight over the last moments.
    pub(crate) in_flight_mean: TimeWeightedMean,
    /// How many it may have in flight for longer than a moment.
    pub(crate) sustained_limit: f64,
    /// The backends that are marked as unresponsive.
    pub(crate) unresponsive: Vec<BackendId>,
    /// Requests per second that this proxy admits.
    pub(crate) admitted_rate: RateEstimator,
    /// Seconds between two requests of this proxy to the same backend, on average.
    pub(crate) visit_interval: f64,
    /// Retries and hedged requests that may be sent now.
    pub(crate) retry_budget: f64,
    /// Fraction of the traffic that the backends may be given.
    pub(crate) placeable_fraction: f64,
    /// When this proxy's first event came.
    pub(crate) first_event_at: Option<Time>,
    /// The shares are computed this often.
    pub(crate) solve_interval: Micros,
    /// When they were last computed.
    pub(crate) solved_at: Time,
    /// When something is next to be done without an event.
    pub(crate) next_wakeup: Time,
    pub(crate) timer: PendingTimer,
    pub(crate) discovery_watch: DiscoveryWatch,
    pub(crate) subset: Subset,
    pub(crate) idle_connections: IdleConnectionLimit,
    /// Until then log messages are dropped.
    pub(crate) next_log_at: Time,
    /// Actions that the event at hand has called for so far.
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// A proxy that knows nothing yet but its configuration.
    pub fn new(config: Config, seed: u64) -> Result<Balancer, ConfigError> {
        config.validate()?;
        Ok(Balancer {
            rng: Rng::new(seed),
            backends: BTreeMap::new(),
            kinds: BTreeMap::new(),
            classes: config
                .classes
                .iter()
                .map(|_| ClassRecord::default())
                .collect(),
            overall_latency: RunningMean::default(),
            tenant_quotas: config
                .tenants
                .iter()
                .map(|_| TokenBucket::default())
                .collect(),
            requests: BTreeMap::new(),
            queue: Vec::new(),
            blocked_below_weight: 0.0,
            admitted_fraction: 1.0,
            low_priority_fraction: 0.0,
            in_flight_attempts: BTreeMap::new(),
            in_flight_limit: 0.0,
            in_flight_mean: TimeWeightedMean::default(),
            sustained_limit: f64::INFINITY,
            unresponsive: Vec::new(),
            admitted_rate: RateEstimator::default(),
            visit_interval: 0.0,
            retry_budget: 0.0,
            placeable_fraction: 1.0,
            first_event_at: None,
            // No response is known to be late before a latency objective is over: estimates move no
            // faster.
            solve_interval: config
                .classes
                .iter()
                .map(|c| c.latency_objective)
                .min()
                .unwrap_or_default(),
            solved_at: Time(0),
            next_wakeup: Time(0),
            timer: PendingTimer::default(),
            discovery_watch: DiscoveryWatch::new(&config),
            subset: Subset::new(),
            idle_connections: IdleConnectionLimit::default(),
            next_log_at: Time(0),
            actions: Vec::new(),
            config,
        })
    }

    /// When a client that is rejected now may find capacity: until then the rate that left it none
    /// still counts.
    pub fn retry_after(&self) -> Micros {
        Micros::from_secs(RATE_MEMORY)
    }

    /// How many proxies share each backend that this one uses, itself included.
    pub(crate) fn proxies_per_backend(&self) -> f64 {
        self.subset.proxies_per_backend(&self.config)
    }

    /// Sees to it that the balancer is called at that time at the latest.
    pub(crate) fn wake_by(&mut self, at: Time) {
        self.next_wakeup = self.next_wakeup.min(at);
    }

    /// Asks the host for a timer at the next wakeup unless one expires soon enough.
    pub(crate) fn set_timer(&mut self, now: Time) {
        let sooner = self
            .timer
            .expires_at
            .is_none_or(|pending| self.next_wakeup < pending);
        if sooner && self.next_wakeup < Time(u64::MAX) {
            self.timer.token += 1;
            self.timer.expires_at = Some(self.next_wakeup);
            let after = (self.next_wakeup - now).max(self.config.tick);
            self.actions.push(Action::SetTimer {
                token: TimerToken(self.timer.token),
                after,
            });
        }
    }

    /// Reports an event to the operators' log, two per second at most.
    pub(crate) fn log(&mut self, now: Time, event: LogEvent) {
        if now >= self.next_log_at {
            self.next_log_at = now + LOG_INTERVAL;
            self.actions.push(Action::Log(event));
        }
    }

    /// Counts a request against its tenant's quota; true if that is used up.
    pub(crate) fn is_over_quota(&mut self, now: Time, tenant: Option<TenantId>) -> bool {
        let Some(TenantId(index)) = tenant else {
            return false;
        };
        let Some(tenant) = self.config.tenants.get(index) else {
            return false;
        };
        let own_quota = tenant.quota_per_s / f64::from(self.config.proxy_count);
        !self.tenant_quotas[index].take(now, own_quota)
    }

    /// Takes in a request and its part in the mix of arrivals.
    pub(crate) fn record_arrival(&mut self, id: RequestId, request: RequestRecord) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            update_fraction(&mut class.arrival_share, index == request.class);
        }
        update_fraction(&mut self.low_priority_fraction, request.low_priority);
        self.requests.insert(id, request);
    }

    /// Takes down that an attempt is sent.
    pub(crate) fn record_dispatch(
        &mut self,
        now: Time,
        request_id: RequestId,
        request: &mut RequestRecord,
        id: BackendId,
    ) {
        let work = self.relative_work(request.class);
        let Some(backend) = self.backends.get_mut(&id) else {
            return;
        };
        backend.in_flight += 1;
        backend.add_work(now, work, self.config.overload_window);
        let number = AttemptNumber(request.attempts.len() as u32);
        request
            .attempts
            .push(Attempt::new(backend.endpoint.clone(), now));
        let attempt = InFlightAttempt {
            backend: id,
            class: request.class,
            sent_at: now,
            late: false,
        };
        self.in_flight_attempts
            .insert((request_id, number), attempt);
    }

    /// Takes down that the response to an attempt in flight has begun to stream.
    pub(crate) fn record_stream(&mut self, request: RequestId, attempt: AttemptNumber) {
        let Some(request) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = request.attempts.get(attempt.0 as usize);
        request.streaming |= attempt.is_some_and(|attempt| attempt.in_flight);
    }

    /// Takes down how an attempt ended; returns its request unless that is closed.
    pub(crate) fn record_attempt_end(&mut self, end: &AttemptEnd) -> Option<&RequestRecord> {
        let request = self.requests.get_mut(&end.request)?;
        if let Some(attempt) = request.attempts.get_mut(end.attempt.0 as usize) {
            attempt.in_flight = false;
            attempt.not_executed = end.outcome.not_executed();
        }
        Some(request)
    }

    /// Removes a request; `on_time` tells whether it was served within its objective, if that
    /// counts.
    pub(crate) fn remove_request(
        &mut self,
        id: RequestId,
        on_time: Option<bool>,
    ) -> Option<RequestRecord> {
        let request = self.requests.remove(&id)?;
        self.queue.retain(|queued| *queued != id);
        if let Some(on_time) = on_time {
            for (index, class) in self.classes.iter_mut().enumerate() {
                update_fraction(&mut class.on_time_share, on_time && index == request.class);
            }
        }
        Some(request)
    }

    /// Takes the marks off the unresponsive backends; true if there were any.
    pub(crate) fn clear_unresponsive(&mut self) -> bool {
        let marked = std::mem::take(&mut self.unresponsive);
        for id in &marked {
            if let Some(backend) = self.backends.get_mut(id) {
                backend.unresponsive = false;
            }
        }
        !marked.is_empty()
    }

    /// Takes an update of the endpoint list into the records; true if anything but weights changed.
    pub(crate) fn apply_endpoints(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) -> bool {
        let SubsetUpdate { update, endpoints } =
            self.subset.apply(now, &self.config, update, endpoints);
        let mut changed = false;
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            let listed: BTreeSet<BackendId> =
                endpoints.iter().map(|endpoint| endpoint.id).collect();
            let records = self.backends.values_mut();
            for backend in records.filter(|backend| !listed.contains(&backend.endpoint.id)) {
                backend.endpoint.state = BackendState::Removed;
                changed = true;
            }
        }
        for endpoint in endpoints {
            changed |= self.apply_endpoint(endpoint);
        }
        if changed {
            let is_left = |backend: &BackendRecord| {
                backend.endpoint.state == BackendState::Removed && backend.in_flight == 0
            };
            self.backends.retain(|_, backend| !is_left(backend));
        }
        changed
    }

    fn apply_endpoint(&mut self, endpoint: Endpoint) -> bool {
        let backend = self.backends.entry(endpoint.id).or_default();
        if backend.endpoint.started_at != endpoint.started_at {
            // A restarted process has nothing in common with the old one but its address.
            *backend = BackendRecord {
                in_flight: backend.in_flight,
                recent_work: std::mem::take(&mut backend.recent_work),
                ..BackendRecord::default()
            };
        }
        // A live weight moves all the time; the next regular computation of the shares takes it in.
        let old = Endpoint {
            weight: endpoint.weight,
            ..backend.endpoint.clone()
        };
        let changed = old != endpoint;
        backend.endpoint = endpoint;
        changed
    }
}
