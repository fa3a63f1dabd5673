//! A fleet of simulated proxies with its backends and its discovery, run step by step.

use super::backends::Backends;
use super::checks;
use super::context::{BackendIndex, MeasurementWindow, SharedContext};
use super::discovery::Discovery;
use super::figures::{Figures, LateAttempts};
use super::load::Load;
use super::messages::{AttemptKey, Delivery, ProxyInput, ProxyOutput};
use super::propagation::Lateness;
use super::proxy::{Proxy, RequestCounts};
use super::scenario::TimelineSettings;
use super::setup::{Setup, WARM_UP_SECS};
use super::timeline::{BackendChange, Timeline};
use crate::failure::{InputError, MeasurementError};
use crate::histogram::{new_histogram, quantile_ms};
use crate::world::{self, Deployment, DiscoveryMode, ZONES};
use brookstack_balancer::{BackendState, Endpoint, EndpointUpdate, Micros, Time};
use hdrhistogram::Histogram;
use rayon::prelude::*;
use std::sync::Arc;

/// The clock at the start; it begins at no particular value.
const START: Time = Time(1_000_000_000_000);
/// The length of a step.
const STEP: Micros = Micros(5_000);
/// The fraction of the backends' own idle timeout after which the real proxy closes an idle
/// connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;
/// The number of the second process of each proxy, after a restart.
const RESTARTED_PROCESS: u32 = 1;

/// A fleet and the world around it.
pub struct Fleet {
    setup: Setup,
    proxies: Vec<Proxy>,
    backends: Backends,
    discovery: Discovery,
    timeline: Timeline,
    shared: SharedContext,
    /// The endpoint list as it was at the start.
    first_list: Arc<Vec<Endpoint>>,
    /// From a request's arrival to its first attempt, us.
    queue_delays: Histogram<u64>,
    /// From a request's arrival to its answer, us.
    latencies: Histogram<u64>,
    late_attempts: LateAttempts,
}

impl Fleet {
    /// A fleet at its start: all proxies hold the first endpoint list.
    pub fn new(setup: &Setup) -> Result<Fleet, InputError> {
        let window = measurement_window(setup);
        let timeline = timeline(setup, window);
        let proxies: Result<Vec<Proxy>, InputError> = (0..setup.proxies)
            .map(|number| new_proxy(setup, number))
            .collect();
        let first_list = first_list(setup);
        let mut fleet = Fleet {
            proxies: proxies?,
            backends: new_backends(setup),
            discovery: new_discovery(setup, &timeline),
            timeline,
            shared: SharedContext {
                backend_index: backend_index(&first_list)?,
                connection_idle_timeout: connection_idle_timeout(setup),
                window,
            },
            first_list,
            queue_delays: new_histogram(),
            latencies: new_histogram(),
            late_attempts: LateAttempts::default(),
            setup: setup.clone(),
        };
        for proxy in 0..setup.proxies {
            let endpoints = fleet.first_list_of(proxy);
            fleet.deliver(endpoint_list(
                proxy,
                START,
                EndpointUpdate::Snapshot,
                endpoints,
            ));
        }
        Ok(fleet)
    }

    /// The first list as a proxy gets it: part of it may be hidden from most proxies.
    fn first_list_of(&self, proxy: u32) -> Arc<Vec<Endpoint>> {
        let hidden = self.setup.faults.hidden_percent;
        if hidden == 0 || proxy % 10 == 0 {
            return self.first_list.clone();
        }
        let visible = self
            .first_list
            .iter()
            .enumerate()
            .filter(|(number, _)| number / ZONES.len() % 100 >= hidden);
        Arc::new(visible.map(|(_, endpoint)| endpoint.clone()).collect())
    }

