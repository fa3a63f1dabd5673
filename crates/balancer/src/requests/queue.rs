//! The queue of the requests that wait for capacity, and the order in which they are sent.

use super::Request;
use crate::{RequestId, Time};
use std::cmp::Ordering;

/// Compared with the mark in place of the weight of a request that was sent before: it is never
/// below the mark.
const RETRY_BLOCKING_WEIGHT: f64 = f64::MAX;
/// The mark while no first attempt of any weight finds capacity.
const ALL_FIRST_ATTEMPTS_BLOCKED: f64 = f64::MAX;

/// A waiting request with what decides its place in the queue.
pub(crate) struct QueuedRequest {
    /// The request.
    pub id: RequestId,
    /// What it is worth to the operators' objective per unit of work: the priority density of the
    /// fractional knapsack problem.
    density: f64,
    arrived_at: Time,
    /// What is compared with the weight below which the queue is blocked.
    blocking_weight: f64,
}

impl QueuedRequest {
    /// A waiting request whose class has the given density.
    pub fn new(id: RequestId, request: &Request, class_density: f64) -> QueuedRequest {
        // Only first attempts are ever blocked: a retry may go to a backend that the first one
        // could not use.
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

    /// The order of sending: the highest density first, and the last to arrive first among equals.
    pub fn sending_order(&self, other: &QueuedRequest) -> Ordering {
        let by_density = other.density.total_cmp(&self.density);
        let by_arrival = other.arrived_at.cmp(&self.arrived_at);
        by_density.then(by_arrival).then(self.id.cmp(&other.id))
    }
}

/// The requests that wait for a backend.
///
/// It owns their ids and the weight below which first attempts found no capacity. That mark saves
/// the time of offering a long queue to full backends again; whatever may free capacity resets it.
#[derive(Default)]
pub(crate) struct RequestQueue {
    waiting: Vec<RequestId>,
    /// First attempts of a lower weight found no capacity since the mark was last reset.
    blocked_below_weight: f64,
}

impl RequestQueue {
    /// Adds a request at the end.
    pub fn push(&mut self, id: RequestId) {
        self.waiting.push(id);
    }

    /// Whether a request waits.
    pub fn contains(&self, id: RequestId) -> bool {
        self.waiting.contains(&id)
    }

    /// Takes a request out, if it waits.
    pub fn remove(&mut self, id: RequestId) {
        self.waiting.retain(|waiting| *waiting != id);
    }

    /// Takes all waiting requests out, in the order in which they were added.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting)
    }

    /// Whether a pass over the queue can be skipped: no request waits, or no first attempt finds
    /// capacity. In the second case waiting retries are not tried either, until
    /// [`unblock`](Self::unblock).
    pub fn is_empty_or_blocked(&self) -> bool {
        self.waiting.is_empty() || self.blocked_below_weight == ALL_FIRST_ATTEMPTS_BLOCKED
    }

    /// Whether a request would find no capacity, because none of a higher weight did.
    pub fn is_blocked(&self, queued: &QueuedRequest) -> bool {
        queued.blocking_weight < self.blocked_below_weight
    }

    /// Records that the first attempt of a request found no capacity. If the request has low
    /// priority, all first attempts of low priority are blocked, otherwise all first attempts.
    pub fn block_up_to_priority_of(&mut self, request: &Request) {
        let weight = request
            .weight
            .low_priority_limit()
            .unwrap_or(ALL_FIRST_ATTEMPTS_BLOCKED);
        self.blocked_below_weight = self.blocked_below_weight.max(weight);
    }

    /// Records that capacity may have become free.
    pub fn unblock(&mut self) {
        self.blocked_below_weight = 0.0;
    }
}

#[cfg(test)]
mod tests;
