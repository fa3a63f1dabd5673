//! The table of the backends that this proxy uses and of their machine types.

use super::readiness::readiness;
use super::{Allocation, Backend, MachineType};
use crate::halb::{halb_shares, MachineGroup};
use crate::requests::InFlightAttempt;
use crate::{BackendId, Config, Endpoint, EndpointUpdate, MachineTypeId, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// If more than this fraction of the backends that are listed as ready is ejected, ejections are
/// ignored (panic mode): so many simultaneous failures are not caused by individual backends.
const PANIC_THRESHOLD: f64 = 0.5;
/// Speed of every machine type while the speed of none is known, in requests per second.
const ASSUMED_SPEED: f64 = 1.0;

/// The backends and machine types that this proxy uses.
///
/// It owns both. Outlier detection updates the health of backends through it. The computation of
/// the shares passes in the limits of each backend.
#[derive(Default)]
pub(crate) struct BackendTable {
    backends: BTreeMap<BackendId, Backend>,
    machine_types: BTreeMap<MachineTypeId, MachineType>,
}

impl BackendTable {
    /// Returns a backend.
    pub fn get(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    /// Returns a backend for an update.
    pub fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.backends.get_mut(&id)
    }

    /// Returns the backend that an attempt was sent to for an update of its health; `None` if the
    /// backend runs another process now, of which the attempt shows nothing.
    pub fn process_of_mut(&mut self, attempt: &InFlightAttempt) -> Option<&mut Backend> {
        let backend = self.backends.get_mut(&attempt.backend)?;
        let is_same = backend.endpoint().started_at == attempt.process_started_at;
        is_same.then_some(backend)
    }

    /// Iterates over all backends in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (BackendId, &Backend)> {
        self.backends.iter().map(|(id, backend)| (*id, backend))
    }

    /// Returns the number of backends. It includes removed backends that still have attempts in
    /// flight.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Returns a machine type.
    pub fn machine_type(&self, id: MachineTypeId) -> Option<&MachineType> {
        self.machine_types.get(&id)
    }

    /// Iterates over all machine types in the order of their ids.
    pub fn machine_types(&self) -> impl Iterator<Item = (MachineTypeId, &MachineType)> {
        self.machine_types.iter().map(|(id, found)| (*id, found))
    }

    /// Returns the latency of a mean request on a backend without load, in seconds. It is an
    /// assumed value until responses have arrived, and `None` before the first computation of the
    /// shares or if the backend is unknown.
    pub fn baseline_latency(&self, id: BackendId) -> Option<f64> {
        let backend = self.backends.get(&id)?;
        let machine_type = self.machine_types.get(&backend.machine_type())?;
        machine_type.speed().baseline_latency()
    }

    /// Returns the sum of the readiness of all backends.
    pub fn total_readiness(&self) -> f64 {
        let machine_types = self.machine_types.values();
        machine_types.map(MachineType::readiness).sum()
    }

    /// Returns the zones of all backends.
    pub fn zones(&self) -> BTreeSet<ZoneId> {
        let backends = self.backends.values();
        backends.map(|backend| backend.endpoint().zone).collect()
    }

    /// Applies an update of the endpoint list. Returns whether anything but weights changed; a
    /// known backend that is missing from a complete list counts as a change.
    pub fn apply_update(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) -> bool {
        let is_complete = matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached);
        let mut has_changed = is_complete && self.mark_unlisted(&endpoints);
        for endpoint in endpoints {
            let backend = self.backends.entry(endpoint.id).or_default();
            has_changed |= backend.update_endpoint(endpoint);
        }
        if has_changed {
            self.backends.retain(|_, backend| !backend.is_gone());
        }
        has_changed
    }

    /// Marks the backends that are missing from a complete list as removed; returns whether there
    /// are any.
    fn mark_unlisted(&mut self, endpoints: &[Endpoint]) -> bool {
        let listed: BTreeSet<BackendId> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        let mut is_any_unlisted = false;
        for (id, backend) in &mut self.backends {
            if !listed.contains(id) {
                backend.mark_removed();
                is_any_unlisted = true;
            }
        }
        is_any_unlisted
    }

    /// Records the latency of a request that a backend served, in seconds, normalized to a mean
    /// request.
    pub fn record_latency(&mut self, id: BackendId, seconds: f64) {
        let Some(backend) = self.backends.get(&id) else {
            return;
        };
        let machine_type = self
            .machine_types
            .entry(backend.machine_type())
            .or_default();
        machine_type.speed_mut().record_latency(seconds);
    }

    /// Computes the readiness of all backends and machine types, and ends ejections that are due.
    /// Returns how many backends the endpoint list marks as ready.
    pub fn update_readiness(&mut self, now: Time, config: &Config) -> usize {
        let listed = self.backends.values().filter(|b| b.is_listed_as_ready());
        let ready_count = listed.clone().count();
        let ejected_count = listed.filter(|b| b.health().is_ejected()).count();
        let is_panic = ejected_count as f64 > ready_count as f64 * PANIC_THRESHOLD;
        for machine_type in self.machine_types.values_mut() {
            machine_type.clear_readiness();
        }
        for backend in self.backends.values_mut() {
            backend.health_mut().end_ejection_if_due(now);
            let machine_type = self
                .machine_types
                .entry(backend.machine_type())
                .or_default();
            let idle_weight = machine_type.record_weight(backend.endpoint().weight);
            let readiness = readiness(now, config, backend, idle_weight, is_panic);
            backend.set_readiness(readiness);
            machine_type.add_readiness(readiness);
        }
        ready_count
    }

    /// Estimates the baseline latency and the speed of every machine type. `elapsed` is the time
    /// since the last estimate and `assumed_latency` the baseline latency before any response, both
    /// in seconds. `fleet_rate` is the requests per second that all proxies together send to these
    /// backends, if known.
    pub fn estimate_speeds(&mut self, elapsed: f64, assumed_latency: f64, fleet_rate: Option<f64>) {
        for machine_type in self.machine_types.values_mut() {
            let flow = machine_type.flow_per_backend(fleet_rate);
            let speed = machine_type.speed_mut();
            speed.update_baseline(elapsed, assumed_latency);
            speed.update_speed(elapsed, flow);
        }
        let mean_speed = self.mean_known_speed();
        for machine_type in self.machine_types.values_mut() {
            machine_type.speed_mut().assume_speed(mean_speed);
        }
    }

    /// Returns the mean speed of the machine types whose speed is known, in requests per second. It
    /// is assumed for the machine types without data.
    fn mean_known_speed(&self) -> f64 {
        let mut sum = 0.0;
        let mut count = 0.0;
        for machine_type in self.machine_types.values() {
            let speed = machine_type.speed().speed();
            if speed > 0.0 {
                sum += speed;
                count += 1.0;
            }
        }
        if count > 0.0 {
            sum / count
        } else {
            ASSUMED_SPEED
        }
    }

    /// Splits the traffic of all proxies between the machine types by HALB. `fleet_rate` is as in
    /// [`estimate_speeds`](Self::estimate_speeds).
    pub fn split_by_machine_type(&mut self, fleet_rate: Option<f64>) {
        let groups: Vec<MachineGroup> = self
            .machine_types
            .values()
            .map(MachineType::group)
            .collect();
        let shares = halb_shares(&groups, fleet_rate);
        for (machine_type, share) in self.machine_types.values_mut().zip(shares) {
            machine_type.set_share(share);
        }
    }

    /// Sets the limits and shares of each backend to the result of `allocation_of`. Returns the
    /// fraction of the traffic that all proxies together can place on the backends.
    pub fn allocate_all(
        &mut self,
        allocation_of: impl Fn(BackendId, &Backend, &MachineType) -> Allocation,
    ) -> f64 {
        for machine_type in self.machine_types.values_mut() {
            machine_type.clear_local_shares();
        }
        let mut placeable_fraction = 0.0;
        for (&id, backend) in &mut self.backends {
            let machine_type = self
                .machine_types
                .entry(backend.machine_type())
                .or_default();
            let allocation = allocation_of(id, backend, machine_type);
            placeable_fraction += allocation.planned_share;
            backend.allocate(&allocation);
            if backend.readiness() > 0.0 {
                machine_type.add_local_share(id, allocation.local_share);
            }
        }
        placeable_fraction
    }
}
