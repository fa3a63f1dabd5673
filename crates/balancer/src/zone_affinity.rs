//! Zone affinity: where crossing zones costs, traffic stays in its zone as far as every backend
//! gets the same share. A zone with more traffic than capacity sends the rest to the zones with
//! spare capacity.

use crate::{estimators::EPSILON, *};
use std::collections::{BTreeMap, BTreeSet};

impl Balancer {
    /// The factors on the shares of the backends of each zone; empty where zones make no
    /// difference.
    pub(crate) fn zone_biases(&self) -> BTreeMap<ZoneId, f64> {
        let mut capacity_shares: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for backend in self
            .backends
            .values()
            .filter(|backend| backend.readiness > 0.0)
        {
            let share = self
                .kinds
                .get(&backend.endpoint.machine_type)
                .map_or(0.0, |kind| kind.share_of(backend));
            *capacity_shares.entry(backend.endpoint.zone).or_default() += share;
        }
        let listed = self
            .backends
            .values()
            .map(|backend| backend.endpoint.zone)
            .chain([self.config.zone]);
        // Where the list names more zones than are configured, nobody knows their traffic.
        let known = listed.collect::<BTreeSet<ZoneId>>().len() <= self.config.zone_count as usize;
        let balanced = self.config.proxy_count % self.config.zone_count == 0;
        if !known || !balanced || self.config.cross_zone_cost <= 0.0 {
            return BTreeMap::new();
        }
        let zones = f64::from(self.config.zone_count);
        let total_spare: f64 = capacity_shares
            .values()
            .map(|share| (share * zones - 1.0).max(0.0))
            .sum();
        let own = capacity_shares
            .get(&self.config.zone)
            .copied()
            .unwrap_or(0.0)
            * zones;
        let bias = |(zone, share): (ZoneId, f64)| {
            let share = share.max(EPSILON);
            let sent =
                (1.0 - own).max(0.0) * (share * zones - 1.0).max(0.0) / total_spare.max(EPSILON);
            let traffic = if zone == self.config.zone {
                own.min(1.0)
            } else {
                sent
            };
            (zone, traffic / share)
        };
        capacity_shares.into_iter().map(bias).collect()
    }
}
