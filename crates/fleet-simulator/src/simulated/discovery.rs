//! The simulated discovery service, which all proxies call and watch. It serves calls one after the
//! other, and may have an outage.

use super::messages::Delivery;
use super::propagation::{ChangeLog, PropagationStatistics};
use super::timeline::{BackendChange, Outage};
use brookstack_balancer::{Endpoint, EndpointUpdate, Micros, Time};
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;

/// A call fails if discovery has not started to serve it within this time.
const QUEUE_TIMEOUT: Micros = Micros(2_000_000);
/// The network delay of a response from discovery to a proxy.
const NETWORK_DELAY: Micros = Micros(1_000);

/// Statistics of discovery and of the propagation of changes to the proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DiscoveryStatistics {
    /// The number of changes.
    pub changes: usize,
    /// The number of calls by proxies.
    pub calls: u64,
    /// Calls that were refused because discovery was down.
    #[serde(rename = "refused")]
    pub calls_refused: u64,
    /// Calls that failed because they waited in the queue for too long.
    #[serde(rename = "queued_too_long")]
    pub calls_timed_out: u64,
    /// Watches that broke because discovery went down.
    #[serde(rename = "broken")]
    pub watches_broken: u64,
    /// How long changes took to reach the proxies.
    #[serde(flatten)]
    pub propagation: PropagationStatistics,
}

/// The interval at which discovery answers a watch without changes, as its proxy asks for. Such an
/// answer costs no service time here.
const WATCH_ANSWER_INTERVAL: Micros = Micros(3_500_000);

/// The watch and the queued call of one proxy.
#[derive(Clone, Copy)]
struct Watcher {
    /// Whether the proxy has a watch.
    is_watching: bool,
    /// When discovery last answered the watch.
    answered_at: Time,
    /// Whether the proxy has a call in the queue.
    is_queued: bool,
}

/// A call that waits until discovery serves it.
#[derive(Clone, Copy)]
struct QueuedCall {
    proxy: u32,
    since: Time,
}

#[derive(Default)]
struct CallCounts {
    calls: u64,
    refused: u64,
    timed_out: u64,
    watches_broken: u64,
}

/// The discovery service.
pub struct Discovery {
    call_duration: Micros,
    outage: Option<Outage>,
    /// An injected fault: discovery does not send changes to watches, so the proxies are notified
    /// too late.
    watch_updates_suppressed: bool,
    is_down: bool,
    queue: VecDeque<QueuedCall>,
    /// When discovery is free to serve the next call.
    free_at: Time,
    watchers: Vec<Watcher>,
    counts: CallCounts,
    /// The changes, and which of them each proxy knows.
    pub changes: ChangeLog,
}

impl Discovery {
    /// A service that serves a call in `call_duration`. All proxies already have its endpoint list
    /// and a watch.
    pub fn new(
        proxies: u32,
        call_duration: Micros,
        outage: Option<Outage>,
        watch_updates_suppressed: bool,
        start: Time,
    ) -> Discovery {
        let watching = Watcher {
            is_watching: true,
            answered_at: start,
            is_queued: false,
        };
        Discovery {
            call_duration,
            outage,
            watch_updates_suppressed,
            is_down: false,
            queue: VecDeque::new(),
            free_at: start,
            watchers: vec![watching; proxies as usize],
            counts: CallCounts::default(),
            changes: ChangeLog::new(proxies, outage, start),
        }
    }

    /// Runs one step: starts or ends the outage if due, adds the changes of this step, sends them
    /// to the watches, and serves calls. Returns the messages to the proxies.
    pub fn step(&mut self, now: Time, changes: &[BackendChange]) -> Vec<Delivery> {
        let mut deliveries = Vec::new();
        let is_down = self.outage.is_some_and(|outage| outage.contains(now));
        if is_down && !self.is_down {
            self.go_down(now, &mut deliveries);
        }
        self.is_down = is_down;
        let known_before = self.changes.count();
        for change in changes {
            self.changes.append(*change);
        }
        if !changes.is_empty() && !is_down && !self.watch_updates_suppressed {
            self.notify_watchers(now, known_before, &mut deliveries);
        }
        if !is_down {
            self.answer_watches(now, &mut deliveries);
            self.serve_calls(now, &mut deliveries);
        }
        deliveries
    }

    /// Starts the outage: all watches break and all queued calls fail.
    fn go_down(&mut self, now: Time, deliveries: &mut Vec<Delivery>) {
        for proxy in 0..self.watchers.len() as u32 {
            let watcher = &mut self.watchers[proxy as usize];
            if watcher.is_watching {
                watcher.is_watching = false;
                self.counts.watches_broken += 1;
                deliveries.push(watch_failed(proxy, now));
            }
        }
        for call in std::mem::take(&mut self.queue) {
            self.watchers[call.proxy as usize].is_queued = false;
            self.counts.refused += 1;
            deliveries.push(watch_failed(call.proxy, now));
        }
        self.free_at = self.outage.map_or(now, |outage| outage.end);
    }

