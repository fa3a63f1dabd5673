use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// The largest fleet that the subsets are designed for.
const PROXIES: u32 = 1_100;
const BACKENDS: u64 = 17_000;
const ZONES: u64 = 8;
const NOW: Time = Time(1_000_000_000);

/// Backend number `n`: cells have four backends, and kinds a half, a third and a sixth of all
/// backends.
fn backend(n: u64) -> Endpoint {
    let kind = [0, 1, 0, 2, 0, 1][(n / 7 % 6) as usize];
    Endpoint {
        id: BackendId(mix(n)),
        zone: ZoneId(n / 4 % ZONES),
        cell: CellId(n / 4),
        machine_type: MachineTypeId(kind),
        state: BackendState::Ready,
        ..Endpoint::default()
    }
}

fn fleet(count: u64) -> Vec<Endpoint> {
    (0..count).map(backend).collect()
}

fn config(proxy_count: u32, proxy_index: u32) -> Config {
    Config {
        proxy_count,
        proxy_index,
        zone_count: ZONES as u32,
        ..Config::example()
    }
}

/// A subset after its first snapshot, and the ids of its members.
fn after_snapshot(cfg: &Config, list: &[Endpoint]) -> (Subset, BTreeSet<BackendId>) {
    let mut subset = Subset::new();
    let members = subset
        .apply(NOW, cfg, EndpointUpdate::Snapshot, list.to_vec())
        .endpoints;
    (subset, ids(&members))
}

/// Applies a change of one entry; returns the ids of the members after it.
fn change_one(subset: &mut Subset, cfg: &Config, entry: Endpoint) -> BTreeSet<BackendId> {
    ids(&subset
        .apply(NOW, cfg, EndpointUpdate::Delta, vec![entry])
        .endpoints)
}

fn removed(n: u64) -> Endpoint {
    Endpoint {
        state: BackendState::Removed,
        ..backend(n)
    }
}

fn ids(members: &[Endpoint]) -> BTreeSet<BackendId> {
    members.iter().map(|b| b.id).collect()
}

/// The members of each proxy's subset. Proxies of one round and zone share their groups, which are
/// built once.
fn members_of_all(
    configs: impl Iterator<Item = Config>,
    list: &[Endpoint],
) -> Vec<BTreeSet<BackendId>> {
    let mut subset_counts: BTreeMap<ZoneId, u32> = BTreeMap::new();
    let mut rounds: BTreeMap<(u32, ZoneId), Subset> = BTreeMap::new();
    let members = |cfg: Config| {
        let new_count = || after_snapshot(&cfg, list).0.subset_count;
        let subset_count = *subset_counts.entry(cfg.zone).or_insert_with(new_count);
        let round = cfg.proxy_index / (subset_count * zone_stride(&cfg));
        let subset = rounds
            .entry((round, cfg.zone))
            .or_insert_with(|| after_snapshot(&cfg, list).0);
        ids(&subset.members(&cfg))
    };
    configs.map(members).collect()
}

/// How many proxies use each backend.
fn proxies_per_backend(
    list: &[Endpoint],
    subsets: impl Iterator<Item = BTreeSet<BackendId>>,
) -> BTreeMap<BackendId, u32> {
    let mut used: BTreeMap<BackendId, u32> = list.iter().map(|b| (b.id, 0)).collect();
    subsets
        .flatten()
        .for_each(|id| *used.entry(id).or_default() += 1);
    used
}

/// The smallest and the largest number of proxies for a backend.
fn range(used: &BTreeMap<BackendId, u32>) -> (u32, u32) {
    (
        used.values().copied().min().unwrap_or(0),
        used.values().copied().max().unwrap_or(0),
    )
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
        let cfg = config(proxies, proxies / 2);
        let mut subset = Subset::new();
        for (update, endpoints) in [
            (EndpointUpdate::Snapshot, fleet(count)),
            (EndpointUpdate::Delta, vec![removed(7)]),
        ] {
            let applied = subset.apply(NOW, &cfg, update, endpoints.clone());
            let unchanged = SubsetUpdate { update, endpoints };
            assert_eq!(applied, unchanged, "{proxies} proxies, {count} backends");
        }
        assert_eq!(subset.proxies_per_backend(&cfg), f64::from(proxies));
        let replica = Replica {
            index: u64::from(cfg.proxy_index),
            count: u64::from(proxies),
        };
        assert_eq!(subset.replica(&cfg), replica);
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
        let subsets = members_of_all((0..proxies).map(|index| config(proxies, index)), &list);
        let (least, most) = range(&proxies_per_backend(&list, subsets.into_iter()));
        println!("{proxies} proxies, {count} backends: each is used by {least} to {most}");
        assert!(
            least >= 8 && most - least <= 1,
            "{proxies} proxies, {count} backends: {least} to {most}"
        );
    }
}

#[test]
fn subsets_are_similar_in_size_zones_and_kinds() {
    let list = fleet(BACKENDS);
    let entries: BTreeMap<BackendId, &Endpoint> = list.iter().map(|b| (b.id, b)).collect();
    for index in (0..PROXIES).step_by(37) {
        let cfg = config(PROXIES, index);
        let (subset, members) = after_snapshot(&cfg, &list);
        let size = members.len() as f64;
        assert!(
            (MIN_SUBSET_SIZE * 0.9..MIN_SUBSET_SIZE * 2.0).contains(&size),
            "{size} members"
        );
        assert_eq!(subset.proxies_per_backend(&cfg), 1_100.0 / 64.0);
        for (kind, fraction) in [(0, 1.0 / 2.0), (1, 1.0 / 3.0), (2, 1.0 / 6.0)] {
            let own = members
                .iter()
                .filter(|id| entries[id].machine_type == MachineTypeId(kind))
                .count() as f64;
            let expected = fraction * size;
            assert!(
                (own - expected).abs() <= 8.0,
                "kind {kind}: {own}, expected {expected}"
            );
        }
        for zone in 0..ZONES {
            let own = members
                .iter()
                .filter(|id| entries[id].zone == ZoneId(zone))
                .count() as f64;
            assert!((own - size / 8.0).abs() <= 4.0, "zone {zone}: {own}");
        }
    }
}

