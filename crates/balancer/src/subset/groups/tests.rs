use super::*;
use crate::CellId;

const BY_BACKEND: Division = Division {
    round: 3,
    keeps_cells_together: false,
};
const BY_CELL: Division = Division {
    round: 3,
    keeps_cells_together: true,
};

/// The backend with this number. The backends are in two zones and have three machine types; each
/// cell has four backends.
fn endpoint(number: u64) -> Endpoint {
    Endpoint {
        id: BackendId(number),
        zone: ZoneId(number % 2),
        cell: CellId(number / 4),
        machine_type: MachineTypeId(number % 3),
        ..Endpoint::default()
    }
}

fn endpoints(count: u64) -> Vec<Endpoint> {
    (0..count).map(endpoint).collect()
}

#[test]
fn positions_are_ordered_by_hash_and_then_by_id() {
    let position = |hash, id| HashPosition {
        hash,
        id: BackendId(id),
    };
    let mut positions = [position(2, 1), position(1, 9), position(1, 8)];
    positions.sort_unstable();
    assert_eq!(positions, [position(1, 8), position(1, 9), position(2, 1)]);
}

#[test]
fn groups_are_ordered_by_zone_and_then_by_machine_type() {
    let groups = EndpointGroups::new(BY_BACKEND, endpoints(60).iter());
    let mut keys = Vec::new();
    for (key, group) in groups.iter() {
        assert_eq!(group.len(), 10);
        assert!(group.is_sorted());
        keys.push((key.zone.0, key.machine_type.0));
    }
    assert_eq!(keys, [(0, 0), (0, 1), (0, 2), (1, 0), (1, 1), (1, 2)]);
}

#[test]
fn inserting_and_removing_endpoints_gives_the_same_groups_as_rebuilding_them() {
    for division in [BY_BACKEND, BY_CELL] {
        let mut groups = EndpointGroups::new(division, endpoints(40).iter());
        for number in (40..60).rev() {
            groups.insert(division, &endpoint(number));
        }
        let left: Vec<Endpoint> = endpoints(60).split_off(10);
        for number in 0..10 {
            groups.remove(division, &endpoint(number));
        }
        let expected = EndpointGroups::new(division, left.iter());
        assert_eq!(groups.groups, expected.groups);
    }
}

#[test]
fn the_backends_of_a_cell_and_zone_are_adjacent_if_cells_are_kept_together() {
    let groups = EndpointGroups::new(BY_CELL, endpoints(64).iter());
    assert!(groups.iter().count() > 1);
    for (key, group) in groups.iter() {
        assert_eq!(key.machine_type, MachineTypeId::default());
        for pair in group.chunks(2) {
            assert_eq!(pair[0].id.0 / 4, pair[1].id.0 / 4);
        }
    }
}

#[test]
fn each_round_sorts_the_backends_differently() {
    let next_round = Division {
        round: 4,
        ..BY_BACKEND
    };
    let groups = EndpointGroups::new(BY_BACKEND, endpoints(60).iter());
    let next_groups = EndpointGroups::new(next_round, endpoints(60).iter());
    let ids = |groups: &EndpointGroups| -> Vec<BackendId> {
        groups
            .iter()
            .flat_map(|(_, group)| group)
            .map(|position| position.id)
            .collect()
    };
    assert_ne!(ids(&groups), ids(&next_groups));
}

#[test]
fn backends_are_counted_by_zone() {
    let groups = EndpointGroups::new(BY_BACKEND, endpoints(61).iter());
    assert_eq!(groups.count_in_zone(ZoneId(0)), 31);
    assert_eq!(groups.count_in_zone(ZoneId(1)), 30);
    assert_eq!(groups.count_in_zone(ZoneId(2)), 0);
}