    /// Answers the watches that had no answer for [`WATCH_ANSWER_INTERVAL`], without changes.
    fn answer_watches(&mut self, now: Time, deliveries: &mut Vec<Delivery>) {
        for (proxy, watcher) in self.watchers.iter_mut().enumerate() {
            if watcher.is_watching && now - watcher.answered_at >= WATCH_ANSWER_INTERVAL {
                watcher.answered_at = now;
                deliveries.push(delta(proxy as u32, now, Arc::default()));
            }
        }
    }

    /// Sends all but the first `known_changes` changes to the proxies that have a watch.
    fn notify_watchers(&mut self, now: Time, known_changes: usize, deliveries: &mut Vec<Delivery>) {
        let endpoints = Arc::new(self.changes.endpoints_since(known_changes));
        for proxy in 0..self.watchers.len() as u32 {
            if self.watchers[proxy as usize].is_watching {
                deliveries.push(delta(proxy, now, endpoints.clone()));
                self.changes.record_notification(proxy, now);
            }
        }
    }

    /// Responds to the queued calls that are served by now, and fails those that waited for too
    /// long.
    fn serve_calls(&mut self, now: Time, deliveries: &mut Vec<Delivery>) {
        while let Some(call) = self.queue.front().copied() {
            let proxy = call.proxy;
            let begins_at = self.free_at.max(call.since);
            let times_out_at = call.since + QUEUE_TIMEOUT;
            let done_at = begins_at + self.call_duration;
            if begins_at > times_out_at && times_out_at <= now {
                self.counts.timed_out += 1;
                deliveries.push(watch_failed(proxy, times_out_at));
            } else if done_at <= now {
                self.free_at = done_at;
                self.watchers[proxy as usize].is_watching = true;
                self.watchers[proxy as usize].answered_at = now;
                // The response contains all changes until now. The watch delivers later ones.
                let known_changes = self.changes.known_changes(proxy);
                let endpoints = Arc::new(self.changes.endpoints_since(known_changes));
                deliveries.push(delta(proxy, now, endpoints));
                self.changes.record_notification(proxy, now);
            } else {
                return;
            }
            self.queue.pop_front();
            self.watchers[proxy as usize].is_queued = false;
        }
    }

    /// Handles the call of a proxy that wants an answer and a watch. The call is ignored if the
    /// proxy already has a queued call.
    pub fn watch(&mut self, now: Time, proxy: u32) -> Option<Delivery> {
        let watcher = &mut self.watchers[proxy as usize];
        if watcher.is_queued {
            return None;
        }
        self.counts.calls += 1;
        if self.is_down {
            self.counts.refused += 1;
            return Some(watch_failed(proxy, now));
        }
        watcher.is_queued = true;
        self.queue.push_back(QueuedCall { proxy, since: now });
        None
    }

    /// Records the restart of a proxy. The endpoint list of the new process contains the first
    /// `known_changes` changes.
    pub fn proxy_restarted(&mut self, now: Time, proxy: u32, known_changes: usize) {
        self.queue.retain(|call| call.proxy != proxy);
        self.watchers[proxy as usize] = Watcher {
            is_watching: false,
            answered_at: now,
            is_queued: false,
        };
        self.changes.record_restart(proxy, now, known_changes);
    }

    /// The statistics at the end of the run.
    pub fn statistics(&self, end: Time) -> DiscoveryStatistics {
        DiscoveryStatistics {
            changes: self.changes.count(),
            calls: self.counts.calls,
            calls_refused: self.counts.refused,
            calls_timed_out: self.counts.timed_out,
            watches_broken: self.counts.watches_broken,
            propagation: self.changes.statistics(end),
        }
    }
}

/// A response with changed endpoints that discovery sends at `sent_at`.
fn delta(proxy: u32, sent_at: Time, endpoints: Arc<Vec<Endpoint>>) -> Delivery {
    let arrives_at = sent_at + NETWORK_DELAY;
    Delivery::endpoints(proxy, arrives_at, EndpointUpdate::Delta, endpoints)
}

/// The failure of a call or of a watch at `failed_at`.
fn watch_failed(proxy: u32, failed_at: Time) -> Delivery {
    let arrives_at = failed_at + NETWORK_DELAY;
    let endpoints = Arc::default();
    Delivery::endpoints(proxy, arrives_at, EndpointUpdate::WatchFailed, endpoints)
}
