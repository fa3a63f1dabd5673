//! The watch on the endpoint list: when this proxy polls discovery, and for how long its list is
//! fresh.
//!
//! All proxies poll one discovery service, which answers one poll after the other. So each proxy
//! keeps to its part of the poll rate that the service can sustain.
//!
//! - `polling_load` knows what the service can take,
//! - `poll_backoff` decides how long to wait after a failed poll.

mod poll_backoff;
mod polling_load;

use crate::{Config, DiscoveryMode, Micros, Time, UnconfirmedList};
use poll_backoff::PollBackoff;
use polling_load::{empty_start_spread_secs, must_spread_polls, poll_spread_secs};

/// A proxy counts as notified of a change 6 s after discovery had the change and was reachable,
/// whether or not a poll succeeded. From then on, a list that may lack the change is stale.
const NOTIFICATION_DEADLINE: Micros = Micros(6_000_000);
/// An accepted request shows for so long that a backend may be used though the list is stale. A
/// draining backend may go on accepting requests for a while after its drain was listed. So only
/// half of the time counts that a proxy has until it counts as notified of a drain.
pub(crate) const ACCEPTANCE_LIFETIME: Micros = Micros(NOTIFICATION_DEADLINE.0 / 2);
/// A poll that fails after at least 1 s was in the service's queue: the service is up, but
/// overloaded. A poll that fails sooner was rejected or reached nobody, and cost the service
/// nothing.
const MIN_QUEUEING_TIME: Micros = Micros(1_000_000);
/// A poll that is pending for 4 s without a failure has left the service's queue: it is a watch
/// that waits for a change. The host ends a poll that must not wait sooner than that, so such a
/// poll never counts as a watch.
const MAX_QUEUEING_TIME: Micros = Micros(4_000_000);
/// A poll without a response counts as lost, and is repeated, after this fraction of `poll_within`.
const POLL_TIMEOUT_FRACTION: f64 = 0.5;
/// A watch that timed out may have missed changes. The proxy counts as notified of these 1.5 s
/// after the timeout.
const WATCH_TIMEOUT_GRACE: Micros = Micros(1_500_000);
/// When the first poll is due, unless it is scheduled for later: at once.
const AT_ONCE: Time = Time(0);
/// The value of [`DiscoveryWatch::fresh_at`] until the first call after the start of the process.
const NOT_STARTED: Time = Time(0);

/// State of the latest poll.
#[derive(Clone, Copy, Default)]
enum WatchState {
    /// It failed, or there was none.
    #[default]
    Disconnected,
    /// It was sent at this time and may be in the service's queue.
    Connecting { sent_at: Time },
    /// It was answered, or was still pending when the next one was due: it waits for a change.
    Established,
}

/// What the failure of the latest poll shows about the service.
#[derive(Clone, Copy)]
enum PollFailure {
    /// The poll failed so soon that it was rejected or reached nobody.
    Rejected { sent_at: Time },
    /// The poll failed in the service's queue.
    Queued,
    /// The poll was an established watch, which was in no queue.
    WatchBroken,
    /// There was no poll that could fail.
    NothingPending,
}

/// The schedule of this proxy's polls and the freshness of its endpoint list.
///
/// It owns the state of the latest poll, the time of the next one and the time at which the list
/// was last known to be complete. It takes the time, the configuration and random numbers as
/// arguments. It does nothing where discovery pushes the changes.
#[derive(Default)]
pub(crate) struct DiscoveryWatch {
    /// When to poll next; `None` if changes arrive without another poll.
    next_poll_at: Option<Time>,
    backoff: PollBackoff,
    state: WatchState,
    /// The list contains every change that discovery had, and could be polled for, at this time.
    fresh_at: Time,
}

impl DiscoveryWatch {
    /// Schedules the first poll as early as possible, unless changes are pushed.
    pub fn new(config: &Config) -> DiscoveryWatch {
        let next_poll_at = match config.discovery {
            DiscoveryMode::Push => None,
            DiscoveryMode::Watch { .. } => Some(AT_ONCE),
        };
        DiscoveryWatch {
            next_poll_at,
            ..DiscoveryWatch::default()
        }
    }

    /// When to poll next; `None` if changes arrive without another poll.
    pub fn next_poll_at(&self) -> Option<Time> {
        self.next_poll_at
    }

    /// The process started, with or without a cached list: spreads the first polls of many proxies
    /// that may start at the same time. `draw` gives a random number from 0 to 1; it is only called
    /// if the polls have to be spread.
    pub fn on_process_started(
        &mut self,
        now: Time,
        config: &Config,
        has_cached_list: bool,
        draw: impl FnOnce() -> f64,
    ) {
        let DiscoveryMode::Watch { poll_within } = config.discovery else {
            return;
        };
        let is_first_poll_open = self.next_poll_at() == Some(AT_ONCE);
        if !is_first_poll_open || !must_spread_polls(config) {
            return;
        }
        let spread_secs = if has_cached_list {
            poll_spread_secs(config)
        } else {
            empty_start_spread_secs(config, poll_within)
        };
        self.next_poll_at = Some(now + Micros::from_secs(spread_secs * draw()));
    }

