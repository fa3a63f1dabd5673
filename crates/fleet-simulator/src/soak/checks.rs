//! Checks the operators' rules on the records of a run. All limits come from these rules. Limits on
//! times that are taken at the sockets of the stand-ins are extended by [`SOCKET_SLACK_SECS`].

mod executions;

use super::clients::{RESPONSE_GRACE_SECS, SOCKET_SLACK_SECS};
use super::plan::{ListSource, Plan};
use super::records::{
    AttemptRecord, ListChange, ProcessRecord, Records, RequestEnd, RequestRecord,
};
use serde::Serialize;
use std::collections::HashMap;

/// A proxy that polls should know a change at the latest this long after discovery has the change
/// and can be reached, s.
const NOTIFICATION_SECS: f64 = 6.0;
/// A proxy to which an agent pushes changes should know a change at the latest this long after
/// discovery has the change and can be reached, s. Zero means without delay.
const PUSH_NOTIFICATION_SECS: f64 = 0.0;
/// The limit that replaces [`PUSH_NOTIFICATION_SECS`] if a SIGHUP changes the proxy's discovery
/// address less than this time before or after discovery has the change and can be reached, s.
const DISCOVERY_MOVE_SECS: f64 = 4.0;
/// Attempts to a draining or gone backend have to stop within this time after the proxy should know
/// the change, s.
const DRAIN_GRACE_SECS: f64 = 0.5;
/// The latest time after its client has left at which an attempt may begin, s.
const CLIENT_LEFT_GRACE_SECS: f64 = 0.1;
/// A process has to be ready within this time after its start, s.
const READY_SECS: f64 = 10.0;
/// A process that was stopped before it was ready breaks the rule only if it was observed for
/// longer than this time, s.
const MIN_OBSERVED_SECS: f64 = 6.0;
/// The part of its memory limit that a process may use, in percent.
const MAX_MEMORY_PERCENT: u64 = 90;
/// For this time after SIGTERM, s, a proxy may close a new connection without reading its request.
const CLOSE_UNREAD_AFTER_SIGTERM_SECS: f64 = 0.4;

/// A rule of the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request that the proxy has read gets a response in time.
    Answered,
    /// No further bytes follow a response.
    AnsweredOnce,
    /// A client gets the response to its own request.
    OwnResponse,
    /// No attempt is sent to a draining or gone backend once the proxy should know that state and
    /// the grace period is over.
    Drain,
    /// A non-idempotent request is executed at most once.
    SingleExecution,
    /// A request that may have been executed is not rejected, unless it may be repeated anywhere.
    SafeRejection,
    /// Two attempts of a request are in flight at the same time only where that is allowed.
    SingleAttempt,
    /// A request with an idempotency key is repeated only within the scope and the window of keys.
    KeyScope,
    /// No attempt begins after its client has left and the grace period is over.
    ClientLeft,
    /// Processes do not crash, and become ready in time.
    Process,
    /// Processes stay within their limits on memory and file descriptors.
    Limits,
}

/// A broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When it was broken, in seconds since the start of the run. For a rule on processes, this is
    /// the start of the process. For surplus bytes after a response, it is 0.
    pub at: f64,
    /// The correlation id of the request, if the violation concerns a single request.
    pub request: Option<String>,
    /// A description of what was observed.
    pub what: String,
}

impl Violation {
    fn of_request(rule: Rule, at: f64, id: &str, what: String) -> Violation {
        Violation {
            rule,
            at,
            request: Some(id.to_string()),
            what,
        }
    }

    fn of_process(rule: Rule, process: &ProcessRecord, what: String) -> Violation {
        Violation {
            rule,
            at: process.started_at,
            request: None,
            what: format!("proxy {}: {what}", process.proxy),
        }
    }
}

/// The plan and the records of a run, with an index of the attempts by correlation id.
struct Checks<'a> {
    plan: &'a Plan,
    records: &'a Records,
    attempts: HashMap<&'a str, Vec<&'a AttemptRecord>>,
}

/// Checks all rules, and returns the violations in the order of their times.
pub fn check(plan: &Plan, records: &Records) -> Vec<Violation> {
    let mut attempts: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &records.attempts {
        attempts.entry(&attempt.id).or_default().push(attempt);
    }
    let checks = Checks {
        plan,
        records,
        attempts,
    };
    let mut violations = Vec::new();
    for request in &records.requests {
        violations.extend(checks.check_response(request));
        violations.extend(checks.check_executions(request));
        violations.extend(checks.check_rejection(request));
        violations.extend(checks.check_concurrency(request));
        violations.extend(checks.check_attempts_after_leaving(request));
    }
    for attempt in &records.attempts {
        violations.extend(checks.check_drain(attempt));
    }
    for id in &records.surplus_bytes_after {
        let what = "more bytes followed the response".to_string();
        violations.push(Violation::of_request(Rule::AnsweredOnce, 0.0, id, what));
    }
    for process in &records.processes {
        violations.extend(checks.check_process(process));
        violations.extend(checks.check_limits(process));
    }
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    violations
}

