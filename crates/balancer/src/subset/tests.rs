use super::groups::mix64;
use super::subset_count::{MIN_COUNT_CHANGE_INTERVAL, MIN_SUBSET_SIZE};
use super::*;
use crate::{CellId, Idempotency, KeyScope, MachineTypeId, Micros, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// The largest fleet that the subsets are designed for.
const PROXIES: u32 = 1_100;
const BACKENDS: u64 = 17_000;
const ZONES: u64 = 8;
const NOW: Time = Time(1_000_000_000);

/// The backend with this number. Each cell has four backends. Half of all backends have machine
/// type 0, a third have type 1 and a sixth have type 2.
fn backend(number: u64) -> Endpoint {
    let machine_type = [0, 1, 0, 2, 0, 1][(number / 7 % 6) as usize];
    Endpoint {
        id: BackendId(mix64(number)),
        zone: ZoneId(number / 4 % ZONES),
        cell: CellId(number / 4),
        machine_type: MachineTypeId(machine_type),
        state: BackendState::Ready,
        ..Endpoint::default()
    }
}

fn fleet(count: u64) -> Vec<Endpoint> {
    (0..count).map(backend).collect()
}

fn proxy_config(proxy_count: u32, proxy_index: u32) -> Config {
    Config {
        proxy_count,
        proxy_index,
        zone_count: ZONES as u32,
        ..Config::example()
    }
}

/// Creates a subset and applies a snapshot; returns the subset and the ids of its members.
fn after_snapshot(config: &Config, list: &[Endpoint]) -> (Subset, BTreeSet<BackendId>) {
    let mut subset = Subset::new();
    let applied = subset.apply(NOW, config, EndpointUpdate::Snapshot, list.to_vec());
    (subset, ids(&applied.endpoints))
}

/// Applies a delta with one entry; returns the ids of the members after it.
fn change_one(subset: &mut Subset, config: &Config, entry: Endpoint) -> BTreeSet<BackendId> {
    let applied = subset.apply(NOW, config, EndpointUpdate::Delta, vec![entry]);
    ids(&applied.endpoints)
}

fn removed(number: u64) -> Endpoint {
    Endpoint {
        state: BackendState::Removed,
        ..backend(number)
    }
}

fn ids(members: &[Endpoint]) -> BTreeSet<BackendId> {
    members.iter().map(|endpoint| endpoint.id).collect()
}

fn by_id(list: &[Endpoint]) -> BTreeMap<BackendId, &Endpoint> {
    list.iter()
        .map(|endpoint| (endpoint.id, endpoint))
        .collect()
}

/// The members of each proxy's subset. Proxies of the same round and zone have the same groups,
/// which are built once.
fn members_of_all(
    configs: impl Iterator<Item = Config>,
    list: &[Endpoint],
) -> Vec<BTreeSet<BackendId>> {
    let mut subset_counts: BTreeMap<ZoneId, u32> = BTreeMap::new();
    let mut rounds: BTreeMap<(u32, ZoneId), Subset> = BTreeMap::new();
    let mut members_of_all = Vec::new();
    for config in configs {
        let subset_count = *subset_counts
            .entry(config.zone)
            .or_insert_with(|| after_snapshot(&config, list).0.subset_count.get());
        let round = config.proxy_index / (subset_count * zone_stride(&config));
        let subset = rounds
            .entry((round, config.zone))
            .or_insert_with(|| after_snapshot(&config, list).0);
        members_of_all.push(ids(&subset.members(&config)));
    }
    members_of_all
}

/// The smallest and the largest number of proxies that use a backend.
struct UseRange {
    least: u32,
    most: u32,
}

/// Counts the proxies that use each backend according to their subsets.
fn proxies_per_backend(list: &[Endpoint], subsets: Vec<BTreeSet<BackendId>>) -> UseRange {
    let mut proxies: BTreeMap<BackendId, u32> = BTreeMap::new();
    for endpoint in list {
        proxies.insert(endpoint.id, 0);
    }
    for id in subsets.into_iter().flatten() {
        *proxies.entry(id).or_default() += 1;
    }
    UseRange {
        least: proxies.values().copied().min().unwrap_or(0),
        most: proxies.values().copied().max().unwrap_or(0),
    }
}

#[test]
fn small_fleets_and_few_proxies_use_the_unchanged_list() {
    for (proxies, count) in [
        (1, 200),
        (300, 200),
        (300, 479),
        (1_100, 400),
        (3, 17_000),
        (15, 17_000),
    ] {
        let config = proxy_config(proxies, proxies / 2);
        let mut subset = Subset::new();
        for (update, endpoints) in [
            (EndpointUpdate::Snapshot, fleet(count)),
            (EndpointUpdate::Delta, vec![removed(7)]),
        ] {
            let applied = subset.apply(NOW, &config, update, endpoints.clone());
            let unchanged = SubsetUpdate { update, endpoints };
            assert_eq!(applied, unchanged, "{proxies} proxies, {count} backends");
        }
        assert_eq!(subset.proxies_per_backend(&config), f64::from(proxies));
        let replica = Replica {
            index: u64::from(config.proxy_index),
            count: u64::from(proxies),
        };
        assert_eq!(subset.replica(&config), replica);
    }
}

#[test]
fn the_numbers_of_proxies_that_use_each_backend_differ_by_at_most_one() {
    for (proxies, count) in [
        (PROXIES, BACKENDS),
        (300, 2_000),
        (1_099, 16_321),
        (64, 5_000),
    ] {
        let list = fleet(count);
        let subsets = members_of_all(
            (0..proxies).map(|index| proxy_config(proxies, index)),
            &list,
        );
        let UseRange { least, most } = proxies_per_backend(&list, subsets);
        println!("{proxies} proxies, {count} backends: {least} to {most} proxies use each backend");
        assert!(
            least >= 8 && most - least <= 1,
            "{proxies} proxies, {count} backends: {least} to {most} proxies use each backend"
        );
    }
}

#[test]
fn subsets_are_similar_in_size_zones_and_machine_types() {
    let list = fleet(BACKENDS);
    let endpoints = by_id(&list);
    for index in (0..PROXIES).step_by(37) {
        let config = proxy_config(PROXIES, index);
        let (subset, members) = after_snapshot(&config, &list);
        assert_eq!(subset.proxies_per_backend(&config), 1_100.0 / 64.0);
        let size = members.len() as f64;
        let expected_sizes = MIN_SUBSET_SIZE * 0.9..MIN_SUBSET_SIZE * 2.0;
        assert!(expected_sizes.contains(&size), "{size} members");
        let count_of = |is_counted: &dyn Fn(&Endpoint) -> bool| {
            members
                .iter()
                .filter(|id| is_counted(endpoints[id]))
                .count() as f64
        };
        for (number, fraction) in [(0, 1.0 / 2.0), (1, 1.0 / 3.0), (2, 1.0 / 6.0)] {
            let machine_type = MachineTypeId(number);
            let count = count_of(&|endpoint| endpoint.machine_type == machine_type);
            let expected = fraction * size;
            assert!(
                (count - expected).abs() <= 8.0,
                "type {number}: {count} members, expected {expected}"
            );
        }
        for zone in 0..ZONES {
            let count = count_of(&|endpoint| endpoint.zone == ZoneId(zone));
            assert!(
                (count - size / 8.0).abs() <= 4.0,
                "zone {zone}: {count} members"
            );
        }
    }
}

#[test]
fn a_backend_that_joins_or_leaves_changes_at_most_two_members_of_a_subset() {
    let mut most = 0;
    for index in [0, 1, 63, 64, 517, 1_099] {
        let config = proxy_config(PROXIES, index);
        let (mut subset, mut before) = after_snapshot(&config, &fleet(BACKENDS));
        for step in 0..300 {
            let entry = if step % 2 == 0 {
                removed(mix64(step) % BACKENDS)
            } else {
                backend(BACKENDS + step)
            };
            let after = change_one(&mut subset, &config, entry);
            most = most.max(before.symmetric_difference(&after).count());
            before = after;
        }
    }
    assert!((1..=2).contains(&most), "{most} members changed");
}

#[test]
fn the_subset_depends_only_on_the_list_and_not_on_how_it_arrived() {
    let config = proxy_config(PROXIES, 321);
    let (mut grown, _) = after_snapshot(&config, &fleet(12_000));
    for number in (12_000..BACKENDS).rev() {
        change_one(&mut grown, &config, backend(number));
    }
    assert_ne!(
        grown.subset_count.get(),
        64,
        "the number of subsets is kept at first"
    );
    let later = NOW + MIN_COUNT_CHANGE_INTERVAL;
    let applied = grown.apply(later, &config, EndpointUpdate::Delta, vec![backend(0)]);
    let (_, expected) = after_snapshot(&config, &fleet(BACKENDS));
    assert!(ids(&applied.endpoints) == expected, "the subsets differ");
}

#[test]
fn a_fleet_near_a_limit_does_not_alternate_between_numbers_of_subsets() {
    let config = proxy_config(PROXIES, 5);
    let limit = (MIN_SUBSET_SIZE * 64.0) as u64;
    let (mut subset, _) = after_snapshot(&config, &fleet(limit + 5));
    let mut subset_counts = BTreeSet::new();
    for step in 0..200 {
        let leaves = step / 10 % 2 == 0;
        let entry = if leaves {
            removed(step % 10)
        } else {
            backend(step % 10)
        };
        change_one(&mut subset, &config, entry);
        subset_counts.insert(subset.subset_count.get());
    }
    assert_eq!(
        subset_counts.len(),
        1,
        "numbers of subsets: {subset_counts:?}"
    );
    for number in 0..limit / 2 {
        change_one(&mut subset, &config, removed(number));
    }
    assert_eq!(
        subset.subset_count.get(),
        32,
        "the fleet has lost half of its backends"
    );
}

#[test]
fn subsets_keep_cells_together_when_idempotency_keys_have_cell_scope() {
    let list = fleet(BACKENDS);
    let endpoints = by_id(&list);
    let mut config = proxy_config(PROXIES, 400);
    config.classes[0].idempotency = Idempotency::IdempotencyKey {
        scope: KeyScope::Cell,
        window: Micros(1_000_000),
    };
    let (_, members) = after_snapshot(&config, &list);
    let mut members_by_cell: BTreeMap<CellId, u32> = BTreeMap::new();
    for id in &members {
        *members_by_cell.entry(endpoints[id].cell).or_default() += 1;
    }
    let alone = members_by_cell
        .values()
        .filter(|count| **count == 1)
        .count();
    assert!(
        alone * 10 <= members.len(),
        "{alone} of {} members are the only ones from their cell",
        members.len()
    );
    let configs = (0..PROXIES).map(|proxy_index| Config {
        proxy_index,
        ..config.clone()
    });
    let subsets = members_of_all(configs, &list);
    let UseRange { least, most } = proxies_per_backend(&list, subsets);
    assert!(
        most - least <= 1,
        "{least} to {most} proxies use each backend"
    );
}

/// The assignment of the proxies to zones.
#[derive(Clone, Copy, Debug)]
enum ZoneLayout {
    /// The proxies of a zone have consecutive indexes.
    Consecutive,
    /// The indexes of the proxies of a zone are eight apart.
    Interleaved,
}

impl ZoneLayout {
    fn zone_of(self, proxy_index: u32) -> ZoneId {
        let zone = match self {
            ZoneLayout::Consecutive => proxy_index * 8 / PROXIES,
            ZoneLayout::Interleaved => proxy_index % 8,
        };
        ZoneId(u64::from(zone))
    }
}

/// The members of each proxy's subset that are in the proxy's own zone, where crossing zones has a
/// cost.
fn members_in_own_zone(layout: ZoneLayout, list: &[Endpoint]) -> Vec<BTreeSet<BackendId>> {
    let endpoints = by_id(list);
    let configs = (0..PROXIES).map(|index| Config {
        zone: layout.zone_of(index),
        cross_zone_cost: 0.03,
        ..proxy_config(PROXIES, index)
    });
    let mut subsets = members_of_all(configs, list);
    for (subset, index) in subsets.iter_mut().zip(0..PROXIES) {
        subset.retain(|id| endpoints[id].zone == layout.zone_of(index));
    }
    subsets
}

#[test]
fn each_zone_divides_its_own_backends_when_crossing_zones_has_a_cost() {
    let list = fleet(BACKENDS);
    for layout in [ZoneLayout::Consecutive, ZoneLayout::Interleaved] {
        let subsets = members_in_own_zone(layout, &list);
        let smallest = subsets.iter().map(BTreeSet::len).min().unwrap_or(0);
        assert!(
            smallest as f64 >= MIN_SUBSET_SIZE * 0.9,
            "a zone's subset has only {smallest} members"
        );
        let UseRange { least, most } = proxies_per_backend(&list, subsets);
        println!("{layout:?}: {least} to {most} proxies of its zone use each backend");
        assert!(
            least >= 15 && most <= 19,
            "{layout:?}: {least} to {most} proxies of its zone use each backend"
        );
    }
}
