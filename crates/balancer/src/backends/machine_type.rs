//! The state of one machine type, and the random choice among its backends.

use super::speed::SpeedEstimate;
use super::Backend;
use crate::estimation::EPSILON;
use crate::halb::MachineGroup;
use crate::BackendId;

/// A backend with the sum of its own local share and the local shares of the backends before it.
struct CumulativeShare {
    backend: BackendId,
    sum: f64,
}

/// One machine type: its speed and its share of the traffic.
///
/// It owns the speed estimate, the highest weight seen, and sums over its backends, which are
/// recomputed with the shares.
#[derive(Default)]
pub(crate) struct MachineType {
    speed: SpeedEstimate,
    /// Sum of the readiness of its backends.
    readiness: f64,
    /// Highest weight that the endpoint list has given one of its backends, taken as the weight of
    /// an idle backend.
    idle_weight: f64,
    /// Fraction of the traffic of all proxies that goes to this machine type.
    share: f64,
    /// Fraction of this proxy's traffic that goes to this machine type.
    local_share: f64,
    /// Its backends whose readiness was above 0 when the shares were last computed. The picker
    /// checks whether a backend is still usable.
    cumulative_shares: Vec<CumulativeShare>,
}

impl MachineType {
    /// Returns the speed estimate.
    pub fn speed(&self) -> &SpeedEstimate {
        &self.speed
    }

    /// Returns the speed estimate for an update.
    pub fn speed_mut(&mut self) -> &mut SpeedEstimate {
        &mut self.speed
    }

    /// Returns the sum of the readiness of its backends.
    pub fn readiness(&self) -> f64 {
        self.readiness
    }

    /// Returns the total readiness of its backends and their speed, as input of HALB.
    pub fn group(&self) -> MachineGroup {
        MachineGroup {
            ready_backends: self.readiness,
            speed: self.speed.speed(),
        }
    }

    /// Sets the fraction of the traffic of all proxies that goes to this machine type.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Returns the fraction of this proxy's traffic that goes to this machine type.
    pub fn local_share(&self) -> f64 {
        self.local_share
    }

    /// Returns the part of this machine type's share that goes to one of its backends, in
    /// proportion to the backend's readiness.
    pub fn share_of(&self, backend: &Backend) -> f64 {
        self.share * backend.readiness() / self.readiness.max(EPSILON)
    }

    /// Returns the requests per second that all proxies together send to each ready backend.
    /// `fleet_rate` is the requests per second that they send to all backends, if known. The result
    /// is 0 if the rate is unknown or no backend is ready.
    pub fn flow_per_backend(&self, fleet_rate: Option<f64>) -> f64 {
        if self.readiness <= 0.0 {
            return 0.0;
        }
        fleet_rate.unwrap_or(0.0) * self.share / self.readiness
    }

    /// Resets the sum of the readiness before it is computed again.
    pub fn clear_readiness(&mut self) {
        self.readiness = 0.0;
    }

    /// Adds the readiness of one of its backends to the sum.
    pub fn add_readiness(&mut self, readiness: f64) {
        self.readiness += readiness;
    }

    /// Records a weight from the endpoint list; returns the highest weight so far.
    pub fn record_weight(&mut self, weight: f64) -> f64 {
        self.idle_weight = self.idle_weight.max(weight);
        self.idle_weight
    }

    /// Resets the local shares of its backends before they are computed again.
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

    /// Returns the backend at `position`, from 0 to 1, of the cumulative local shares. A uniformly
    /// random position picks each backend with a probability in proportion to its local share.
    /// `None` if the machine type has no backends with a share.
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
