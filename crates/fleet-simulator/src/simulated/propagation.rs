//! The propagation of backend changes: the changes that were made, and when each proxy was notified
//! of them.

use super::timeline::{BackendChange, Outage};
use crate::histogram::{millis, new_histogram_up_to, quantile_ms};
use crate::topology;
use brookstack_balancer::{BackendState, Endpoint, Micros, Time};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// The time within which a proxy has to be notified of a change. It starts when discovery has the
/// change and the proxy can reach discovery.
pub const NOTIFICATION_DEADLINE: Micros = Micros(6_000_000);
/// The time within which a proxy has to react to a notification.
pub const REACTION_TIME: Micros = Micros(500_000);

/// The longest delay that the histogram can record, us.
const MAX_RECORDED_DELAY_MICROS: u64 = 3_600_000_000;

/// Whether a proxy sent an attempt too late, that is, to a backend that it should have known to
/// take no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lateness {
    /// The backend takes new requests, or the proxy could not know that it does not, or the proxy
    /// was notified within the last [`REACTION_TIME`].
    InTime,
    /// The proxy was notified more than [`REACTION_TIME`] ago.
    AfterNotification,
    /// The proxy was notified too late or not at all: [`NOTIFICATION_DEADLINE`] plus
    /// [`REACTION_TIME`] has passed since it could have been notified.
    AfterDeadline,
}

/// A notification of a proxy. The list at the start of a process counts as its first one.
#[derive(Clone, Copy, Debug)]
struct Notification {
    /// The proxy knew this number of changes from then on: the first ones of the log.
    known_changes: usize,
    at: Time,
}

/// The changes that the current process of a proxy knows.
struct ProxyKnowledge {
    /// When the process started.
    started_at: Time,
    /// The number of changes that it knows.
    known_changes: usize,
    /// Its notifications, in order of time.
    notifications: Vec<Notification>,
}

impl ProxyKnowledge {
    fn new(started_at: Time, known_changes: usize) -> ProxyKnowledge {
        let first = Notification {
            known_changes,
            at: started_at,
        };
        ProxyKnowledge {
            started_at,
            known_changes,
            notifications: vec![first],
        }
    }

    /// When it was notified of a change, or when it started if its first list contained the change.
    /// `None` if it does not know the change.
    fn notified_at(&self, change: usize) -> Option<Time> {
        let position = self
            .notifications
            .partition_point(|notification| notification.known_changes <= change);
        self.notifications.get(position).map(|n| n.at)
    }
}

/// Statistics of how long changes took to reach proxies, over all pairs of a proxy and a change.
///
/// Each process of a proxy counts as a proxy. Changes that are in the first list of a process, and
/// those of which it was not notified before it ended in a restart, are not counted.
///
/// The delay of a pair starts when discovery has the change and the process of the proxy can reach
/// discovery. It ends when the proxy is notified.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PropagationStatistics {
    /// The median delay, ms.
    pub delay_p50_ms: f64,
    /// The 99th percentile of the delay, ms.
    pub delay_p99_ms: f64,
    /// The longest delay, ms. The delay of a pair without a notification lasts until the end of the
    /// run.
    pub delay_max_ms: f64,
    /// Pairs whose delay exceeds [`NOTIFICATION_DEADLINE`], including those without a notification.
    #[serde(rename = "over_6s")]
    pub after_deadline: u64,
    /// Pairs without a notification at the end of the run.
    #[serde(rename = "untold")]
    pub not_notified: u64,
    /// All pairs, including those without a notification.
    pub pairs: u64,
}

/// All changes in the order in which they were made, and which of them each proxy knows.
pub struct ChangeLog {
    outage: Option<Outage>,
    changes: Vec<BackendChange>,
    proxies: Vec<ProxyKnowledge>,
    /// The delays of pairs with a notification, us.
    delays: Histogram<u64>,
    /// The number of pairs of a proxy and a change with a notification.
    notified_pairs: u64,
    /// The number of such pairs whose delay exceeded [`NOTIFICATION_DEADLINE`].
    notified_after_deadline: u64,
    /// Maps each backend that takes no new requests to the index of the first change after it was
    /// last ready.
    unavailable_since: BTreeMap<u32, usize>,
}

impl ChangeLog {
    /// An empty log. All proxies have started at the time `start`.
    pub fn new(proxies: u32, outage: Option<Outage>, start: Time) -> ChangeLog {
        ChangeLog {
            outage,
            changes: Vec::new(),
            proxies: (0..proxies)
                .map(|_| ProxyKnowledge::new(start, 0))
                .collect(),
            delays: new_histogram_up_to(MAX_RECORDED_DELAY_MICROS),
            notified_pairs: 0,
            notified_after_deadline: 0,
            unavailable_since: BTreeMap::new(),
        }
    }

    /// The number of changes so far.
    pub fn count(&self) -> usize {
        self.changes.len()
    }

