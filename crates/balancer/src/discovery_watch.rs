//! The watch on the endpoint list: when this proxy polls discovery, and whether its list may be
//! used.
//!
//! A poll is a call that discovery answers at once. After an answer the host keeps a watch open: a
//! call that discovery answers when the list changes. All proxies poll one discovery service, which
//! processes one call at a time. Each proxy therefore limits its polls to its part of the rate that
//! the service can sustain.
//!
//! - `list_validity` decides until when the list may be used.
//! - `service_time` estimates how long the service works on a call.
//! - `polling_load` has the time over which the proxies spread their polls.
//! - `poll_backoff` computes the delay after a failed poll.

mod list_validity;
mod poll_backoff;
mod polling_load;
mod service_time;

use crate::{Config, DiscoveryMode, ListEvidence, ListTerms, Micros, Time};
use list_validity::{ListValidity, NOTIFICATION_DEADLINE};
use poll_backoff::PollBackoff;
use polling_load::{must_spread_polls, poll_spread_secs};
use service_time::ServiceTime;

/// A poll that fails after at least 1 s was in the service's queue, or the service is down. A poll
/// that fails sooner was rejected, and cost the service nothing.
const MIN_QUEUEING_TIME: Micros = Micros(1_000_000);
/// A poll without a response may be lost and is repeated after this fraction of `poll_within`.
const POLL_TIMEOUT_FRACTION: f64 = 0.5;
/// The proxy counts as notified of the list of a new discovery service 4 s after the configuration
/// named the service.
const SOURCE_CHANGE_DEADLINE: Micros = Micros(4_000_000);
/// Due time of the first poll unless it is rescheduled. `Time(0)` is never in the future, so the
/// poll is due immediately.
const FIRST_POLL_DUE_AT: Time = Time(0);

/// State of the latest poll.
#[derive(Clone, Copy, Default)]
enum WatchState {
    /// The latest poll failed or timed out, or none was sent.
    #[default]
    Disconnected,
    /// The poll was sent at this time and has no answer.
    Polling { sent_at: Time },
    /// The poll was answered at this time, and a watch is open since then.
    Watching { since: Time },
}

/// How a poll or a watch failed, as the host reports it.
#[derive(Clone, Copy)]
pub(crate) enum FailureKind {
    /// It ended without an answer.
    NoAnswer,
    /// Its answer, which began at this time, is incomplete or invalid.
    AnswerSpoilt { begun_at: Time },
}

/// The schedule of this proxy's polls and the freshness of its endpoint list.
///
/// Callers pass the time, the configuration and random numbers. If discovery pushes the changes,
/// nothing is ever polled.
#[derive(Default)]
pub(crate) struct DiscoveryWatch {
    /// When to poll next; `None` if changes arrive without another poll.
    next_poll_at: Option<Time>,
    backoff: PollBackoff,
    service_time: ServiceTime,
    state: WatchState,
    validity: ListValidity,
    /// How long before its arrival the list was complete that the host reports next.
    next_answer_age: Micros,
}