impl Checks<'_> {
    fn attempts_of(&self, id: &str) -> &[&AttemptRecord] {
        self.attempts.get(id).map_or(&[], Vec::as_slice)
    }

    /// The process that a proxy had at a time: the last one that had been started by then.
    fn process_at(&self, proxy: usize, at: f64) -> Option<&ProcessRecord> {
        let started = |process: &&ProcessRecord| process.proxy == proxy && process.started_at <= at;
        let processes = self.records.processes.iter().filter(started);
        processes.max_by(|a, b| a.started_at.total_cmp(&b.started_at))
    }

    fn check_response(&self, request: &RequestRecord) -> Option<Violation> {
        let violation = |rule, what: String| {
            Some(Violation::of_request(
                rule,
                request.ended_at,
                &request.id,
                what,
            ))
        };
        let limit = request.deadline_at + RESPONSE_GRACE_SECS + SOCKET_SLACK_SECS;
        match request.end {
            RequestEnd::Answered { is_own: false, .. } => violation(
                Rule::OwnResponse,
                "the response belongs to another request".into(),
            ),
            RequestEnd::Answered { .. } if request.ended_at > limit => {
                let late = request.ended_at - request.deadline_at;
                violation(
                    Rule::Answered,
                    format!("answered {late:.3} s after its deadline"),
                )
            }
            RequestEnd::Unanswered if !self.may_be_unanswered(request) => violation(
                Rule::Answered,
                "got no response within its deadline and the grace period".into(),
            ),
            RequestEnd::IncompleteResponse if !self.may_be_unanswered(request) => violation(
                Rule::Answered,
                "the response was incomplete or not valid HTTP".into(),
            ),
            RequestEnd::Closed if !self.may_be_unanswered(request) && self.was_read(request) => {
                let attempts = self.attempts_of(&request.id).len();
                let what =
                    format!("connection closed without a response, after {attempts} attempts");
                violation(Rule::Answered, what)
            }
            _ => None,
        }
    }

    /// Whether the request may get no response, because its process got SIGKILL without SIGTERM
    /// before the request ended, or because no process had been started when it was sent.
    fn may_be_unanswered(&self, request: &RequestRecord) -> bool {
        let Some(process) = self.process_at(request.proxy, request.sent_at) else {
            return true;
        };
        let got_no_sigterm = process.terminated_at.is_none();
        let is_killed = process
            .killed_at
            .is_some_and(|killed_at| killed_at <= request.ended_at);
        got_no_sigterm && is_killed
    }

    /// Whether the proxy has read a request whose connection it closed. This is not known for a
    /// request on a reused connection: the proxy may have closed the idle connection while the
    /// request was on its way. A new connection may be closed unread by a proxy that shuts down or
    /// has no free file descriptors. In these cases, the request counts as not read unless a
    /// backend received an attempt of it.
    fn was_read(&self, request: &RequestRecord) -> bool {
        let mut attempts = self.attempts_of(&request.id).iter();
        if attempts.any(|attempt| attempt.first_byte_at >= request.sent_at) {
            return true;
        }
        let process = self.process_at(request.proxy, request.sent_at);
        let is_shutting_down = process
            .and_then(|process| process.terminated_at)
            .is_some_and(|at| {
                at <= request.ended_at && request.ended_at - at < CLOSE_UNREAD_AFTER_SIGTERM_SECS
            });
        let may_lack_descriptors = self
            .plan
            .descriptor_exhaustion
            .is_some_and(|span| span.from <= request.ended_at && request.sent_at <= span.to + 1.0);
        request.is_first_on_connection && !is_shutting_down && !may_lack_descriptors
    }

    fn check_attempts_after_leaving(&self, request: &RequestRecord) -> Option<Violation> {
        if request.end != RequestEnd::ClientLeft || self.count_of(&request.id) > 1 {
            return None;
        }
        let limit = request.ended_at + CLIENT_LEFT_GRACE_SECS + SOCKET_SLACK_SECS;
        let late = self
            .attempts_of(&request.id)
            .iter()
            .find(|attempt| attempt.first_byte_at > limit)?;
        let after = late.first_byte_at - request.ended_at;
        let what = format!("an attempt began {after:.3} s after the client had left");
        Some(Violation::of_request(
            Rule::ClientLeft,
            late.first_byte_at,
            &request.id,
            what,
        ))
    }

    fn check_drain(&self, attempt: &AttemptRecord) -> Option<Violation> {
        let limit = DRAIN_GRACE_SECS + SOCKET_SLACK_SECS;
        let mut changes = self.records.changes.iter().filter(|change| {
            change.backend == attempt.backend && change.at <= attempt.first_byte_at
        });
        let change = changes.find(|change| {
            let should_know_at = self.should_know_at(attempt.proxy, change);
            let is_after_limit = attempt.first_byte_at > should_know_at + limit;
            !change.is_ready && is_after_limit && !self.is_ready_again(attempt, change)
        })?;
        let after = attempt.first_byte_at - self.should_know_at(attempt.proxy, change);
        let what = format!(
            "proxy {} sent an attempt to backend {} {after:.3} s after it should have known that \
             the backend is unavailable (list version {} at {:.3} s)",
            attempt.proxy, attempt.backend, change.version, change.at
        );
        Some(Violation::of_request(
            Rule::Drain,
            attempt.first_byte_at,
            &attempt.id,
            what,
        ))
    }

    /// Whether a later list, in which the backend is ready again, was written to the proxy before
    /// the attempt.
    fn is_ready_again(&self, attempt: &AttemptRecord, unavailable: &ListChange) -> bool {
        let mut later = self.records.changes.iter().filter(|change| {
            change.backend == attempt.backend
                && change.is_ready
                && change.version > unavailable.version
        });
        later.any(|change| {
            self.written_at(attempt.proxy, change)
                .is_some_and(|at| at <= attempt.first_byte_at)
        })
    }

    fn written_at(&self, proxy: usize, change: &ListChange) -> Option<f64> {
        let writes = self.records.writes.iter();
        let has_change = |write: &&super::records::ListWrite| {
            write.proxy == proxy && write.version >= change.version
        };
        let times = writes.filter(has_change).map(|write| write.at);
        times.min_by(f64::total_cmp)
    }

    /// When a proxy should know a change: when a list with the change was first written to it, or
    /// at the end of the allowed delay, whichever is earlier.
    fn should_know_at(&self, proxy: usize, change: &ListChange) -> f64 {
        let reachable_at = match self.plan.discovery_fault {
            Some((_, span)) if span.contains(change.at) => span.to,
            _ => change.at,
        };
        let limit = match self.plan.list_source {
            ListSource::Push if self.discovery_address_changes_near(proxy, reachable_at) => {
                DISCOVERY_MOVE_SECS
            }
            ListSource::Push => PUSH_NOTIFICATION_SECS,
            ListSource::Poll => NOTIFICATION_SECS,
        };
        let latest = reachable_at + limit;
        self.written_at(proxy, change)
            .map_or(latest, |written| written.min(latest))
    }

    /// Whether a change of the proxy's discovery address is planned less than
    /// [`DISCOVERY_MOVE_SECS`] before or after a time.
    fn discovery_address_changes_near(&self, proxy: usize, at: f64) -> bool {
        let mut signals = self.plan.signals.iter();
        signals.any(|s| {
            let is_move = s.signal == super::plan::ProxySignal::MoveDiscovery;
            s.proxy == proxy && is_move && (s.at - at).abs() < DISCOVERY_MOVE_SECS
        })
    }

    fn check_process(&self, process: &ProcessRecord) -> Option<Violation> {
        if process.has_crashed {
            let what = "the process exited with a failure, or without SIGTERM".to_string();
            return Some(Violation::of_process(Rule::Process, process, what));
        }
        let ended_at = process.killed_at.or(process.exited_at);
        let stopped_at = process.terminated_at.or(ended_at);
        let observed_until = stopped_at.unwrap_or(f64::INFINITY);
        let time = process.ready_at.map(|ready| ready - process.started_at);
        let is_late = match time {
            Some(time) => time > READY_SECS,
            None => observed_until - process.started_at > MIN_OBSERVED_SECS,
        };
        let exhausts_descriptors = self.plan.descriptor_exhaustion.is_some();
        (is_late && !exhausts_descriptors).then(|| {
            let what = match time {
                Some(time) => format!("the process was ready only {time:.3} s after its start"),
                None => "the process was not ready while it was observed".to_string(),
            };
            Violation::of_process(Rule::Process, process, what)
        })
    }

    fn check_limits(&self, process: &ProcessRecord) -> Option<Violation> {
        let max_descriptors = self.plan.limits.descriptors;
        let max_memory_kb = self.plan.limits.memory_mb * 1024 * MAX_MEMORY_PERCENT / 100;
        let is_within_limits =
            process.max_memory_kb <= max_memory_kb && process.max_descriptors <= max_descriptors;
        (!is_within_limits).then(|| {
            let what = format!(
                "used {} KB of memory (limit {} KB), and {} file descriptors at {:.3} s (limit \
                 {max_descriptors})",
                process.max_memory_kb,
                max_memory_kb,
                process.max_descriptors,
                process.max_descriptors_at
            );
            Violation::of_process(Rule::Limits, process, what)
        })
    }
}

#[cfg(test)]
mod tests;
