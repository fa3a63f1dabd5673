//! The backends of the endpoint list, grouped and sorted in the order in which they are divided
//! into subsets.

use crate::{BackendId, Config, Endpoint, KeyScope, MachineTypeId, ZoneId};
use std::collections::BTreeMap;

/// Constants of the 64-bit finalizer of `SplitMix64` (Steele, Lea, Flood: "Fast Splittable
/// Pseudorandom Number Generators", 2014).
const SPLIT_MIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
const SPLIT_MIX_FIRST_FACTOR: u64 = 0xbf58_476d_1ce4_e5b9;
const SPLIT_MIX_SECOND_FACTOR: u64 = 0x94d0_49bb_1331_11eb;

/// Identifies a group of backends that are divided together. Each subset gets a part of every
/// group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GroupKey {
    zone: ZoneId,
    /// The machine type of the backends. Where cells are kept together, it is the default machine
    /// type for all backends, so that a cell is not split between groups.
    machine_type: MachineTypeId,
}

impl GroupKey {
    /// The number of subsets by which the division of this group is shifted.
    pub fn index_shift(self, subset_count: usize) -> usize {
        let hash = mix64(self.zone.0 ^ mix64(self.machine_type.0));
        hash as usize % subset_count
    }
}

/// A backend's position in its group. The derived order compares the fields in their order here, so
/// positions are sorted by hash, then by id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HashPosition {
    hash: u64,
    pub id: BackendId,
}

/// The way in which the proxies of one round divide the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(super) struct Division {
    /// Index of the round. Each round sorts the backends differently.
    pub round: u32,
    /// Whether the backends of a cell have adjacent positions.
    pub keeps_cells_together: bool,
}

impl Division {
    fn group_key(self, endpoint: &Endpoint) -> GroupKey {
        let machine_type = if self.keeps_cells_together {
            MachineTypeId::default()
        } else {
            endpoint.machine_type
        };
        GroupKey {
            zone: endpoint.zone,
            machine_type,
        }
    }

    fn hash_position(self, endpoint: &Endpoint) -> HashPosition {
        let hashed_id = if self.keeps_cells_together {
            endpoint.cell.0
        } else {
            endpoint.id.0
        };
        HashPosition {
            hash: mix64(hashed_id ^ mix64(u64::from(self.round))),
            id: endpoint.id,
        }
    }
}

/// Whether the backends of a cell must be kept together. This is so if the requests of some class
/// may be repeated only inside a cell: a proxy then needs several backends of each cell that it
/// uses.
pub(super) fn must_keep_cells_together(config: &Config) -> bool {
    config
        .classes
        .iter()
        .any(|class| class.idempotency.key_scope() == Some(KeyScope::Cell))
}

/// The groups of all backends.
///
/// It owns the positions of the backends, sorted in each group. Every call must pass the division
/// with which the groups were built.
#[derive(Default)]
pub(super) struct EndpointGroups {
    groups: BTreeMap<GroupKey, Vec<HashPosition>>,
}

impl EndpointGroups {
    /// Divides the endpoints into groups and sorts each group.
    pub fn new<'a>(
        division: Division,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) -> EndpointGroups {
        let mut groups: BTreeMap<GroupKey, Vec<HashPosition>> = BTreeMap::new();
        for endpoint in endpoints {
            let group = groups.entry(division.group_key(endpoint)).or_default();
            group.push(division.hash_position(endpoint));
        }
        for group in groups.values_mut() {
            group.sort_unstable();
        }
        EndpointGroups { groups }
    }

    /// Adds an endpoint, which must not be in its group yet.
    pub fn insert(&mut self, division: Division, endpoint: &Endpoint) {
        let position = division.hash_position(endpoint);
        let group = self.groups.entry(division.group_key(endpoint)).or_default();
        let index = group.partition_point(|other| *other < position);
        group.insert(index, position);
    }

    /// Removes an endpoint from its group.
    pub fn remove(&mut self, division: Division, endpoint: &Endpoint) {
        let position = division.hash_position(endpoint);
        if let Some(group) = self.groups.get_mut(&division.group_key(endpoint)) {
            group.retain(|other| *other != position);
        }
    }

    /// The number of backends in a zone.
    pub fn count_in_zone(&self, zone: ZoneId) -> usize {
        self.groups
            .iter()
            .filter(|(key, _)| key.zone == zone)
            .map(|(_, group)| group.len())
            .sum()
    }

    /// All groups with the positions of their backends, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&GroupKey, &Vec<HashPosition>)> {
        self.groups.iter()
    }
}

/// Hashes a 64-bit number so that each input bit affects all output bits, by a variant of the
/// finalizer of `SplitMix64`.
pub(super) fn mix64(number: u64) -> u64 {
    let first = (number ^ (number >> 30))
        .wrapping_add(SPLIT_MIX_INCREMENT)
        .wrapping_mul(SPLIT_MIX_FIRST_FACTOR);
    let second = (first ^ (first >> 27)).wrapping_mul(SPLIT_MIX_SECOND_FACTOR);
    second ^ (second >> 31)
}

#[cfg(test)]
mod tests;
