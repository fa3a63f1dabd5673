//! Deterministic subsetting: which backends of a large endpoint list this proxy uses.
//!
//! If all proxies of a large fleet used all backends, each would meet a backend every few minutes:
//! without an open connection, a known speed or repeated errors to notice. So each proxy uses one
//! subset of the list.
//!
//! Proxies with consecutive indexes form a round: each uses another subset of one division of the
//! list, and the next round divides the list anew. So every backend is used by one proxy of each
//! round, except perhaps the last, incomplete one. A division follows a hash of the backend ids: a
//! backend that joins or leaves moves the bounds of the subsets by at most one position, and only
//! in its own zone and kind.

use crate::*;
use std::collections::BTreeMap;

/// Fewest backends in a subset: at about ten requests a second a proxy meets each every half
/// minute, enough remain without a rack or a tenth that fails, and all zones and kinds of a large
/// fleet are in it.
const MIN_SUBSET_SIZE: f64 = 240.0;
/// Fewest proxies for each backend: with fewer, the differences of their traffic would show in its
/// load.
const MIN_PROXIES_PER_BACKEND: u32 = 8;
/// The number of subsets stays for this time while their size is within [`SIZE_TOLERANCE`]: a fleet
/// near a limit would otherwise alternate between two numbers and replace all connections each
/// time. A longer time would let proxies that started at different times use different numbers for
/// longer.
const MIN_RESHARD_INTERVAL: Micros = Micros(300_000_000);
/// Factor by which the size of the subsets may leave its range during that time.
const SIZE_TOLERANCE: f64 = 1.25;

/// An update of the endpoints that this proxy uses, of the given kind.
#[derive(Debug, PartialEq)]
pub(crate) struct SubsetUpdate {
    pub update: EndpointUpdate,
    pub endpoints: Vec<Endpoint>,
}

/// This proxy's place among the proxies that use the same backends.
#[derive(Debug, PartialEq)]
pub(crate) struct Replica {
    pub index: u64,
    pub count: u64,
}

/// Backends that are divided together: each subset gets its part of every zone and kind. Where
/// cells have to stay together, the kind is the default one for all.
type GroupKey = (ZoneId, MachineTypeId);

/// A backend's position in its group: by hash, then by id.
type RingPosition = (u64, BackendId);

/// The endpoint list and this proxy's subset of it.
pub(crate) struct Subset {
    /// Number of subsets that the list is divided into; 1 while it is small.
    subset_count: u32,
    /// When that number last changed.
    resharded_at: Time,
    /// The complete list.
    endpoints: BTreeMap<BackendId, Endpoint>,
    /// The backends of each group, sorted.
    groups: BTreeMap<GroupKey, Vec<RingPosition>>,
}

impl Subset {
    pub fn new() -> Subset {
        Subset {
            subset_count: 1,
            resharded_at: Time(0),
            endpoints: BTreeMap::new(),
            groups: BTreeMap::new(),
        }
    }

    /// How many proxies use each of this proxy's backends on average, this proxy included.
    pub fn proxies_per_backend(&self, cfg: &Config) -> f64 {
        f64::from(cfg.proxy_count) / f64::from(self.subset_count)
    }

    /// This proxy's place among those that use the same backends.
    pub fn replica(&self, cfg: &Config) -> Replica {
        let index = u64::from(cfg.proxy_index / self.subset_count);
        let count = u64::from(cfg.proxy_count.div_ceil(self.subset_count));
        Replica { index, count }
    }

