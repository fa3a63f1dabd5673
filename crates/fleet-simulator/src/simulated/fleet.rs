//! A fleet of simulated proxies with its backends and its discovery, and the loop that runs it step
//! by step.

mod construction;
mod first_list;
mod recorder;

use super::backends::Backends;
use super::checks;
use super::context::SharedContext;
use super::discovery::Discovery;
use super::load::LoadStatistics;
use super::messages::{AttemptKey, Delivery, ProxyOutput};
use super::proxy::{Proxy, RequestCounts};
use super::results::FleetResults;
use super::setup::Setup;
use super::timeline::{BackendChange, Timeline};
use crate::failure::{InputError, MeasurementError};
use crate::histogram::quantile_ms;
use brookstack_balancer::{Endpoint, EndpointUpdate, Micros, Time};
use construction::START;
use first_list::FirstList;
use rayon::prelude::*;
use recorder::Recorder;
use std::sync::Arc;

/// The duration of a step.
const STEP: Micros = Micros(5_000);
/// The number of the process of a proxy after a restart. The first process has number 0.
const RESTARTED_PROCESS: u32 = 1;

/// The proxies of a fleet and their environment: backends, discovery, and the timeline of changes.
pub struct Fleet {
    setup: Setup,
    proxies: Vec<Proxy>,
    backends: Backends,
    discovery: Discovery,
    timeline: Timeline,
    shared: SharedContext,
    first_list: FirstList,
    recorder: Recorder,
}

impl Fleet {
    /// A fleet at the start of a run, in which all proxies have the first endpoint list.
    pub fn new(setup: &Setup) -> Result<Fleet, InputError> {
        let window = construction::measurement_window(setup);
        let timeline = construction::timeline(setup, window);
        let proxies = construction::proxies(setup)?;
        let first_list = FirstList::new(setup.backends, setup.faults.hidden_percent);
        let shared = SharedContext {
            backend_index: first_list.backend_index()?,
            connection_idle_timeout: construction::connection_idle_timeout(setup),
            window,
        };
        let mut fleet = Fleet {
            proxies,
            backends: construction::backends(setup),
            discovery: construction::discovery(setup, &timeline),
            timeline,
            shared,
            first_list,
            recorder: Recorder::new(window),
            setup: setup.clone(),
        };
        for proxy in 0..setup.proxies {
            let endpoints = fleet.first_list.of_proxy(proxy);
            let update = EndpointUpdate::Snapshot;
            fleet.deliver(Delivery::endpoints(proxy, START, update, endpoints));
        }
        Ok(fleet)
    }

    /// Runs the fleet to the end of its measurement window.
    pub fn run(&mut self) -> Result<(), MeasurementError> {
        let end = self.shared.window.end;
        let changes = std::mem::take(&mut self.timeline.changes);
        let mut upcoming = changes.into_iter().peekable();
        let mut now = START;
        while now < end {
            now = now + STEP;
            let due = std::iter::from_fn(|| upcoming.next_if(|change| change.at <= now));
            let changes: Vec<BackendChange> = due.collect();
            self.advance_environment(now, &changes)?;
            self.tick_proxies(now);
            self.process_outputs(now);
        }
        Ok(())
    }

    /// Runs one tick of each proxy, in parallel on the threads of the pool.
    fn tick_proxies(&mut self, now: Time) {
        let shared = &self.shared;
        let proxies = self.proxies.par_iter_mut();
        proxies.for_each(|proxy| proxy.tick(now, shared));
    }

