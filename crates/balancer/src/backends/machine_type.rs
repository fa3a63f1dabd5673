//! What the balancer knows of one machine type, and the random choice among its backends.

use super::speed::SpeedEstimate;
use super::Backend;
use crate::estimation::EPSILON;
use crate::halb::MachineGroup;
use crate::BackendId;

/// A backend with the sum of its own local share and of those before it.
struct CumulativeShare {
    backend: BackendId,
    sum: f64,
}

/// One machine type: its speed, and its part of the traffic.
///
/// It owns the speed estimate, the highest weight seen, and the sums over its backends, which each
/// computation of the shares renews.
#[derive(Default)]
pub(crate) struct MachineType {
    speed: SpeedEstimate,
    /// Sum of its backends' readiness.
    readiness: f64,
    /// Highest weight that the endpoint list gave one of its backends: that of an idle one.
    idle_weight: f64,
    /// Fraction of all proxies' traffic.
    share: f64,
    /// Fraction of this proxy's traffic.
    local_share: f64,
    /// Its backends with a readiness above 0 at the last computation. The picker checks whether
    /// they are usable now.
    cumulative_shares: Vec<CumulativeShare>,
}

impl MachineType {
    /// Its speed.
    pub fn speed(&self) -> &SpeedEstimate {
        &self.speed
    }

    /// The same for the estimation of speeds.
    pub fn speed_mut(&mut self) -> &mut SpeedEstimate {
        &mut self.speed
    }

    /// Sum of its backends' readiness.
    pub fn readiness(&self) -> f64 {
        self.readiness
    }

    /// Its ready backends and their speed, as HALB takes them.
    pub fn group(&self) -> MachineGroup {
        MachineGroup {
            ready_backends: self.readiness,
            speed: self.speed.speed(),
        }
    }

    /// Sets its fraction of all proxies' traffic.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Fraction of this proxy's traffic.
    pub fn local_share(&self) -> f64 {
        self.local_share
    }

    /// The part of this machine type's share of the traffic that a backend of it is due.
    pub fn share_of(&self, backend: &Backend) -> f64 {
        self.share * backend.readiness() / self.readiness.max(EPSILON)
    }

    /// Requests per second that all proxies together send to each backend, out of `fleet_rate` to
    /// the whole fleet.
    pub fn flow_per_backend(&self, fleet_rate: Option<f64>) -> f64 {
        if self.readiness <= 0.0 {
            return 0.0;
        }
        fleet_rate.unwrap_or(0.0) * self.share / self.readiness
    }

    /// Forgets the readiness of its backends, which is about to be added up anew.
    pub fn clear_readiness(&mut self) {
        self.readiness = 0.0;
    }

    /// Adds the readiness of one of its backends.
    pub fn add_readiness(&mut self, readiness: f64) {
        self.readiness += readiness;
    }

    /// Takes in a weight of the endpoint list; returns the highest so far.
    pub fn record_weight(&mut self, weight: f64) -> f64 {
        self.idle_weight = self.idle_weight.max(weight);
        self.idle_weight
    }

    /// Forgets the local shares of its backends, which are about to be added up anew.
    pub fn clear_local_shares(&mut self) {
        self.local_share = 0.0;
        self.cumulative_shares.clear();
    }

    /// Adds the local share of one of its backends.
    pub fn add_local_share(&mut self, backend: BackendId, share: f64) {
        self.local_share += share;
        self.cumulative_shares.push(CumulativeShare {
            backend,
            sum: self.local_share,
        });
    }

    /// The backend at `position` of the cumulative shares, from 0 to 1. A position that is
    /// drawn uniformly picks each backend by its local share.
    pub fn backend_at(&self, position: f64) -> Option<BackendId> {
        let target = position * self.local_share;
        let shares = &self.cumulative_shares;
        let index = shares.partition_point(|share| share.sum <= target);
        let share = shares.get(index).or(shares.last())?;
        Some(share.backend)
    }
}

#[cfg(test)]
mod tests;
