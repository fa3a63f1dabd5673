//! Tests of the statistics functions, the deployment topology, and the checks that only a faulty
//! proxy fails.

use brookstack_fleet_simulator::simulated::checks::checks;
use brookstack_fleet_simulator::simulated::load::{largest_by_chance, CountRange};
use brookstack_fleet_simulator::simulated::scenario::Scenario;
use brookstack_fleet_simulator::simulated::{self, FaultInjection, Setup};
use brookstack_fleet_simulator::topology::{backend_name, placement, MACHINE_TYPES, ZONES};
use std::collections::BTreeSet;

#[test]
fn the_expected_maximum_load_matches_poisson_tables() {
    // The median of a single Poisson variable of mean 100 is about its mean. The largest of 10,000
    // such variables is about 4 standard deviations above the mean, and a standard deviation is a
    // tenth of the mean.
    assert!((largest_by_chance(100.0, 1) - 1.0).abs() < 0.06);
    assert!(
        (1.36..1.44).contains(&largest_by_chance(100.0, 10_000)),
        "{}",
        largest_by_chance(100.0, 10_000)
    );
    assert_eq!(largest_by_chance(0.0, 10), 0.0);
    assert_eq!(largest_by_chance(10.0, 0), 0.0);
}

#[test]
fn count_range_has_minimum_mean_and_maximum_and_is_zero_without_counts() {
    assert_eq!(
        CountRange::of([].into_iter()),
        CountRange {
            min: 0,
            mean: 0.0,
            max: 0
        }
    );
    assert_eq!(
        CountRange::of([4, 1, 4].into_iter()),
        CountRange {
            min: 1,
            mean: 3.0,
            max: 4
        }
    );
}

#[test]
fn names_are_unique_and_zones_machine_types_and_groups_have_the_target_sizes() {
    let names: BTreeSet<String> = (0..17_000).map(backend_name).collect();
    assert_eq!(names.len(), 17_000);
    for zone in 0..ZONES.len() {
        let in_zone: Vec<_> = (0..17_000)
            .map(placement)
            .filter(|p| p.zone == zone)
            .collect();
        assert_eq!(in_zone.len(), 2_125);
        for (index, machine_type) in MACHINE_TYPES.iter().enumerate() {
            let of_type = in_zone.iter().filter(|p| p.machine_type == index).count();
            let fraction = of_type as f64 / in_zone.len() as f64;
            assert!(
                (fraction * 10.0 - machine_type.count_in_ten as f64).abs() < 0.05,
                "{} in zone {zone}: {fraction}",
                machine_type.name
            );
        }
    }
    let group: Vec<_> = (0..17_000)
        .map(placement)
        .filter(|p| p.group == 5)
        .collect();
    assert_eq!(group.len(), 4);
    assert!(group.iter().all(|p| p.zone == group[0].zone));
}

/// No injected fault makes a correct balancer lose requests or use backends that it knows to be
/// draining. This test therefore alters the results of a run.
#[test]
fn late_attempts_and_miscounted_requests_fail_their_checks() {
    let setup = Setup {
        scenario: Scenario::Calm,
        proxies: 3,
        backends: 16,
        requests_per_second: 20.0,
        skew: 1.0,
        duration_secs: 6.0,
        discovery_call_ms: 10.0,
        replacements_per_second: 0.0,
        rack_size: 1,
        connection_idle_secs: 30.0,
        cross_zone_cost: 0.0,
        seed: 1,
        faults: FaultInjection::default(),
    };
    let mut results = simulated::run(&setup, 1).expect("a valid setup").results;
    let failed = |results: &simulated::results::FleetResults| -> Vec<&'static str> {
        checks(results)
            .iter()
            .filter(|check| !check.passed)
            .map(|check| check.name)
            .collect()
    };
    assert_eq!(failed(&results), Vec::<&str>::new());
    results.late_attempts.after_notification = 1;
    assert_eq!(
        failed(&results),
        ["attempts on unavailable backends later than 0.5 s after notification"]
    );
    results.late_attempts.after_notification = 0;
    results.requests.rejected += 1;
    assert_eq!(failed(&results), ["requests without exactly one outcome"]);
}
