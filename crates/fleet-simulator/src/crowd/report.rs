//! The result of a run, and its row of the table.

use serde::Serialize;
use std::fmt;

/// The head of the table.
pub const TABLE_HEAD: &str = "| crowd | limit, MiB | descriptors | peak, KiB | % of the limit \
     | after, KiB | usual: served | refused | lost | unanswered | p50, ms | p99, ms \
     | crowd: served | refused | closed | ended by itself |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- \
     | --- |";
/// The part of its memory limit that a process may use, in percent.
const MAX_PERCENT: f64 = 90.0;

/// What was measured in a run.
#[derive(Clone, Debug, Serialize)]
pub struct CrowdRun {
    /// The name of the crowd.
    pub crowd: String,
    /// The memory limit, MiB.
    pub memory_mb: u64,
    /// The limit on descriptors.
    pub descriptors: u64,
    /// The peak resident memory of any process, KiB.
    pub peak_kb: u64,
    /// The resident memory after the crowd has left, KiB.
    pub after_kb: u64,
    /// Requests of usual clients that were served.
    pub usual_served: usize,
    /// Requests of usual clients that got another response.
    pub usual_refused: usize,
    /// Requests of usual clients whose connection was closed without a response.
    pub usual_lost: u64,
    /// Requests of usual clients without a response in time.
    pub usual_unanswered: u64,
    /// The median time of the served requests of usual clients, ms.
    pub usual_p50_ms: f64,
    /// The time that 99 in 100 of them kept to, ms.
    pub usual_p99_ms: f64,
    /// Requests of the crowd that were served.
    pub crowd_served: u64,
    /// Requests of the crowd that got another response.
    pub crowd_refused: u64,
    /// Connections of the crowd that ended without a response.
    pub crowd_closed: u64,
    /// Whether a process ended by itself.
    pub has_ended: bool,
}

impl CrowdRun {
    /// The peak as a part of the limit, in percent.
    fn percent(&self) -> f64 {
        100.0 * self.peak_kb as f64 / (self.memory_mb << 10) as f64
    }

    /// Whether the memory stayed under nine tenths of the limit and no process ended by itself.
    pub fn is_within_limit(&self) -> bool {
        self.percent() <= MAX_PERCENT && !self.has_ended
    }
}

impl fmt::Display for CrowdRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {} | {} | {} | {} | {:.1} | {} | {} | {} | {} | {} | {:.1} | {:.1} | {} | {} | {} \
             | {} |",
            self.crowd,
            self.memory_mb,
            self.descriptors,
            self.peak_kb,
            self.percent(),
            self.after_kb,
            self.usual_served,
            self.usual_refused,
            self.usual_lost,
            self.usual_unanswered,
            self.usual_p50_ms,
            self.usual_p99_ms,
            self.crowd_served,
            self.crowd_refused,
            self.crowd_closed,
            self.has_ended,
        )
    }
}
