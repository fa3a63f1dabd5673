//! Writes the endpoint list's updates and the changes of its evidence to the log.

use super::upstreams::Upstreams;
use crate::discovery::endpoint_list::ResolvedEndpoint;
use crate::log_target;
use brookstack_balancer::{BackendState, EndpointUpdate, ListEvidence, Time};
use std::collections::HashSet;
use std::mem::{discriminant, Discriminant};
use std::rc::Rc;
use tracing::Level;

/// The maximum number of names of one kind in a line.
const MAX_NAMES: usize = 64;

/// Writes a line for an update of the list, before it is applied to `upstreams`.
pub fn write_update(update: EndpointUpdate, targets: &[ResolvedEndpoint], upstreams: &Upstreams) {
    if !tracing::enabled!(target: log_target::DISCOVERY, Level::DEBUG) {
        return;
    }
    let entries = targets.len();
    match update {
        EndpointUpdate::Delta => tracing::debug!(
            target: log_target::DISCOVERY,
            ?update,
            entries,
            ready = names_in(targets, BackendState::Ready),
            draining = names_in(targets, BackendState::Draining),
            gone = names_in(targets, BackendState::Removed),
            "endpoint list update"
        ),
        EndpointUpdate::Snapshot => tracing::debug!(
            target: log_target::DISCOVERY,
            ?update,
            entries,
            ready = newly_ready(targets, upstreams),
            draining = names_in(targets, BackendState::Draining),
            gone = missing(targets, upstreams),
            "endpoint list update"
        ),
        _ => tracing::debug!(
            target: log_target::DISCOVERY,
            ?update,
            entries,
            "endpoint list update"
        ),
    }
}

fn names_in(targets: &[ResolvedEndpoint], state: BackendState) -> String {
    let in_state = |target: &&ResolvedEndpoint| target.endpoint.state == state;
    joined(targets.iter().filter(in_state).map(|target| &target.name))
}

/// The backends that a complete list has as ready and that got no requests before.
fn newly_ready(targets: &[ResolvedEndpoint], upstreams: &Upstreams) -> String {
    let is_new = |target: &&ResolvedEndpoint| {
        let endpoint = &target.endpoint;
        endpoint.state == BackendState::Ready && upstreams.accepting(endpoint.id).is_none()
    };
    joined(targets.iter().filter(is_new).map(|target| &target.name))
}

/// The backends that a complete list does not have any more.
fn missing(targets: &[ResolvedEndpoint], upstreams: &Upstreams) -> String {
    let listed: HashSet<_> = targets.iter().map(|target| target.endpoint.id).collect();
    let known = upstreams.iter().map(|upstream| &upstream.target);
    joined(
        known
            .filter(|target| !listed.contains(&target.endpoint.id))
            .map(|target| &target.name),
    )
}

fn joined<'a>(names: impl Iterator<Item = &'a Rc<str>>) -> String {
    let names: Vec<&str> = names.map(AsRef::as_ref).collect();
    let shown = names[..names.len().min(MAX_NAMES)].join(" ");
    match names.len().checked_sub(MAX_NAMES) {
        None | Some(0) => shown,
        Some(hidden) => format!("{shown} and {hidden} more"),
    }
}

/// Writes a line when the kind of the evidence for the list changes.
#[derive(Default)]
pub struct EvidenceLog {
    latest: Option<Discriminant<ListEvidence>>,
    /// The update of the list, or the failure, that came last.
    cause: Option<EndpointUpdate>,
    /// The number of attempts that were started since the kind of the evidence changed.
    attempts: u32,
    /// When the latest of these attempts was started.
    last_attempt_at: Option<Time>,
}

impl EvidenceLog {
    /// Records what may change the evidence.
    pub fn record_cause(&mut self, cause: EndpointUpdate) {
        self.cause = Some(cause);
    }

    /// Records the start of an attempt.
    pub fn record_attempt(&mut self, now: Time) {
        self.attempts += 1;
        self.last_attempt_at = Some(now);
    }

    /// Writes a line if the kind of the evidence is another one than before, with the attempts that
    /// were started on the evidence before.
    pub fn write_change(&mut self, now: Time, evidence: ListEvidence) {
        if self.latest.replace(discriminant(&evidence)) == Some(discriminant(&evidence)) {
            return;
        }
        let latest_cause = self.cause;
        let attempts_before = std::mem::take(&mut self.attempts);
        let last_attempt_ago_ms = self.last_attempt_at.take().map(|at| (now - at).0 / 1_000);
        let now = now.0;
        tracing::debug!(
            target: log_target::DISCOVERY,
            now,
            ?evidence,
            ?latest_cause,
            attempts_before,
            last_attempt_ago_ms,
            "evidence for the endpoint list changed"
        );
    }
}

#[cfg(test)]
mod tests;
