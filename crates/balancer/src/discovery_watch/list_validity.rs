//! Until when the endpoint list may be used.
//!
//! Only a complete answer of discovery confirms the list. A start, a pending or failed call, and a
//! silent or broken watch show nothing: neither that the list is current nor that discovery is
//! down, because a service that is down and one that is crowded fail calls in the same way. What a
//! backend does shows nothing about its entry in the list either.

use crate::{Config, DiscoveryMode, ListEvidence, ListTerms, Micros, Time};

/// A proxy counts as notified of a change 6 s after discovery had the change.
pub(super) const NOTIFICATION_DEADLINE: Micros = Micros(6_000_000);

/// Where the operators' terms let a proxy poll, a proxy whose call failed counts as notified this
/// many times later than after other calls.
const FAILED_POLL_FACTOR: f64 = 4.0;

/// The end of the list's use.
#[derive(Default)]
pub(super) struct ListValidity {
    /// When discovery last answered this process completely.
    answered_at: Option<Time>,
    /// When the use of the list ends unless discovery answers again, or unless the proxy polls
    /// again where that is enough. `Time(0)` at the start.
    until: Time,
}

impl ListValidity {
    /// Records that the process has started with a stored list. Unless the operators' terms make
    /// polling enough, it is not used: what discovery or the agent has counts as notified from the
    /// start, and nothing shows that the stored list is that.
    pub fn on_process_started(&mut self, now: Time, config: &Config) {
        if config.list_terms == ListTerms::WhilePolling {
            self.until = self.until.max(now + poll_deadline(config));
        }
    }

    /// Records that the list contained every change at `at`.
    pub fn on_answer(&mut self, at: Time, config: &Config) {
        self.answered_at = Some(at);
        self.until = match (config.list_terms, config.discovery) {
            (_, DiscoveryMode::Push) => Time::NEVER,
            (ListTerms::AfterAnswer, DiscoveryMode::Watch { .. }) => at + NOTIFICATION_DEADLINE,
            (ListTerms::WhilePolling, DiscoveryMode::Watch { .. }) => at + poll_deadline(config),
        };
    }

    /// Records that a call failed which was made at `sent_at`.
    pub fn on_failure(&mut self, sent_at: Time, config: &Config) {
        if config.list_terms == ListTerms::WhilePolling {
            let until = sent_at + poll_deadline(config).times(FAILED_POLL_FACTOR);
            self.until = self.until.max(until);
        }
    }

    /// Ends the use of the list at `at`, if it does not end sooner, until the next answer.
    pub fn end_by(&mut self, at: Time) {
        self.until = self.until.min(at);
    }

    /// The evidence for the use of the list, if no watch is open that reports every change.
    pub fn evidence(&self, now: Time, config: &Config) -> ListEvidence {
        let until = self.until;
        if now >= until {
            return ListEvidence::Unconfirmed;
        }
        match (config.list_terms, config.discovery, self.answered_at) {
            (_, DiscoveryMode::Push, _) => ListEvidence::Pushed { until },
            (ListTerms::WhilePolling, ..) => ListEvidence::Polled { until },
            (ListTerms::AfterAnswer, _, Some(at)) => ListEvidence::Answered { at, until },
            (ListTerms::AfterAnswer, _, None) => ListEvidence::Unconfirmed,
        }
    }
}

/// The time after its last call at which a proxy without a watch counts as notified where polling
/// is enough; unlimited where changes are pushed.
fn poll_deadline(config: &Config) -> Micros {
    match config.discovery {
        DiscoveryMode::Push => Time::NEVER - Time(0),
        DiscoveryMode::Watch { poll_within } => poll_within,
    }
}

#[cfg(test)]
mod tests;