    /// Runs the fleet to the end of its measurement window.
    pub fn run(&mut self) -> Result<(), MeasurementError> {
        let end = self.shared.window.end;
        let changes = std::mem::take(&mut self.timeline.changes);
        let mut upcoming = changes.into_iter().peekable();
        let mut now = START;
        while now < end {
            now = now + STEP;
            let mut changes = Vec::new();
            while let Some(change) = upcoming.next_if(|change| change.at <= now) {
                changes.push(change);
            }
            self.move_world(now, &changes)?;
            let shared = &self.shared;
            self.proxies
                .par_iter_mut()
                .for_each(|proxy| proxy.tick(now, shared));
            self.take_outputs(now);
        }
        Ok(())
    }

    /// What the world does up to the moment of the proxies' tick.
    fn move_world(&mut self, now: Time, changes: &[BackendChange]) -> Result<(), MeasurementError> {
        for change in changes {
            self.backends
                .set(change.backend, change.state, change.started_at);
        }
        for result in self.backends.completed(now) {
            self.deliver(result.into());
        }
        for delivery in self.discovery.step(now, changes) {
            self.deliver(delivery);
        }
        if self.timeline.restart_at.is_some_and(|at| at <= now) {
            self.timeline.restart_at = None;
            self.restart_proxies(now)?;
        }
        Ok(())
    }

    /// All proxies restart at once, with the first list or with the newest one.
    fn restart_proxies(&mut self, now: Time) -> Result<(), MeasurementError> {
        let use_first_list = self.timeline.restart_with_first_list;
        let known_changes = if use_first_list {
            0
        } else {
            self.discovery.changes.count()
        };
        let newest = Arc::new(self.backends.endpoints());
        for number in 0..self.setup.proxies {
            let proxy = &mut self.proxies[number as usize];
            let interrupted = proxy
                .restart(self.setup.seed, RESTARTED_PROCESS)
                .map_err(MeasurementError::RestartProxy)?;
            for key in interrupted {
                self.backends.cancel(key);
            }
            let endpoints = if use_first_list {
                self.first_list_of(number)
            } else {
                newest.clone()
            };
            self.discovery.proxy_restarted(now, number, known_changes);
            self.deliver(endpoint_list(
                number,
                now,
                EndpointUpdate::Cached,
                endpoints,
            ));
        }
        Ok(())
    }

    /// Takes what the proxies sent in their tick, in the order of their numbers.
    fn take_outputs(&mut self, now: Time) {
        let in_window = self.shared.window.contains(now);
        for number in 0..self.proxies.len() {
            for output in std::mem::take(&mut self.proxies[number].outputs) {
                self.take_output(now, number as u32, output, in_window);
            }
        }
    }

    fn take_output(&mut self, now: Time, proxy: u32, output: ProxyOutput, in_window: bool) {
        match output {
            ProxyOutput::SendAttempt {
                key,
                backend,
                queue_delay,
            } => {
                if let Some(queue_delay) = queue_delay.filter(|_| in_window) {
                    self.queue_delays.saturating_record(queue_delay.0.max(1));
                }
                self.begin_attempt(now, key, backend, in_window);
            }
            ProxyOutput::CancelAttempt(key) => self.backends.cancel(key),
            ProxyOutput::WatchEndpoints => {
                if let Some(delivery) = self.discovery.watch(now, proxy) {
                    self.deliver(delivery);
                }
            }
            ProxyOutput::RequestServed { latency } => {
                if in_window {
                    self.latencies.saturating_record(latency.0.max(1));
                }
            }
        }
    }

