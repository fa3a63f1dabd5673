//! Counts what happened to the requests of simulated proxies.

use serde::Serialize;

/// The number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestCounts {
    /// Requests that arrived.
    #[serde(rename = "came")]
    pub arrived: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that the balancer rejected. The client may safely retry these.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that the balancer answered with a failure.
    pub failed: u64,
    /// Requests to which the balancer gave no final response in time.
    pub unanswered: u64,
    /// Requests that were open when their proxy restarted.
    #[serde(rename = "cut")]
    pub interrupted: u64,
}

impl RequestCounts {
    /// Adds the counts of another proxy.
    pub fn add(&mut self, other: &RequestCounts) {
        self.arrived += other.arrived;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.interrupted += other.interrupted;
    }
}