impl DiscoveryWatch {
    /// Creates a watch whose first poll is due immediately, unless discovery pushes the changes.
    pub fn new(config: &Config) -> DiscoveryWatch {
        let next_poll_at = match config.discovery {
            DiscoveryMode::Push => None,
            DiscoveryMode::Watch { .. } => Some(FIRST_POLL_DUE_AT),
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

    /// Records that the process has started, with or without a stored list, and reschedules the
    /// first poll in order to spread the first polls of many proxies that may start at the same
    /// time. `draw` returns a random number from 0 to 1; it is only called if the polls have to be
    /// spread.
    pub fn on_process_started(&mut self, now: Time, config: &Config, draw: impl FnOnce() -> f64) {
        self.validity.on_process_started(now, config);
        let has_initial_schedule = self.next_poll_at() == Some(FIRST_POLL_DUE_AT);
        if has_initial_schedule && must_spread_polls(config) {
            self.next_poll_at = Some(now + Micros::from_secs(poll_spread_secs(config) * draw()));
        }
    }

    /// Records the time that discovery worked on a call, as the host measured it, `None` if the
    /// call was a watch, and how long ago the list was complete, with the answer. The list in the
    /// answer is reported next.
    pub fn record_answer(&mut self, service_time: Option<Micros>, age: Micros) {
        if let Some(service_time) = service_time {
            self.service_time.record_measured(service_time);
        }
        self.next_answer_age = age;
    }

    /// Schedules the next poll after a poll or a watch failed. `random` is a random number from 0
    /// to 1.
    pub fn on_watch_failed(&mut self, now: Time, config: &Config, kind: FailureKind, random: f64) {
        let state = std::mem::take(&mut self.state);
        self.update_validity(now, config, kind, state);
        let DiscoveryMode::Watch { .. } = config.discovery else {
            return;
        };
        let may_have_queued = matches!(kind, FailureKind::NoAnswer);
        let delay = match state {
            WatchState::Polling { sent_at }
                if may_have_queued
                    && now - sent_at >= MIN_QUEUEING_TIME
                    && must_spread_polls(config) =>
            {
                let service_time = self.service_time.estimate();
                self.backoff.after_queueing(config, service_time, random)
            }
            // All proxies may have lost their watches at the same time: their polls are spread.
            WatchState::Watching { .. } if must_spread_polls(config) => {
                Micros::from_secs(poll_spread_secs(config) * random)
            }
            // Polls that are not in the queue, failures without a pending poll, and every failure
            // while the proxies are too few to spread their polls.
            _ => self.backoff.after_rejection(config, random),
        };
        self.next_poll_at = Some(now + delay);
    }

    /// Records what the failure of a poll or watch means for the use of the list.
    fn update_validity(
        &mut self,
        now: Time,
        config: &Config,
        kind: FailureKind,
        state: WatchState,
    ) {
        match state {
            // An open watch reported every change until now.
            WatchState::Watching { .. } if reports_every_change(config) => {
                self.validity.on_answer(now, config);
            }
            WatchState::Polling { sent_at } => self.validity.on_failure(sent_at, config),
            WatchState::Watching { .. } | WatchState::Disconnected => {}
        }
        if let FailureKind::AnswerSpoilt { begun_at } = kind {
            self.validity.end_by(begun_at + NOTIFICATION_DEADLINE);
        }
    }

    /// Schedules an immediate poll after a poll or watch timed out without a response.
    ///
    /// The polls of different proxies need not be spread: their timeouts differ, so that proxies
    /// whose watches stall at the same time do not poll at the same time.
    pub fn on_watch_timed_out(&mut self, now: Time, config: &Config) {
        if config.discovery == DiscoveryMode::Push {
            return;
        }
        let state = std::mem::take(&mut self.state);
        self.update_validity(now, config, FailureKind::NoAnswer, state);
        self.next_poll_at = Some(now);
    }

    /// Records that the host calls another discovery service from now on, without a version.
    pub fn on_source_changed(&mut self, now: Time, config: &Config) {
        self.validity.end_by(now + SOURCE_CHANGE_DEADLINE);
        if let DiscoveryMode::Watch { poll_within } = config.discovery {
            self.state = WatchState::Polling { sent_at: now };
            self.next_poll_at = Some(now + poll_within.times(POLL_TIMEOUT_FRACTION));
        }
    }

    /// Records that the complete list or changes of it arrived; a watch is open from now on.
    pub fn on_endpoints_received(&mut self, now: Time, config: &Config) {
        if let WatchState::Polling { sent_at } = self.state {
            self.service_time.record_poll(now - sent_at);
        }
        self.state = WatchState::Watching { since: now };
        let age = std::mem::take(&mut self.next_answer_age);
        let answered_at = Time(now.0.saturating_sub(age.0));
        self.validity.on_answer(answered_at, config);
        self.backoff.reset();
        self.next_poll_at = None;
    }

    /// Whether a poll is due. If so, records it as sent now and schedules its repetition in case no
    /// response arrives.
    pub fn take_due_poll(&mut self, now: Time, config: &Config) -> bool {
        let DiscoveryMode::Watch { poll_within } = config.discovery else {
            return false;
        };
        let is_due = self.next_poll_at().is_some_and(|at| now >= at);
        if is_due {
            self.state = WatchState::Polling { sent_at: now };
            self.next_poll_at = Some(now + poll_within.times(POLL_TIMEOUT_FRACTION));
        }
        is_due
    }

    /// The evidence for the use of the endpoint list.
    pub fn list_evidence(&self, now: Time, config: &Config) -> ListEvidence {
        match self.state {
            WatchState::Watching { since } if reports_every_change(config) => {
                ListEvidence::Watched { since }
            }
            _ => self.validity.evidence(now, config),
        }
    }
}

/// Whether an open watch reports every change as long as it is open.
fn reports_every_change(config: &Config) -> bool {
    let is_watch = config.discovery != DiscoveryMode::Push;
    is_watch && config.list_terms == ListTerms::WhilePolling
}

#[cfg(test)]
mod tests;
