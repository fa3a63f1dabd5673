//! Simulations of the traffic of all proxies to backends in slow start. The work that all proxies
//! together send to such a backend in any overload window must not exceed the multiple of its
//! current capacity that the settings allow.
//!
//! The results are printed with `--nocapture`.

mod event_queue;
mod report;
mod scenario;
mod simulation;

use report::Report;
use scenario::Scenario;
use simulation::Simulation;

/// The numbers of proxies and the seeds with which each scenario is simulated.
const PROXY_COUNTS_AND_SEEDS: [(u32, u64); 5] = [(3, 1), (20, 1), (30, 1), (30, 2), (300, 1)];

/// Simulates a scenario with several numbers of proxies and seeds, and checks that no backend in
/// slow start is overloaded in any simulation. Returns the reports for seed 1.
fn assert_no_overload(name: &str, scenario: impl Fn() -> Scenario) -> Vec<Report> {
    let mut reports = Vec::new();
    let mut failures = Vec::new();
    for (proxy_count, seed) in PROXY_COUNTS_AND_SEEDS {
        let scenario = Scenario {
            seed,
            proxy_count,
            ..scenario()
        };
        let report = Simulation::run(&scenario);
        println!(
            "{name}: {proxy_count} proxies, seed {seed}: {} of {} backends overloaded, \
             worst overload {:.2}, quota used {:.2}, served in time {:.3}",
            report.overloaded,
            scenario.restarted_backends,
            report.worst_overload,
            report.quota_used,
            report.served_in_time
        );
        if report.overloaded > 0 {
            failures.push(format!("{proxy_count} proxies, seed {seed}: {report:?}"));
        }
        if seed == 1 {
            reports.push(report);
        }
    }
    assert!(
        failures.is_empty(),
        "{name}: backends in slow start were overloaded: {failures:#?}"
    );
    reports
}

/// Checks that backends in slow start do not get too little work either: in each simulation they
/// get at least this fraction of the work that the settings allow.
fn assert_quota_used(reports: &[Report], min_fraction: f64) {
    assert!(
        reports
            .iter()
            .all(|report| report.quota_used >= min_fraction),
        "less than {min_fraction} of the quota used: {reports:#?}"
    );
}

#[test]
fn one_restarted_backend_is_not_overloaded() {
    let reports = assert_no_overload("one restart", Scenario::default);
    assert_quota_used(&reports, 0.1);
    assert!(
        reports.iter().all(|report| report.served_in_time > 0.98),
        "at most 0.98 of the requests were served in time: {reports:#?}"
    );
}

#[test]
fn twelve_backends_that_restart_together_are_not_overloaded() {
    // For example, the backends of a rack.
    let scenario = || Scenario {
        restarted_backends: 12,
        ..Scenario::default()
    };
    let reports = assert_no_overload("twelve restarts", scenario);
    assert_quota_used(&reports, 0.1);
    assert!(
        reports.iter().all(|report| report.served_in_time > 0.97),
        "at most 0.97 of the requests were served in time: {reports:#?}"
    );
}

#[test]
fn many_restarted_backends_are_not_overloaded_by_a_burst() {
    let scenario = || Scenario {
        restarted_backends: 24,
        burst: 2.0,
        ..Scenario::default()
    };
    assert_quota_used(&assert_no_overload("burst", scenario), 0.1);
}

#[test]
fn small_restarted_backends_are_not_overloaded() {
    // Right after its restart, such a backend may be sent only 2 x 0.1 x 8 = 1.6 requests a second
    // by all proxies together.
    let scenario = || Scenario {
        capacity_per_s: 8.0,
        backend_count: 120,
        restarted_backends: 24,
        burst: 1.5,
        ..Scenario::default()
    };
    assert_quota_used(&assert_no_overload("small backends", scenario), 0.2);
}

#[test]
fn heavy_requests_count_by_their_work_against_the_slow_start_quota() {
    // Most slow-start quotas are smaller than the work of a heavy request.
    let scenario = || Scenario {
        restarted_backends: 12,
        heavy_fraction: 0.2,
        burst: 1.5,
        ..Scenario::default()
    };
    assert_quota_used(&assert_no_overload("heavy requests", scenario), 0.1);
}