    /// Applies an update of the complete list; returns the resulting update of this proxy's subset.
    pub fn apply(
        &mut self,
        now: Time,
        cfg: &Config,
        update: EndpointUpdate,
        list: Vec<Endpoint>,
    ) -> SubsetUpdate {
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            self.endpoints = list.iter().map(|entry| (entry.id, entry.clone())).collect();
            self.rebuild_groups(cfg);
        } else {
            list.iter().for_each(|entry| self.apply_change(cfg, entry));
        }
        let count_before = self.subset_count;
        self.subset_count = self.best_subset_count(now, cfg);
        if self.subset_count != count_before {
            self.resharded_at = now;
            self.rebuild_groups(cfg);
        }
        if self.subset_count == 1 && count_before == 1 {
            return SubsetUpdate {
                update,
                endpoints: list,
            };
        }
        // A backend that is no longer in the subset counts as removed: only a complete list
        // expresses that.
        let update = if update == EndpointUpdate::Cached {
            update
        } else {
            EndpointUpdate::Snapshot
        };
        SubsetUpdate {
            update,
            endpoints: self.members(cfg),
        }
    }

    fn apply_change(&mut self, cfg: &Config, entry: &Endpoint) {
        if let Some(old) = self.endpoints.remove(&entry.id) {
            let position = self.ring_position(cfg, &old);
            if let Some(group) = self.groups.get_mut(&group_key(cfg, &old)) {
                group.retain(|other| *other != position);
            }
        }
        if entry.state != BackendState::Removed {
            let position = self.ring_position(cfg, entry);
            let group = self.groups.entry(group_key(cfg, entry)).or_default();
            group.insert(group.partition_point(|other| *other < position), position);
            self.endpoints.insert(entry.id, entry.clone());
        }
    }

    fn rebuild_groups(&mut self, cfg: &Config) {
        let mut groups: BTreeMap<GroupKey, Vec<RingPosition>> = BTreeMap::new();
        for entry in self.endpoints.values() {
            groups
                .entry(group_key(cfg, entry))
                .or_default()
                .push(self.ring_position(cfg, entry));
        }
        groups.values_mut().for_each(|group| group.sort_unstable());
        self.groups = groups;
    }

    /// A backend's position in the division of this proxy's round.
    fn ring_position(&self, cfg: &Config, entry: &Endpoint) -> RingPosition {
        let unit = if keeps_cells_together(cfg) {
            entry.cell.0
        } else {
            entry.id.0
        };
        let round = cfg.proxy_index / self.round_size(cfg);
        (mix(unit ^ mix(u64::from(round))), entry.id)
    }

    /// Number of proxies in a round. Where traffic prefers its own zone, those of each zone use
    /// each subset once in a round, whether their indexes are consecutive or `zone_count` apart.
    fn round_size(&self, cfg: &Config) -> u32 {
        self.subset_count * zone_stride(cfg)
    }

    /// The number of subsets for the current list: a power of two, the same for all proxies.
    fn best_subset_count(&self, now: Time, cfg: &Config) -> u32 {
        // Where traffic prefers its own zone, a proxy uses the backends of that zone.
        let in_own_zone = self
            .groups
            .iter()
            .filter(|((zone, _), _)| *zone == cfg.zone);
        let own_count = in_own_zone.map(|(_, group)| group.len()).sum();
        let prefers_own = zone_stride(cfg) > 1 && own_count > 0;
        let backend_count = if prefers_own {
            own_count
        } else {
            self.endpoints.len()
        } as f64;

        let tolerated = MIN_SUBSET_SIZE / SIZE_TOLERANCE..MIN_SUBSET_SIZE * 2.0 * SIZE_TOLERANCE;
        let is_tolerated = tolerated.contains(&(backend_count / f64::from(self.subset_count)));
        if self.subset_count > 1 && is_tolerated && now - self.resharded_at < MIN_RESHARD_INTERVAL {
            return self.subset_count;
        }
        let has_proxies = |count: u32| count * MIN_PROXIES_PER_BACKEND <= cfg.proxy_count;
        let has_backends = |count: u32| backend_count / f64::from(count) >= MIN_SUBSET_SIZE;
        let mut subset_count = 1;
        while has_proxies(subset_count * 2) && has_backends(subset_count * 2) {
            subset_count *= 2;
        }
        subset_count
    }

    /// The endpoints of this proxy's subset.
    fn members(&self, cfg: &Config) -> Vec<Endpoint> {
        let subset_count = self.subset_count as usize;
        let index_in_round = (cfg.proxy_index % self.round_size(cfg)) as usize;
        let stride = zone_stride(cfg) as usize;
        let subset_index = index_in_round / stride + index_in_round % stride;
        let mut members = Vec::new();
        for ((zone, kind), group) in &self.groups {
            // Shifted by group: otherwise all small groups would be missing from the same subsets.
            let shift = mix(zone.0 ^ mix(kind.0)) as usize % subset_count;
            let own = (subset_index + shift) % subset_count;
            // The first subsets have one backend more. When a backend leaves, one of them loses its
            // surplus, and no other subset changes at both of its bounds.
            let size = group.len() / subset_count;
            let surplus = group.len() % subset_count;
            let start = |index: usize| index * size + index.min(surplus);
            let own_ids = group[start(own)..start(own + 1)].iter().map(|(_, id)| id);
            members.extend(own_ids.filter_map(|id| self.endpoints.get(id)).cloned());
        }
        members
    }
}

/// How far apart the indexes of one zone's proxies may be: zones matter only if crossing them has a
/// cost.
fn zone_stride(cfg: &Config) -> u32 {
    if cfg.cross_zone_cost > 0.0 {
        cfg.zone_count
    } else {
        1
    }
}

/// Whether cells have to stay together: requests of some class may be repeated only inside a cell.
fn keeps_cells_together(cfg: &Config) -> bool {
    cfg.classes
        .iter()
        .any(|class| class.idempotency.key_scope() == Some(KeyScope::Cell))
}

fn group_key(cfg: &Config, entry: &Endpoint) -> GroupKey {
    (
        entry.zone,
        if keeps_cells_together(cfg) {
            MachineTypeId::default()
        } else {
            entry.machine_type
        },
    )
}

/// Spreads the bits of a number over all of it (the finalizer of `SplitMix64`).
fn mix(number: u64) -> u64 {
    let a = (number ^ (number >> 30))
        .wrapping_add(0x9e37_79b9_7f4a_7c15)
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let b = (a ^ (a >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    b ^ (b >> 31)
}

#[cfg(test)]
mod tests;
