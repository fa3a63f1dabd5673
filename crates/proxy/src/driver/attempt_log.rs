//! Writes the start of each attempt to the log.

use crate::log_target;
use crate::message::AttemptId;
use crate::upstream::Upstream;
use brookstack_balancer::{ListEvidence, Time};

/// Writes a line for an attempt. `list_version` is the version of the list, `None` if discovery has
/// not answered this process yet.
pub fn write_start(
    now: Time,
    id: AttemptId,
    upstream: &Upstream,
    list_version: Option<u64>,
    evidence: ListEvidence,
) {
    let request = id.request.0;
    let attempt = id.attempt.0;
    let backend = &upstream.target.name;
    let address = upstream.target.address;
    let confirmed_before_ms = confirmed_at(evidence).map(|at| (now - at).0 / 1_000);
    let list = evidence_name(evidence);
    tracing::trace!(
        target: log_target::ATTEMPT,
        request,
        attempt,
        %backend,
        %address,
        list_version,
        %list,
        confirmed_before_ms,
        "attempt started"
    );
}

fn evidence_name(evidence: ListEvidence) -> &'static str {
    match evidence {
        ListEvidence::Pushed { .. } => "Pushed",
        ListEvidence::Watched { .. } => "Watched",
        ListEvidence::Answered { .. } => "Answered",
        ListEvidence::Polled { .. } => "Polled",
        ListEvidence::Unconfirmed => "Unconfirmed",
    }
}

/// The time at which discovery last answered, where the evidence has it.
fn confirmed_at(evidence: ListEvidence) -> Option<Time> {
    match evidence {
        ListEvidence::Watched { since: at } | ListEvidence::Answered { at, .. } => Some(at),
        ListEvidence::Pushed { .. } | ListEvidence::Polled { .. } | ListEvidence::Unconfirmed => {
            None
        }
    }
}