#[test]
fn proxies_with_unequal_traffic_do_not_overload_backends_in_slow_start() {
    assert_no_overload("unequal traffic", || Scenario {
        restarted_backends: 12,
        busiest_proxy_traffic: 5.0,
        burst: 1.5,
        ..Scenario::default()
    });
}

#[test]
fn proxies_of_the_same_zone_do_not_overload_backends_in_slow_start() {
    // If traffic stays in its zone, a backend receives requests only from the proxies of its own
    // zone, which have greater quotas than the others.
    let scenario = || Scenario {
        restarted_backends: 12,
        zone_count: 3,
        burst: 1.5,
        ..Scenario::default()
    };
    let reports = assert_no_overload("three zones", scenario);
    // 3, 30 and 300 proxies are divisible by three zones, so their traffic prefers its zone. With
    // the same limit for proxies in the backend's zone and in others, 30 proxies served 0.935 of
    // the requests in time.
    assert!(
        reports[2].served_in_time > 0.97,
        "30 proxies served at most 0.97 of the requests in time: {reports:#?}"
    );
}

#[test]
fn proxies_that_restart_during_a_burst_do_not_overload_backends_in_slow_start() {
    assert_no_overload("proxy restart", || Scenario {
        restarted_backends: 12,
        burst: 2.0,
        load: 0.8,
        proxies_restart_after_s: Some(0.0),
        ..Scenario::default()
    });
}

#[test]
fn proxies_that_restart_during_a_slow_start_do_not_overload_backends_in_slow_start() {
    // The work that the old processes have sent still counts in the overload window, but the new
    // processes do not know of it.
    assert_no_overload("proxy restart during slow start", || Scenario {
        restarted_backends: 54,
        load: 0.8,
        burst: 5.0,
        restarted_backend_concurrency: 3.0,
        proxies_restart_after_s: Some(1.0),
        ..Scenario::default()
    });
}

#[test]
fn proxies_that_start_together_with_all_backends_do_not_overload_them() {
    // The proxies know no rate or latency and have sent nothing, all backends are in slow start,
    // and there is a burst. In addition, the backends reject some attempts within 1 ms, and the
    // proxies may retry these immediately.
    let all_restart = || Scenario {
        restarted_backends: 60,
        load: 0.8,
        burst: 5.0,
        proxies_restart_after_s: Some(0.0),
        restarted_backend_concurrency: 3.0,
        ..Scenario::default()
    };
    assert_no_overload("start of all proxies and backends", all_restart);
    assert_no_overload(
        "start of all proxies and backends, all attempts rejected",
        || Scenario {
            backend_count: 20,
            restarted_backends: 20,
            restarted_backend_concurrency: 0.0,
            ..all_restart()
        },
    );
}

#[test]
fn retries_count_against_the_slow_start_quota() {
    let most_are_faulty = || Scenario {
        restarted_backends: 6,
        faulty_backends: 45,
        ..Scenario::default()
    };
    assert_no_overload("retries", most_are_faulty);
    assert_no_overload("retries, all other backends faulty", || Scenario {
        backend_count: 20,
        restarted_backends: 3,
        faulty_backends: 17,
        load: 0.8,
        burst: 3.0,
        restarted_backend_concurrency: 2.0,
        ..Scenario::default()
    });
}

#[test]
fn the_removal_of_most_other_backends_does_not_overload_backends_in_slow_start() {
    let most_are_removed = || Scenario {
        restarted_backends: 20,
        removed_backends: 36,
        ..Scenario::default()
    };
    assert_no_overload("removal", most_are_removed);
    assert_no_overload("removal of all other backends", || Scenario {
        backend_count: 20,
        restarted_backends: 3,
        removed_backends: 17,
        load: 0.8,
        restarted_backend_concurrency: 2.0,
        ..Scenario::default()
    });
}

#[test]
fn few_backends_behind_many_proxies_are_not_overloaded() {
    let few = || Scenario {
        backend_count: 12,
        load: 0.8,
        burst: 3.0,
        ..Scenario::default()
    };
    let proxies_restart = || Scenario {
        restarted_backends: 10,
        proxies_restart_after_s: Some(0.0),
        ..few()
    };
    assert_no_overload("few backends", proxies_restart);
    assert_no_overload("few backends that reject attempts", || Scenario {
        restarted_backends: 6,
        restarted_backend_concurrency: 3.0,
        ..few()
    });
}
