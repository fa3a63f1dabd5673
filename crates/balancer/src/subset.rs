//! Deterministic subsetting: selects the backends of a large endpoint list that this proxy uses.
//!
//! If every proxy of a large fleet used every backend, a proxy would send a request to the same
//! backend only every few minutes. It would have no open connection to most backends, would not
//! know their speed, and would not notice repeated errors. So each proxy uses one subset of the
//! list.
//!
//! Proxies with consecutive indexes form a round. The proxies of a round divide the list among
//! themselves, and each round orders the list differently before the division. So every backend is
//! used by one proxy of each round, except that the last round may be incomplete. Where crossing
//! zones has a cost, a round has as many proxies for each subset as there are zones, and every
//! backend is used by that many. The order is that of a hash of the round and the backend ids, or
//! the cell ids where cells are kept together. When a backend joins or leaves, the bounds of the
//! subsets move by at most one position, and only in the backend's zone and machine type, or in its
//! zone where cells are kept together.
//!
//! - `subset_count` decides how many subsets there are.
//! - `groups` keeps the backends in the order in which they are divided.

mod groups;
mod subset_count;

use crate::{BackendId, BackendState, Config, Endpoint, EndpointUpdate, Time};
use groups::{must_keep_cells_together, Division, EndpointGroups, HashPosition};
use std::collections::BTreeMap;
use subset_count::SubsetCount;

/// An update of the endpoints that this proxy uses.
#[derive(Debug, PartialEq)]
pub(crate) struct SubsetUpdate {
    /// The kind of update: whether `endpoints` is the complete subset or only its changes.
    pub update: EndpointUpdate,
    /// The entries of the update.
    pub endpoints: Vec<Endpoint>,
}

/// This proxy's place among the proxies that use the same backends.
#[derive(Debug, PartialEq)]
pub(crate) struct Replica {
    /// This proxy's index among them, from 0.
    pub index: u64,
    /// The number of these proxies, this proxy included.
    pub count: u64,
}

/// The complete endpoint list and this proxy's subset of it.
///
/// It owns the list and the order in which the list is divided. Every call must pass the same
/// configuration.
pub(crate) struct Subset {
    subset_count: SubsetCount,
    /// The complete list.
    endpoints: BTreeMap<BackendId, Endpoint>,
    /// The backends of the list, in the order of this proxy's round.
    groups: EndpointGroups,
}

impl Subset {
    /// Creates an empty list, which is not divided.
    pub fn new() -> Subset {
        Subset {
            subset_count: SubsetCount::new(),
            endpoints: BTreeMap::new(),
            groups: EndpointGroups::default(),
        }
    }

    /// The average number of proxies that use each of this proxy's backends, this proxy included.
    pub fn proxies_per_backend(&self, config: &Config) -> f64 {
        f64::from(config.proxy_count) / f64::from(self.subset_count.get())
    }

    /// This proxy's place among those that use the same backends.
    pub fn replica(&self, config: &Config) -> Replica {
        let subset_count = self.subset_count.get();
        let index = u64::from(config.proxy_index / subset_count);
        let count = u64::from(config.proxy_count.div_ceil(subset_count));
        Replica { index, count }
    }

    /// Applies an update of the complete list; returns the resulting update of this proxy's subset.
    /// While the list is not divided, that is the same update.
    pub fn apply(
        &mut self,
        now: Time,
        config: &Config,
        update: EndpointUpdate,
        list: Vec<Endpoint>,
    ) -> SubsetUpdate {
        let was_divided = self.is_divided();
        match update {
            EndpointUpdate::Snapshot | EndpointUpdate::Cached => self.replace_list(config, &list),
            EndpointUpdate::Delta
            | EndpointUpdate::WatchFailed
            | EndpointUpdate::SourceChanged
            | EndpointUpdate::AnswerSpoilt { .. }
            | EndpointUpdate::WatchTimedOut => {
                self.change_list(config, &list);
            }
        }
        let backends_to_divide = self.backends_to_divide(config);
        let has_changed = self
            .subset_count
            .update(now, backends_to_divide, config.proxy_count);
        if has_changed {
            self.rebuild_groups(config);
        }
        if !was_divided && !self.is_divided() {
            return SubsetUpdate {
                update,
                endpoints: list,
            };
        }
        // A backend that has left the subset counts as removed. Only a complete list of the subset
        // expresses that.
        let update = if update == EndpointUpdate::Cached {
            EndpointUpdate::Cached
        } else {
            EndpointUpdate::Snapshot
        };
        SubsetUpdate {
            update,
            endpoints: self.members(config),
        }
    }

