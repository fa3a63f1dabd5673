//! Log lines about the memory of the process: one when its resident memory passes a part of the
//! limit, and one at regular intervals at the level `debug`. Each says what holds the memory.

use crate::connection_pool::ConnectionPool;
use crate::log_target;
use crate::memory_budget::{MemoryBudget, Share};
use crate::server::Server;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// The interval at which the resident memory is read.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The number of checks between two lines at the level `debug`.
const CHECKS_PER_DEBUG_LINE: u64 = 10;
/// A line is written when the resident memory passes one of these parts of the limit, in percent.
const THRESHOLDS_PERCENT: [usize; 3] = [50, 75, 90];
/// The file in which the kernel tells the state of the process.
const STATUS_FILE: &str = "/proc/self/status";
/// The line of that file with the resident memory, in KiB.
const RESIDENT_KEY: &str = "VmRSS:";

/// Watches the memory of the process and writes the log lines.
pub struct MemoryLog {
    limit_bytes: usize,
    memory: Rc<MemoryBudget>,
    server: Rc<Server>,
    pool: Rc<ConnectionPool>,
    /// The number of thresholds that the resident memory had passed at the last check.
    passed: usize,
}

impl MemoryLog {
    /// Creates a log for a process with this memory limit.
    pub fn new(
        limit_bytes: usize,
        memory: Rc<MemoryBudget>,
        server: Rc<Server>,
        pool: Rc<ConnectionPool>,
    ) -> MemoryLog {
        MemoryLog {
            limit_bytes,
            memory,
            server,
            pool,
            passed: 0,
        }
    }

    /// Checks the memory until the process ends.
    pub async fn run(mut self) {
        let mut interval = tokio::time::interval(CHECK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for check in 0_u64.. {
            interval.tick().await;
            if let Some(resident_bytes) = resident_bytes() {
                self.write_if_passed(resident_bytes);
                if check % CHECKS_PER_DEBUG_LINE == 0 {
                    let description = self.describe(resident_bytes);
                    tracing::debug!(target: log_target::MEMORY, "{description}");
                }
            }
        }
    }

    /// Writes a line if more thresholds are passed than at the last check.
    fn write_if_passed(&mut self, resident_bytes: usize) {
        let passed = thresholds_passed(resident_bytes, self.limit_bytes);
        if passed > self.passed {
            let percent = THRESHOLDS_PERCENT[passed - 1];
            tracing::warn!(
                target: log_target::MEMORY,
                "resident memory is over {percent}% of the limit: {}",
                self.describe(resident_bytes)
            );
        }
        self.passed = passed;
    }

    fn describe(&self, resident_bytes: usize) -> String {
        format!(
            "resident_kb={} limit_kb={} reserved_kb_of_connections={} reserved_kb_of_requests={} \
             reserved_kb_of_responses={} clients={:?} open_ids={} backend_sockets={} \
             idle_backend_connections={}",
            resident_bytes >> 10,
            self.limit_bytes >> 10,
            self.reserved_of(Share::Connections),
            self.reserved_of(Share::Requests),
            self.reserved_of(Share::Responses),
            self.server.connection_counts(),
            self.server.open_ids(),
            self.pool.sockets(),
            self.pool.idle_connections(),
        )
    }

    /// The reserved memory of a share and its size, in KiB.
    fn reserved_of(&self, share: Share) -> String {
        let reserved = self.memory.reserved_bytes(share) >> 10;
        let capacity = self.memory.capacity_bytes(share) >> 10;
        format!("{reserved}/{capacity}")
    }
}

/// How many of [`THRESHOLDS_PERCENT`] the resident memory has passed.
fn thresholds_passed(resident_bytes: usize, limit_bytes: usize) -> usize {
    let is_passed = |percent: &&usize| resident_bytes * 100 > limit_bytes.saturating_mul(**percent);
    THRESHOLDS_PERCENT.iter().filter(is_passed).count()
}

/// The resident memory of this process; `None` if it cannot be read.
fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_KEY))?;
    let kib: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kib << 10)
}

#[cfg(test)]
mod tests;