#[test]
fn a_backend_that_joins_or_leaves_changes_at_most_two_members_of_a_subset() {
    let mut most = 0;
    for index in [0, 1, 63, 64, 517, 1_099] {
        let cfg = config(PROXIES, index);
        let (mut subset, mut before) = after_snapshot(&cfg, &fleet(BACKENDS));
        for step in 0..300 {
            let entry = if step % 2 == 0 {
                removed(mix(step) % BACKENDS)
            } else {
                backend(BACKENDS + step)
            };
            let after = change_one(&mut subset, &cfg, entry);
            most = most.max(before.symmetric_difference(&after).count());
            before = after;
        }
    }
    assert!((1..=2).contains(&most), "{most} members changed");
}

#[test]
fn the_subset_depends_only_on_the_list_and_not_on_how_it_arrived() {
    let cfg = config(PROXIES, 321);
    let (mut grown, _) = after_snapshot(&cfg, &fleet(12_000));
    for n in (12_000..BACKENDS).rev() {
        change_one(&mut grown, &cfg, backend(n));
    }
    assert_ne!(
        grown.subset_count, 64,
        "the number of subsets stays for a while"
    );
    let later = NOW + MIN_RESHARD_INTERVAL;
    let members = grown
        .apply(later, &cfg, EndpointUpdate::Delta, vec![backend(0)])
        .endpoints;
    assert!(
        ids(&members) == after_snapshot(&cfg, &fleet(BACKENDS)).1,
        "another subset"
    );
}

#[test]
fn a_fleet_near_a_limit_does_not_alternate_between_numbers_of_subsets() {
    let cfg = config(PROXIES, 5);
    let limit = (MIN_SUBSET_SIZE * 64.0) as u64;
    let (mut subset, _) = after_snapshot(&cfg, &fleet(limit + 5));
    let mut subset_counts = BTreeSet::new();
    for step in 0..200 {
        let leaves = step / 10 % 2 == 0;
        change_one(
            &mut subset,
            &cfg,
            if leaves {
                removed(step % 10)
            } else {
                backend(step % 10)
            },
        );
        subset_counts.insert(subset.subset_count);
    }
    assert_eq!(subset_counts.len(), 1, "{subset_counts:?}");
    for n in 0..limit / 2 {
        change_one(&mut subset, &cfg, removed(n));
    }
    assert_eq!(
        subset.subset_count, 32,
        "the fleet has lost half of its backends"
    );
}

#[test]
fn subsets_keep_cells_together_when_idempotency_keys_have_cell_scope() {
    let list = fleet(BACKENDS);
    let entries: BTreeMap<BackendId, &Endpoint> = list.iter().map(|b| (b.id, b)).collect();
    let mut cfg = config(PROXIES, 400);
    cfg.classes[0].idempotency = Idempotency::IdempotencyKey {
        scope: KeyScope::Cell,
        window: Micros(1_000_000),
    };
    let (_, members) = after_snapshot(&cfg, &list);
    let mut cells: BTreeMap<CellId, u32> = BTreeMap::new();
    members
        .iter()
        .for_each(|id| *cells.entry(entries[id].cell).or_default() += 1);
    let alone = cells.values().filter(|n| **n == 1).count();
    assert!(
        alone * 10 <= members.len(),
        "{alone} of {} are alone from their cell",
        members.len()
    );
    let configs = (0..PROXIES).map(|proxy_index| Config {
        proxy_index,
        ..cfg.clone()
    });
    let subsets = members_of_all(configs, &list);
    let (least, most) = range(&proxies_per_backend(&list, subsets.into_iter()));
    assert!(most - least <= 1, "{least} to {most}");
}

#[test]
fn each_zone_divides_its_own_backends_when_crossing_zones_has_a_cost() {
    let list = fleet(BACKENDS);
    // The proxies of a zone have consecutive indexes, or every eighth proxy is in it.
    for interleaved in [false, true] {
        let zone_of = |index: u32| {
            ZoneId(u64::from(if interleaved {
                index % 8
            } else {
                index * 8 / PROXIES
            }))
        };
        let zonal_config = |index: u32| Config {
            zone: zone_of(index),
            cross_zone_cost: 0.03,
            ..config(PROXIES, index)
        };
        let in_own_zone = |(members, index): (BTreeSet<BackendId>, u32)| {
            let own = list
                .iter()
                .filter(|b| b.zone == zone_of(index) && members.contains(&b.id));
            own.map(|b| b.id).collect()
        };
        let all_members = members_of_all((0..PROXIES).map(zonal_config), &list);
        let subsets: Vec<BTreeSet<BackendId>> = all_members
            .into_iter()
            .zip(0..PROXIES)
            .map(in_own_zone)
            .collect();
        let smallest = subsets.iter().map(BTreeSet::len).min().unwrap_or(0);
        assert!(
            smallest as f64 >= MIN_SUBSET_SIZE * 0.9,
            "a zone's subset has only {smallest} members"
        );
        let (least, most) = range(&proxies_per_backend(&list, subsets.into_iter()));
        println!("interleaved: {interleaved}, each is used by {least} to {most} of its zone");
        assert!(
            least >= 15 && most <= 19,
            "interleaved: {interleaved}, {least} to {most}"
        );
    }
}
