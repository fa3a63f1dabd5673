//! Zone affinity: where crossing zones has a cost, traffic stays in its own zone as far as possible
//! without giving some backends more than their share. A zone with more traffic than capacity sends
//! the excess to zones with spare capacity.
//!
//! Each proxy sends to a zone in proportion to the zone's capacity, multiplied by the zone's
//! factor. The factor is the fraction of the proxy's traffic that the zone should get, divided by
//! the zone's fraction of the capacity.

use crate::backends::BackendTable;
use crate::estimation::EPSILON;
use crate::{Config, ZoneId};
use std::collections::BTreeMap;

/// The factor that leaves the shares of a zone's backends unchanged.
const NEUTRAL_FACTOR: f64 = 1.0;

/// The factors on the shares of the backends in each zone.
#[derive(Default)]
pub(crate) struct ZoneFactors {
    /// Empty if traffic does not prefer its own zone.
    by_zone: BTreeMap<ZoneId, f64>,
}

impl ZoneFactors {
    /// Computes the factors for this proxy's zone and the current shares of the backends.
    pub fn new(config: &Config, backends: &BackendTable) -> ZoneFactors {
        if !prefers_own_zone(config, backends) {
            return ZoneFactors::default();
        }
        let zone_count = f64::from(config.zone_count);
        let capacity_shares = capacity_shares(backends);
        let total_spare: f64 = capacity_shares
            .values()
            .map(|capacity| spare_capacity(*capacity, zone_count))
            .sum();
        let own_share = capacity_shares.get(&config.zone).copied().unwrap_or(0.0);
        let own_capacity = own_share * zone_count;
        let traffic_to_others = (1.0 - own_capacity).max(0.0);
        let mut by_zone = BTreeMap::new();
        for (zone, capacity) in capacity_shares {
            let capacity = capacity.max(EPSILON);
            let traffic = if zone == config.zone {
                own_capacity.min(1.0)
            } else {
                let zone_spare = spare_capacity(capacity, zone_count);
                traffic_to_others * zone_spare / total_spare.max(EPSILON)
            };
            by_zone.insert(zone, traffic / capacity);
        }
        ZoneFactors { by_zone }
    }

    /// The factor of a zone; neutral if the zone has none.
    pub fn get(&self, zone: ZoneId) -> f64 {
        self.by_zone.get(&zone).copied().unwrap_or(NEUTRAL_FACTOR)
    }
}

/// Whether traffic prefers its own zone. Crossing zones must have a cost. The factors also assume
/// that all zones have the same traffic: the number of proxies must be a multiple of the number of
/// zones, and the endpoint list must not name more zones than are configured, because the traffic
/// of an additional zone is unknown.
fn prefers_own_zone(config: &Config, backends: &BackendTable) -> bool {
    let has_equal_traffic = config.proxy_count % config.zone_count == 0;
    if config.cross_zone_cost <= 0.0 || !has_equal_traffic {
        return false;
    }
    let mut zones = backends.zones();
    zones.insert(config.zone);
    zones.len() <= config.zone_count as usize
}

/// The capacity of each zone as a fraction of the capacity of all zones, for zones with a backend
/// whose readiness is above 0.
fn capacity_shares(backends: &BackendTable) -> BTreeMap<ZoneId, f64> {
    let mut shares: BTreeMap<ZoneId, f64> = BTreeMap::new();
    for (_, backend) in backends.iter() {
        if backend.readiness() > 0.0 {
            let machine_type = backends.machine_type(backend.machine_type());
            let share = machine_type.map_or(0.0, |found| found.share_of(backend));
            *shares.entry(backend.endpoint().zone).or_default() += share;
        }
    }
    shares
}

/// The capacity of a zone beyond its own traffic, in multiples of the traffic of one zone.
fn spare_capacity(capacity_share: f64, zone_count: f64) -> f64 {
    (capacity_share * zone_count - 1.0).max(0.0)
}
