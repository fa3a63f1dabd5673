//! What became of requests.

use serde::Serialize;

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestCounts {
    /// Requests that arrived.
    #[serde(rename = "came")]
    pub arrived: u64,
    /// Requests that were served.
    pub served: u64,
    /// Rejected by the balancer: the client may safely retry.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed by the balancer.
    pub failed: u64,
    /// Not answered by the balancer in time.
    pub unanswered: u64,
    /// Open when their proxy restarted.
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