    /// A poll or an established watch failed: schedules the next poll. `random` is a number from 0
    /// to 1.
    pub fn on_watch_failed(&mut self, now: Time, config: &Config, random: f64) {
        let DiscoveryMode::Watch { poll_within } = config.discovery else {
            return;
        };
        let failure = self.classify_failure(now);
        self.state = WatchState::Disconnected;
        self.extend_freshness(now, failure);
        let delay = match failure {
            PollFailure::Queued if must_spread_polls(config) => {
                self.backoff.after_queueing(config, random)
            }
            // All proxies may have lost their watches at the same time.
            PollFailure::WatchBroken if must_spread_polls(config) => {
                Micros::from_secs(poll_spread_secs(config) * random)
            }
            _ => self.backoff.after_rejection(config, poll_within, random),
        };
        self.next_poll_at = Some(now + delay);
    }

    /// What a failure at this time shows, by the state of the latest poll.
    fn classify_failure(&self, now: Time) -> PollFailure {
        if self.is_watching(now) {
            return PollFailure::WatchBroken;
        }
        let WatchState::Connecting { sent_at } = self.state else {
            return PollFailure::NothingPending;
        };
        if now - sent_at < MIN_QUEUEING_TIME {
            PollFailure::Rejected { sent_at }
        } else {
            PollFailure::Queued
        }
    }

    /// Takes in what a failure says about the freshness of the list.
    fn extend_freshness(&mut self, now: Time, failure: PollFailure) {
        match failure {
            // Discovery was unreachable when the poll was sent. The deadline for changes that it
            // has while it is unreachable only starts when it returns.
            PollFailure::Rejected { sent_at } => self.fresh_at = sent_at,
            // Up to now the watch would have reported any change.
            PollFailure::WatchBroken => self.fresh_at = now,
            PollFailure::Queued | PollFailure::NothingPending => {}
        }
    }

    /// A watch timed out without a response: schedules the next poll at once.
    ///
    /// The timeout shows nothing about the service. The changes that the watch missed count as
    /// notified shortly after it, so the proxy has to poll before that. The polls need not be
    /// spread: timeouts differ between proxies, so those whose watches stall together do not poll
    /// together.
    pub fn on_watch_timed_out(&mut self, now: Time, config: &Config) {
        if config.discovery == DiscoveryMode::Push {
            return;
        }
        if self.is_fresh(now, config) {
            let fresh_until = now + WATCH_TIMEOUT_GRACE;
            self.fresh_at = Time(fresh_until.0.saturating_sub(NOTIFICATION_DEADLINE.0));
        }
        self.state = WatchState::Disconnected;
        self.next_poll_at = Some(now);
    }

    /// The list or its changes arrived; the watch stays established.
    pub fn on_endpoints_received(&mut self, now: Time) {
        self.state = WatchState::Established;
        self.fresh_at = now;
        self.backoff.reset();
        self.next_poll_at = None;
    }

    /// Whether to poll now; if so, the poll counts as sent.
    pub fn take_due_poll(&mut self, now: Time, config: &Config) -> bool {
        let DiscoveryMode::Watch { poll_within } = config.discovery else {
            return false;
        };
        if self.fresh_at == NOT_STARTED {
            self.fresh_at = now;
        }
        let is_due = self.next_poll_at().is_some_and(|at| now >= at);
        if is_due {
            self.state = match self.state {
                WatchState::Disconnected => WatchState::Connecting { sent_at: now },
                WatchState::Connecting { .. } | WatchState::Established => WatchState::Established,
            };
            self.next_poll_at = Some(now + poll_within.times(POLL_TIMEOUT_FRACTION));
        }
        is_due
    }

    /// Whether the list contains every change that this proxy counts as notified of.
    pub fn is_fresh(&self, now: Time, config: &Config) -> bool {
        let is_pushed = config.discovery == DiscoveryMode::Push;
        is_pushed || self.is_watching(now) || now - self.fresh_at < NOTIFICATION_DEADLINE
    }

    /// What is known of the list, if no answer of discovery confirms it: the list is stale, or the
    /// latest poll has not been answered and only counts as a watch.
    pub fn unconfirmed_list(&self, now: Time, config: &Config) -> Option<UnconfirmedList> {
        let is_pushed = config.discovery == DiscoveryMode::Push;
        if is_pushed || now - self.fresh_at < NOTIFICATION_DEADLINE {
            return None;
        }
        let poll_sent_at = match self.state {
            WatchState::Established => return None,
            WatchState::Connecting { sent_at } => Some(sent_at),
            WatchState::Disconnected => None,
        };
        Some(UnconfirmedList {
            fresh_at: self.fresh_at,
            poll_sent_at,
        })
    }

    /// Whether the latest poll waits for a change: it was answered, or has left the service's
    /// queue.
    fn is_watching(&self, now: Time) -> bool {
        match self.state {
            WatchState::Established => true,
            WatchState::Connecting { sent_at } => now - sent_at >= MAX_QUEUEING_TIME,
            WatchState::Disconnected => false,
        }
    }
}

#[cfg(test)]
mod tests;
