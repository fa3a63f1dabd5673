//! The report on a run, as text and JSON.

use super::checks::{check, Violation};
use super::plan::Plan;
use super::records::{Records, RequestEnd};
use serde::Serialize;
use std::fmt::{Display, Formatter};

/// The maximum number of log lines that are shown for a violation.
const MAX_LOG_LINES: usize = 40;

/// The report on a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// The plan of the run.
    pub plan: Plan,
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests that got status 200.
    pub served: usize,
    /// Requests that got another status.
    pub not_served: usize,
    /// Attempts that backends received.
    pub attempts: usize,
    /// Processes of all proxies together.
    pub processes: usize,
    /// The violations of rules, in the order of their times.
    pub violations: Vec<ViolationReport>,
}

/// A violation, with the log lines of the proxies that belong to it.
#[derive(Clone, Debug, Serialize)]
pub struct ViolationReport {
    /// The violation.
    #[serde(flatten)]
    pub violation: Violation,
    /// Log lines about its request from all processes. If the violation concerns no request, lines
    /// that report errors.
    pub log: Vec<String>,
}

impl RunReport {
    /// Checks the records of a run against the rules, and creates the report.
    pub fn new(plan: Plan, records: &Records) -> RunReport {
        let count_answered = |is_served: bool| {
            let ends = records.requests.iter().map(|request| request.end);
            ends.filter(|end| match end {
                RequestEnd::Answered { status, .. } => (*status == 200) == is_served,
                _ => false,
            })
            .count()
        };
        let violations = check(&plan, records)
            .into_iter()
            .map(|violation| ViolationReport {
                log: log_lines_of(&violation, records),
                violation,
            });
        RunReport {
            requests: records.requests.len(),
            served: count_answered(true),
            not_served: count_answered(false),
            attempts: records.attempts.len(),
            processes: records.processes.len(),
            violations: violations.collect(),
            plan,
        }
    }

    /// The command that executes only this run.
    pub fn command(&self) -> String {
        let seed = self.plan.seed;
        format!("target/release/brookstack-fleet-simulator soak --seeds 1 --first-seed {seed}")
    }
}

/// The log lines about the request of a violation. A line with its correlation id contains the
/// request number that the process assigned; the other lines are found by that number.
fn log_lines_of(violation: &Violation, records: &Records) -> Vec<String> {
    let Some(id) = &violation.request else {
        return error_log_lines(records);
    };
    let by_id = format!("correlation_id=\"{id}\"");
    let mut lines = Vec::new();
    for (index, line) in records.log.iter().enumerate() {
        if !line.text.contains(&by_id) {
            continue;
        }
        let number = line.text.split("request=").nth(1);
        let number = number.and_then(|rest| rest.split(' ').next()).unwrap_or("");
        let by_number = format!("request={number} ");
        let of_request = records.log[index..]
            .iter()
            .filter(|other| other.proxy == line.proxy && other.text.contains(&by_number));
        lines.extend(of_request.map(|other| format!("proxy {}: {}", other.proxy, other.text)));
    }
    lines.truncate(MAX_LOG_LINES);
    lines
}

/// The lines that are not at the levels DEBUG, INFO or WARN: errors, and lines outside the log
/// format, like the reason of a failed start.
fn error_log_lines(records: &Records) -> Vec<String> {
    let is_ordinary = |text: &str| {
        [" DEBUG ", " INFO ", " WARN "]
            .iter()
            .any(|level| text.contains(level))
    };
    let errors = records.log.iter().filter(|line| !is_ordinary(&line.text));
    let lines = errors.map(|line| format!("proxy {}: {}", line.proxy, line.text));
    lines.take(MAX_LOG_LINES).collect()
}

impl Display for RunReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let plan = &self.plan;
        writeln!(
            formatter,
            "seed {}: {} requests, {} served, {} not served, {} attempts, {} processes; {:?}, \
             {} backends, discovery fault {:?}, descriptors exhausted {}, \
             {} signals, backend faults {:?}, response fault {:?}",
            plan.seed,
            self.requests,
            self.served,
            self.not_served,
            self.attempts,
            self.processes,
            plan.list_source,
            plan.backends,
            plan.discovery_fault.map(|(fault, _)| fault),
            plan.descriptor_exhaustion.is_some(),
            plan.signals.len(),
            plan.backend_faults
                .iter()
                .map(|planned| planned.fault)
                .collect::<Vec<_>>(),
            plan.response_fault.map(|planned| planned.fault),
        )?;
        for ViolationReport { violation, log } in &self.violations {
            let request = violation.request.as_deref().unwrap_or("-");
            writeln!(
                formatter,
                "  broken: {:?} at {:.3} s, request {request}: {}",
                violation.rule, violation.at, violation.what
            )?;
            for line in log {
                writeln!(formatter, "    {line}")?;
            }
        }
        if !self.violations.is_empty() {
            writeln!(formatter, "  alone: {}", self.command())?;
        }
        Ok(())
    }
}