    /// Advances the environment to `now`: applies the changes, delivers the results of attempts and
    /// the messages of discovery, and restarts the proxies if due.
    fn advance_environment(
        &mut self,
        now: Time,
        changes: &[BackendChange],
    ) -> Result<(), MeasurementError> {
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

    /// Restarts all proxies at the same time, with the first or with the newest endpoint list.
    fn restart_proxies(&mut self, now: Time) -> Result<(), MeasurementError> {
        let use_first_list = self.timeline.restart_with_first_list;
        let known_changes = if use_first_list {
            0
        } else {
            self.discovery.changes.count()
        };
        let newest = Arc::new(self.backends.endpoints());
        for number in 0..self.setup.proxies {
            let endpoints = if use_first_list {
                self.first_list.of_proxy(number)
            } else {
                newest.clone()
            };
            self.restart_proxy(now, number, endpoints)?;
            self.discovery.proxy_restarted(now, number, known_changes);
        }
        Ok(())
    }

    /// Restarts a proxy with the given endpoint list. Cancels its attempts at the backends.
    fn restart_proxy(
        &mut self,
        now: Time,
        number: u32,
        endpoints: Arc<Vec<Endpoint>>,
    ) -> Result<(), MeasurementError> {
        let proxy = &mut self.proxies[number as usize];
        let interrupted = proxy
            .restart(self.setup.seed, RESTARTED_PROCESS)
            .map_err(MeasurementError::RestartProxy)?;
        for key in interrupted {
            self.backends.cancel(key);
        }
        let update = EndpointUpdate::Cached;
        self.deliver(Delivery::endpoints(number, now, update, endpoints));
        Ok(())
    }

    /// Processes the outputs of the proxies, in the order of the proxies' numbers.
    fn process_outputs(&mut self, now: Time) {
        for number in 0..self.proxies.len() {
            for output in std::mem::take(&mut self.proxies[number].outputs) {
                self.process_output(now, number as u32, output);
            }
        }
    }

    fn process_output(&mut self, now: Time, proxy: u32, output: ProxyOutput) {
        match output {
            ProxyOutput::SendAttempt {
                key,
                backend,
                queue_delay,
            } => {
                if let Some(queue_delay) = queue_delay {
                    self.recorder.record_queue_delay(now, queue_delay);
                }
                self.begin_attempt(now, key, backend);
            }
            ProxyOutput::CancelAttempt(key) => self.backends.cancel(key),
            ProxyOutput::WatchEndpoints => {
                if let Some(delivery) = self.discovery.watch(now, proxy) {
                    self.deliver(delivery);
                }
            }
            ProxyOutput::RequestServed { latency } => self.recorder.record_latency(now, latency),
        }
    }

    fn begin_attempt(&mut self, now: Time, key: AttemptKey, backend: u32) {
        let lateness = self.discovery.changes.lateness(now, key.proxy, backend);
        self.recorder.record_attempt(lateness);
        let in_window = self.shared.window.contains(now);
        if let Some(result) = self.backends.begin(now, key, backend, in_window) {
            self.deliver(result.into());
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        self.proxies[delivery.proxy as usize].deliver(delivery.at, delivery.input);
    }

    /// Collects the results of the run and checks them.
    pub fn into_results(self) -> FleetResults {
        let latencies = &self.recorder.latencies;
        let queue_delays = &self.recorder.queue_delays;
        let mut results = FleetResults {
            requests: self.request_counts(),
            open_at_end: self.proxies.iter().map(Proxy::unanswered).sum(),
            latency_p50_ms: quantile_ms(latencies, 0.5),
            latency_p99_ms: quantile_ms(latencies, 0.99),
            queue_delay_p50_ms: quantile_ms(queue_delays, 0.5),
            queue_delay_p99_ms: quantile_ms(queue_delays, 0.99),
            outcomes: self.backends.outcomes,
            load: self.load(),
            cold_starts: self.backends.cold_starts(),
            discovery: self.discovery.statistics(self.shared.window.end),
            late_attempts: self.recorder.late_attempts,
            checks: Vec::new(),
            setup: self.setup,
        };
        results.checks = checks::checks(&results);
        results
    }

    /// The number of requests by outcome, over all proxies.
    fn request_counts(&self) -> RequestCounts {
        let mut sum = RequestCounts::default();
        for proxy in &self.proxies {
            sum.add(&proxy.counts);
        }
        sum
    }

    /// How the load was spread over backends, proxies and connections.
    fn load(&self) -> LoadStatistics {
        LoadStatistics::new(
            &self.backends.all,
            &self.proxies,
            &self.unchanged_backends(),
            self.shared.window.secs(),
        )
    }

    /// For each backend, whether the scenario did not change it.
    fn unchanged_backends(&self) -> Vec<bool> {
        let mut unchanged = vec![true; self.setup.backends];
        for backend in self.discovery.changes.changed_backends() {
            unchanged[backend as usize] = false;
        }
        unchanged
    }
}
