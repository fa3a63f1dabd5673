//! The queue of the requests that wait for capacity, and the order in which they are sent.
//!
//! If a first attempt finds no capacity, the queue is blocked for first attempts below a weight, so
//! that a long queue is not offered to full backends again and again.

use super::Request;
use crate::{RequestId, Time};
use std::cmp::Ordering;

/// The blocking weight of a retry. It is never below
/// [`blocked_below_weight`](RequestQueue::blocked_below_weight), so retries are never blocked.
const RETRY_BLOCKING_WEIGHT: f64 = f64::MAX;
/// The value of [`blocked_below_weight`](RequestQueue::blocked_below_weight) while no first attempt
/// of any weight finds capacity.
const ALL_FIRST_ATTEMPTS_BLOCKED: f64 = f64::MAX;

/// A waiting request with the values that determine its place in the queue.
pub(crate) struct QueuedRequest {
    /// The id of the request.
    pub id: RequestId,
    /// Gain in the operators' objective from serving the request, per unit of work. Sending
    /// requests by this density is the greedy solution of the fractional knapsack problem.
    density: f64,
    arrived_at: Time,
    /// The weight that is compared with the one below which the queue is blocked.
    blocking_weight: f64,
}

impl QueuedRequest {
    /// Creates the queue entry of a request whose class has the given density.
    pub fn new(id: RequestId, request: &Request, class_density: f64) -> QueuedRequest {
        // Only first attempts are blocked: a retry may go to a backend that a first attempt could
        // not use.
        let blocking_weight = if request.is_unsent() {
            request.weight.value()
        } else {
            RETRY_BLOCKING_WEIGHT
        };
        QueuedRequest {
            id,
            density: class_density * request.weight.value(),
            arrived_at: request.arrived_at,
            blocking_weight,
        }
    }

    /// Compares two requests by the order in which they are sent: the highest density first, and
    /// the latest arrival first among requests of equal density.
    pub fn sending_order(&self, other: &QueuedRequest) -> Ordering {
        let by_density = other.density.total_cmp(&self.density);
        let by_arrival = other.arrived_at.cmp(&self.arrived_at);
        by_density.then(by_arrival).then(self.id.cmp(&other.id))
    }
}

/// The requests that wait for a backend.
///
/// It owns their ids and the weight below which first attempts are blocked because none found
/// capacity. Blocking them saves the CPU time of offering a long queue to full backends again.
/// The queue is unblocked whenever capacity may have become free.
#[derive(Default)]
pub(crate) struct RequestQueue {
    waiting: Vec<RequestId>,
    /// First attempts with a lower weight are blocked, because one found no capacity since the
    /// queue was last unblocked; 0 if none is blocked.
    blocked_below_weight: f64,
}

impl RequestQueue {
    /// Adds a request.
    pub fn push(&mut self, id: RequestId) {
        self.waiting.push(id);
    }

    /// Whether a request is in the queue.
    pub fn contains(&self, id: RequestId) -> bool {
        self.waiting.contains(&id)
    }

    /// Removes a request if it is in the queue.
    pub fn remove(&mut self, id: RequestId) {
        self.waiting.retain(|waiting| *waiting != id);
    }

    /// Removes all requests and returns them in the order in which they were added.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting)
    }

    /// Whether a pass over the queue can be skipped, because it is empty or because all first
    /// attempts are blocked. In the second case, waiting retries are not tried either until
    /// [`unblock`](Self::unblock) is called.
    pub fn is_empty_or_blocked(&self) -> bool {
        self.waiting.is_empty() || self.blocked_below_weight == ALL_FIRST_ATTEMPTS_BLOCKED
    }

    /// Whether a request waits for its first attempt and has a weight for which no capacity was
    /// found since the queue was last unblocked.
    pub fn is_blocked(&self, queued: &QueuedRequest) -> bool {
        queued.blocking_weight < self.blocked_below_weight
    }

    /// Records that the first attempt of a request found no capacity. This blocks all first
    /// attempts of low priority if the request has low priority, otherwise all first attempts.
    pub fn block_up_to_priority_of(&mut self, request: &Request) {
        let weight = request
            .weight
            .low_priority_limit()
            .unwrap_or(ALL_FIRST_ATTEMPTS_BLOCKED);
        self.blocked_below_weight = self.blocked_below_weight.max(weight);
    }

    /// Unblocks all first attempts, because capacity may have become free.
    pub fn unblock(&mut self) {
        self.blocked_below_weight = 0.0;
    }
}

#[cfg(test)]
mod tests;