    /// Whether the list is divided. If not, each proxy uses the complete list.
    fn is_divided(&self) -> bool {
        self.subset_count.get() > 1
    }

    fn replace_list(&mut self, config: &Config, list: &[Endpoint]) {
        self.endpoints.clear();
        for endpoint in list {
            self.endpoints.insert(endpoint.id, endpoint.clone());
        }
        self.rebuild_groups(config);
    }

    fn change_list(&mut self, config: &Config, changed: &[Endpoint]) {
        let division = self.division(config);
        for endpoint in changed {
            if let Some(previous) = self.endpoints.remove(&endpoint.id) {
                self.groups.remove(division, &previous);
            }
            if endpoint.state != BackendState::Removed {
                self.groups.insert(division, endpoint);
                self.endpoints.insert(endpoint.id, endpoint.clone());
            }
        }
    }

    fn rebuild_groups(&mut self, config: &Config) {
        let division = self.division(config);
        self.groups = EndpointGroups::new(division, self.endpoints.values());
    }

    /// The division of the list in this proxy's round.
    fn division(&self, config: &Config) -> Division {
        Division {
            round: config.proxy_index / self.round_size(config),
            keeps_cells_together: must_keep_cells_together(config),
        }
    }

    /// The number of proxies in a round. Where traffic prefers its own zone, a round has
    /// `zone_count` proxies for each subset. The proxies of each zone then use all subsets equally
    /// often, whether their indexes are consecutive or `zone_count` apart.
    fn round_size(&self, config: &Config) -> u32 {
        self.subset_count.get() * zone_stride(config)
    }

    /// The number of backends from which the number of subsets is computed. Where traffic prefers
    /// its own zone, these are the backends of this proxy's zone, unless it has none. Otherwise
    /// these are all backends.
    fn backends_to_divide(&self, config: &Config) -> usize {
        let in_own_zone = self.groups.count_in_zone(config.zone);
        let prefers_own_zone = zone_stride(config) > 1;
        if prefers_own_zone && in_own_zone > 0 {
            return in_own_zone;
        }
        self.endpoints.len()
    }

    /// The endpoints of this proxy's subset.
    fn members(&self, config: &Config) -> Vec<Endpoint> {
        let subset_count = self.subset_count.get() as usize;
        let subset_index = self.subset_index(config);
        let mut members = Vec::new();
        for (key, group) in self.groups.iter() {
            // Without the shift, the subsets with the lowest indexes would get the surplus backends
            // of every group, and the other subsets would get none of the small groups.
            let own_index = (subset_index + key.index_shift(subset_count)) % subset_count;
            for position in part_of_group(group, own_index, subset_count) {
                if let Some(endpoint) = self.endpoints.get(&position.id) {
                    members.push(endpoint.clone());
                }
            }
        }
        members
    }

    /// The index of this proxy's subset in a group whose division is not shifted.
    fn subset_index(&self, config: &Config) -> usize {
        let index_in_round = (config.proxy_index % self.round_size(config)) as usize;
        let stride = zone_stride(config) as usize;
        (index_in_round / stride + index_in_round % stride) % self.subset_count.get() as usize
    }
}

/// The greatest distance between the indexes of successive proxies of one zone: the number of zones
/// if the proxies are assigned to the zones in turn. It is 1 where crossing zones has no cost,
/// since zones are then irrelevant.
fn zone_stride(config: &Config) -> u32 {
    if config.cross_zone_cost > 0.0 {
        config.zone_count
    } else {
        1
    }
}

/// The part of a group that belongs to the subset with index `subset_index`.
fn part_of_group(
    group: &[HashPosition],
    subset_index: usize,
    subset_count: usize,
) -> &[HashPosition] {
    // The first `surplus` subsets have one backend more than the others. When a backend joins or
    // leaves, only one subset changes its size, and the bounds of the others move by at most one
    // position.
    let size = group.len() / subset_count;
    let surplus = group.len() % subset_count;
    let start = subset_index * size + subset_index.min(surplus);
    let own_size = size + usize::from(subset_index < surplus);
    &group[start..start + own_size]
}

#[cfg(test)]
mod tests;
