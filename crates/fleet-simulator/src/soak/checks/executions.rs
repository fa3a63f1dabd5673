//! Checks how often requests were executed, and what their clients were told.

use super::{Checks, Rule, Violation};
use crate::soak::clients::SOCKET_SLACK_SECS;
use crate::soak::discovery::{cell, ZONES};
use crate::soak::records::{AttemptRecord, Class, RequestEnd, RequestRecord};

impl Checks<'_> {
    /// Whether the client sent the request again after it had left, to the same process, which
    /// knows the identifier.
    fn is_sent_again(&self, request: &RequestRecord) -> bool {
        let started_at = |request: &RequestRecord| {
            let process = self.process_at(request.proxy, request.sent_at);
            process.map(|process| process.started_at)
        };
        let mut requests = self.records.requests.iter();
        requests.any(|other| {
            other.id == request.id
                && other.sent_at != request.sent_at
                && started_at(other) == started_at(request)
        })
    }

    /// How often clients sent a request with this identifier.
    pub(super) fn count_of(&self, id: &str) -> usize {
        let requests = self.records.requests.iter();
        requests.filter(|request| request.id == id).count()
    }

    /// A request that is sent again may be executed again only if each execution before has ended
    /// with a whole response.
    fn check_repeated_id(
        request: &RequestRecord,
        executed: &[&&AttemptRecord],
    ) -> Option<Violation> {
        let (last, earlier) = executed.split_last()?;
        let open = earlier.iter().find(|attempt| !attempt.is_answered)?;
        let what = format!(
            "the id came again and was executed on backend {} while backend {} may still have \
             worked on it",
            last.backend, open.backend
        );
        let rule = Rule::SingleExecution;
        Some(Violation::of_request(
            rule,
            last.first_byte_at,
            &request.id,
            what,
        ))
    }

    pub(super) fn check_executions(&self, request: &RequestRecord) -> Option<Violation> {
        let executed: Vec<&&AttemptRecord> = self
            .attempts_of(&request.id)
            .iter()
            .filter(|attempt| !attempt.is_rejected)
            .collect();
        if request.class == Class::Pay && self.is_sent_again(request) {
            return Checks::check_repeated_id(request, &executed);
        }
        if self.count_of(&request.id) > 1 {
            // A client repeats an idempotent or keyed request as it likes, and a new process does
            // not know the identifiers of the one before.
            return None;
        }
        let (first, later) = executed.split_first()?;
        let last = later.last()?;
        let violation = |rule, what: String| {
            let at = last.first_byte_at;
            Some(Violation::of_request(rule, at, &request.id, what))
        };
        match request.class {
            Class::Read => None,
            Class::Pay => violation(
                Rule::SingleExecution,
                format!("{} attempts may have been executed", executed.len()),
            ),
            Class::Vote => {
                let is_out_of_scope =
                    |attempt: &&&&AttemptRecord| !self.shares_keys(first.backend, attempt.backend);
                if let Some(other) = later.iter().find(is_out_of_scope) {
                    let what = format!(
                        "repeated on backend {}, which does not share keys with backend {}",
                        other.backend, first.backend
                    );
                    return violation(Rule::KeyScope, what);
                }
                let window = self.plan.key_window_secs + SOCKET_SLACK_SECS;
                let after = last.first_byte_at - first.first_byte_at;
                let what =
                    format!("repeated {after:.3} s after the first attempt, beyond the key window");
                (after > window).then(|| violation(Rule::KeyScope, what))?
            }
        }
    }

    /// Whether two backends are in the same key scope, so that each discards duplicates of requests
    /// that the other has received.
    fn shares_keys(&self, one: usize, other: usize) -> bool {
        match self.plan.key_scope {
            "zone" => one % ZONES.len() == other % ZONES.len(),
            "cell" => cell(one) == cell(other),
            _ => true,
        }
    }

    /// A client may be told to try again only if its request may be repeated anywhere or no backend
    /// has begun it.
    pub(super) fn check_rejection(&self, request: &RequestRecord) -> Option<Violation> {
        let RequestEnd::Answered { status, .. } = request.end else {
            return None;
        };
        let is_repeatable = match request.class {
            Class::Read => true,
            Class::Vote => self.plan.key_scope == "all",
            Class::Pay => false,
        };
        let attempts = self.attempts_of(&request.id).iter();
        let attempts = attempts.filter(|attempt| attempt.first_byte_at >= request.sent_at);
        let begun = attempts.filter(|attempt| !attempt.is_rejected).count();
        let is_rejection = matches!(status, 429 | 503);
        (is_rejection && !is_repeatable && begun > 0).then(|| {
            let what = format!("rejected with status {status} after {begun} backends had begun it");
            Violation::of_request(Rule::SafeRejection, request.ended_at, &request.id, what)
        })
    }

    /// Attempts that the same process sent must not overlap where hedging is not allowed.
    pub(super) fn check_concurrency(&self, request: &RequestRecord) -> Option<Violation> {
        if self.plan.hedging_allowed {
            return None;
        }
        let overlap = self.attempts_of(&request.id).windows(2).find(|pair| {
            let limit = pair[1].first_byte_at + SOCKET_SLACK_SECS;
            pair[0].ended_at.is_some_and(|ended_at| ended_at > limit)
        })?;
        let what = format!(
            "an attempt began on backend {} while another one was in flight on backend {}",
            overlap[1].backend, overlap[0].backend
        );
        let at = overlap[1].first_byte_at;
        Some(Violation::of_request(
            Rule::SingleAttempt,
            at,
            &request.id,
            what,
        ))
    }
}