    /// Appends a change.
    pub fn append(&mut self, change: BackendChange) {
        if change.state == BackendState::Ready {
            self.unavailable_since.remove(&change.backend);
        } else {
            let number = self.changes.len();
            self.unavailable_since
                .entry(change.backend)
                .or_insert(number);
        }
        self.changes.push(change);
    }

    /// The number of changes that a proxy knows.
    pub fn known_changes(&self, proxy: u32) -> usize {
        self.proxies[proxy as usize].known_changes
    }

    /// The newest state of each backend that is affected by a change after the first
    /// `known_changes`.
    pub fn endpoints_since(&self, known_changes: usize) -> Vec<Endpoint> {
        let mut newest: BTreeMap<u32, Endpoint> = BTreeMap::new();
        for change in &self.changes[known_changes..] {
            let number = change.backend as usize;
            let endpoint = topology::balancer_endpoint(number, change.state, change.started_at);
            newest.insert(change.backend, endpoint);
        }
        newest.into_values().collect()
    }

    /// Records that a proxy is notified of all changes at the time `now`.
    pub fn record_notification(&mut self, proxy: u32, now: Time) {
        let knowledge = &self.proxies[proxy as usize];
        for change in knowledge.known_changes..self.changes.len() {
            let delay = now - self.reachable_at(change, knowledge);
            self.delays.saturating_record(delay.0.max(1));
            self.notified_pairs += 1;
            self.notified_after_deadline += u64::from(delay > NOTIFICATION_DEADLINE);
        }
        let known_changes = self.changes.len();
        let knowledge = &mut self.proxies[proxy as usize];
        if known_changes > knowledge.known_changes {
            knowledge.known_changes = known_changes;
            knowledge.notifications.push(Notification {
                known_changes,
                at: now,
            });
        }
    }

    /// Records the restart of a proxy. The endpoint list of the new process contains the first
    /// `known_changes` changes.
    pub fn record_restart(&mut self, proxy: u32, now: Time, known_changes: usize) {
        self.proxies[proxy as usize] = ProxyKnowledge::new(now, known_changes);
    }

    /// The time from which discovery had a change and the process of the proxy could reach
    /// discovery.
    fn reachable_at(&self, change: usize, knowledge: &ProxyKnowledge) -> Time {
        let made_at = self.changes[change].at;
        let available_at = match self.outage {
            Some(outage) if outage.contains(made_at) => outage.end,
            _ => made_at,
        };
        available_at.max(knowledge.started_at)
    }

    /// Whether an attempt that a proxy sends to a backend now is too late.
    pub fn lateness(&self, now: Time, proxy: u32, backend: u32) -> Lateness {
        let Some(change) = self.unavailable_since.get(&backend).copied() else {
            return Lateness::InTime;
        };
        let knowledge = &self.proxies[proxy as usize];
        let notified_at = knowledge.notified_at(change);
        let deadline = self.reachable_at(change, knowledge) + NOTIFICATION_DEADLINE;
        if notified_at.is_some_and(|at| now > at + REACTION_TIME) {
            Lateness::AfterNotification
        } else if now > deadline + REACTION_TIME {
            Lateness::AfterDeadline
        } else {
            Lateness::InTime
        }
    }

    /// The backends that changed so far, with one entry per change.
    pub fn changed_backends(&self) -> impl Iterator<Item = u32> + '_ {
        self.changes.iter().map(|change| change.backend)
    }

    /// The statistics at the end of the run.
    pub fn statistics(&self, end: Time) -> PropagationStatistics {
        let pending = self.pending_delays(end);
        let is_late = |delay: &&Micros| **delay > NOTIFICATION_DEADLINE;
        let pending_after_deadline = pending.iter().filter(is_late).count() as u64;
        let longest_pending = pending.iter().copied().max().unwrap_or(Micros(0));
        let longest = longest_pending.max(self.longest_notified_delay());
        let not_notified = pending.len() as u64;
        PropagationStatistics {
            delay_p50_ms: quantile_ms(&self.delays, 0.5),
            delay_p99_ms: quantile_ms(&self.delays, 0.99),
            delay_max_ms: millis(longest.0),
            after_deadline: self.notified_after_deadline + pending_after_deadline,
            not_notified,
            pairs: self.notified_pairs + not_notified,
        }
    }

    /// The longest delay of all pairs with a notification; 0 if there are none.
    fn longest_notified_delay(&self) -> Micros {
        // The maximum of an empty histogram is undefined.
        if self.delays.is_empty() {
            return Micros(0);
        }
        Micros(self.delays.max())
    }

    /// The delays of all pairs without a notification, up to `end`.
    fn pending_delays(&self, end: Time) -> Vec<Micros> {
        let mut delays = Vec::new();
        for knowledge in &self.proxies {
            for change in knowledge.known_changes..self.changes.len() {
                delays.push(end - self.reachable_at(change, knowledge));
            }
        }
        delays
    }
}
