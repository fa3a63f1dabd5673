//! Tests with a small simulated fleet: its results depend only on its setup, and each check fails
//! if the fault that it has to detect is injected.

use brookstack_fleet_simulator::simulated::results::{Check, FleetResults};
use brookstack_fleet_simulator::simulated::scenario::Scenario;
use brookstack_fleet_simulator::simulated::{self, FaultInjection, Setup};

/// A setup with 30 proxies and 200 backends in the scenario `calm`.
fn calm() -> Setup {
    Setup {
        scenario: Scenario::Calm,
        proxies: 30,
        backends: 200,
        requests_per_second: 30.0,
        skew: 3.0,
        duration_secs: 9.0,
        discovery_call_ms: 200.0,
        replacements_per_second: 1.0,
        rack_size: 4,
        connection_idle_secs: 30.0,
        cross_zone_cost: 0.0,
        seed: 11,
        faults: FaultInjection::default(),
    }
}

fn run(setup: &Setup, threads: usize) -> FleetResults {
    simulated::run(setup, threads)
        .expect("a valid setup")
        .results
}

/// The names of the failed checks.
fn failed_checks(results: &FleetResults) -> Vec<&'static str> {
    results
        .checks
        .iter()
        .filter(|check: &&Check| !check.passed)
        .map(|check| check.name)
        .collect()
}

fn json(results: &FleetResults) -> String {
    serde_json::to_string(results).expect("JSON")
}

#[test]
fn results_depend_on_the_seed_but_not_on_the_number_of_threads() {
    let first = run(&calm(), 1);
    assert!(
        first.requests.served > 5_000 && first.discovery.changes >= 9,
        "too few requests or changes: {first:?}"
    );
    let first = json(&first);
    assert_eq!(first, json(&run(&calm(), 1)), "a second run");
    assert_eq!(first, json(&run(&calm(), 4)), "four threads");
    let other = run(&Setup { seed: 12, ..calm() }, 2);
    assert_ne!(first, json(&other), "another seed");
}

#[test]
fn a_fleet_without_faults_passes_all_checks() {
    let results = run(&calm(), 3);
    assert_eq!(
        failed_checks(&results),
        Vec::<&str>::new(),
        "{:?}",
        results.checks
    );
    assert_eq!(results.checks.len(), 7);
}

#[test]
fn slow_backends_fail_the_check_of_served_requests() {
    let faults = FaultInjection {
        slowdown: 40.0,
        ..FaultInjection::default()
    };
    let results = run(&Setup { faults, ..calm() }, 3);
    assert!(
        failed_checks(&results).contains(&"fraction of requests that were served"),
        "{:?}",
        results.checks
    );
}

#[test]
fn overload_of_warming_backends_fails_the_check_of_slow_start() {
    let faults = FaultInjection {
        overload_tolerance: 0.02,
        ..FaultInjection::default()
    };
    let cold = Setup {
        scenario: Scenario::Cold,
        duration_secs: 14.0,
        requests_per_second: 30.0,
        faults,
        ..calm()
    };
    let results = run(&cold, 3);
    assert_eq!(results.cold_starts.backends, 4);
    let name = "attempts on backends in slow start beyond their bound";
    assert!(
        failed_checks(&results).contains(&name),
        "{:?}",
        results.checks
    );
    let without_fault = run(
        &Setup {
            faults: FaultInjection::default(),
            ..cold
        },
        3,
    );
    assert!(
        !failed_checks(&without_fault).contains(&name),
        "{:?}",
        without_fault.checks
    );
}

#[test]
fn changes_that_never_reach_the_proxies_fail_the_notification_and_late_attempt_checks() {
    // Backends that start to drain in this scenario never return, so attempts on them stay late.
    let faults = FaultInjection {
        watch_updates_suppressed: true,
        ..FaultInjection::default()
    };
    let results = run(
        &Setup {
            scenario: Scenario::Outage,
            duration_secs: 40.0,
            faults,
            ..calm()
        },
        3,
    );
    let failed = failed_checks(&results);
    for name in [
        "notifications later than the deadline of 6 s",
        "attempts on unavailable backends later than 0.5 s after the notification deadline",
    ] {
        assert!(failed.contains(&name), "{name}: {:?}", results.checks);
    }
    assert!(results.discovery.propagation.not_notified > 0);
}

#[test]
fn uneven_load_fails_the_check_of_excess_spread() {
    let faults = FaultInjection {
        hidden_percent: 20,
        ..FaultInjection::default()
    };
    let results = run(
        &Setup {
            duration_secs: 14.0,
            faults,
            ..calm()
        },
        3,
    );
    assert!(
        failed_checks(&results).contains(&"excess spread of load within a machine type"),
        "{:?}",
        results.checks
    );
}