    fn begin_attempt(&mut self, now: Time, key: AttemptKey, backend: u32, in_window: bool) {
        match self.discovery.changes.lateness(now, key.proxy, backend) {
            Lateness::InTime => {}
            Lateness::AfterNotification => self.late_attempts.after_notification += 1,
            Lateness::AfterDeadline => self.late_attempts.after_deadline += 1,
        }
        if let Some(result) = self.backends.begin(now, key, backend, in_window) {
            self.deliver(result.into());
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        self.proxies[delivery.proxy as usize].deliver(delivery.at, delivery.input);
    }

    /// The figures of the run, checked.
    pub fn into_figures(self) -> Figures {
        let window = self.shared.window;
        let mut requests = RequestCounts::default();
        for proxy in &self.proxies {
            requests.add(&proxy.counts);
        }
        let load = Load::new(
            &self.backends.all,
            &self.proxies,
            &self.unchanged_backends(),
            window.secs(),
        );
        let mut figures = Figures {
            requests,
            open_at_end: self.proxies.iter().map(Proxy::unanswered).sum(),
            latency_p50_ms: quantile_ms(&self.latencies, 0.5),
            latency_p99_ms: quantile_ms(&self.latencies, 0.99),
            queue_delay_p50_ms: quantile_ms(&self.queue_delays, 0.5),
            queue_delay_p99_ms: quantile_ms(&self.queue_delays, 0.99),
            outcomes: self.backends.outcomes,
            load,
            cold_starts: self.backends.cold_starts(),
            discovery: self.discovery.figures(window.end),
            late_attempts: self.late_attempts,
            checks: Vec::new(),
            setup: self.setup,
        };
        figures.checks = checks::checks(&figures);
        figures
    }

    /// For each backend, whether the scenario left it alone.
    fn unchanged_backends(&self) -> Vec<bool> {
        let mut unchanged = vec![true; self.setup.backends];
        for backend in self.discovery.changes.changed_backends() {
            unchanged[backend as usize] = false;
        }
        unchanged
    }
}

fn measurement_window(setup: &Setup) -> MeasurementWindow {
    let start = START + Micros::from_secs(WARM_UP_SECS);
    let end = START + Micros::from_secs(setup.duration_secs);
    MeasurementWindow::new(start, end)
}

fn timeline(setup: &Setup, window: MeasurementWindow) -> Timeline {
    setup.scenario.timeline(TimelineSettings {
        backends: setup.backends,
        rack_size: setup.rack_size,
        replacements_per_second: setup.replacements_per_second,
        window,
        seed: setup.seed ^ 1,
    })
}

fn new_proxy(setup: &Setup, number: u32) -> Result<Proxy, InputError> {
    let deployment = Deployment {
        proxy_count: setup.proxies,
        proxy_index: number,
        tenant_count: 0,
        mode: DiscoveryMode::Subscribe,
        connection_idle_secs: setup.connection_idle_secs,
        cross_zone_cost: setup.cross_zone_cost,
    };
    let config = deployment.config()?;
    let requests_per_second = setup.requests_per_second_of(number);
    Proxy::new(config, setup.seed, requests_per_second, START)
}

fn new_backends(setup: &Setup) -> Backends {
    Backends::new(
        setup.backends,
        setup.faults.slowdown,
        setup.faults.fragility,
        setup.seed ^ 2,
    )
}

fn new_discovery(setup: &Setup, timeline: &Timeline) -> Discovery {
    Discovery::new(
        setup.proxies,
        Micros::from_secs(setup.discovery_call_ms / 1000.0),
        timeline.outage,
        setup.faults.unresponsive_discovery,
        START,
    )
}

fn first_list(setup: &Setup) -> Arc<Vec<Endpoint>> {
    let endpoint = |backend| world::balancer_endpoint(backend, BackendState::Ready, None);
    Arc::new((0..setup.backends).map(endpoint).collect())
}

/// The numbers of backends by their ids, which are made of names and could collide.
fn backend_index(endpoints: &[Endpoint]) -> Result<BackendIndex, InputError> {
    let index: BackendIndex = endpoints
        .iter()
        .enumerate()
        .map(|(number, endpoint)| (endpoint.id, number as u32))
        .collect();
    if index.len() != endpoints.len() {
        return Err(InputError::BackendIdCollision {
            backends: endpoints.len(),
        });
    }
    Ok(index)
}

fn connection_idle_timeout(setup: &Setup) -> Micros {
    Micros::from_secs(setup.connection_idle_secs * IDLE_TIMEOUT_FRACTION)
}

fn endpoint_list(
    proxy: u32,
    at: Time,
    update: EndpointUpdate,
    endpoints: Arc<Vec<Endpoint>>,
) -> Delivery {
    Delivery {
        proxy,
        at,
        input: ProxyInput::EndpointsUpdated { update, endpoints },
    }
}
