//! What proxies that share nothing do together to the one discovery service: how long it takes
//! until all of them have been notified of a change, and what those do that could not be notified
//! in time.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod outage;
mod service;

use brookstack_balancer::Micros;
use common::builders::{backends_across_zones, seconds};
use fleet::Fleet;
use outage::{OutageScenario, NOTIFICATION_DEADLINE};

/// A number of proxies and a service that needs so many microseconds for a call.
struct Case {
    proxy_count: u32,
    call_duration: Micros,
}

impl Case {
    const fn new(proxy_count: u32, call_us: u64) -> Case {
        Case {
            proxy_count,
            call_duration: Micros(call_us),
        }
    }
}

impl std::fmt::Display for Case {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} proxies, {} us a call",
            self.proxy_count, self.call_duration.0
        )
    }
}

/// Services that can handle the calls of all proxies within the notification deadline.
const FAST_SERVICES: [Case; 4] = [
    Case::new(3, 30_000),
    Case::new(30, 30_000),
    Case::new(300, 13_000),
    Case::new(1_100, 4_000),
];

/// Checks that the last proxy was notified before the deadline; `delays_s` are in ascending order.
fn assert_all_notified_in_time(case: &Case, delays_s: &[f64]) {
    let last = delays_s[delays_s.len() - 1];
    println!("{case}: the last is notified after {last:.2} s");
    assert!(last <= NOTIFICATION_DEADLINE.secs(), "{case}: {last} s");
}

#[test]
fn after_an_outage_all_proxies_are_notified_within_six_seconds_if_the_service_is_fast_enough() {
    // Refused calls were repeated after up to 9 s x 1.5 with three hundred proxies, calls that had
    // waited in the queue after up to 21 s x 1.5.
    for case in FAST_SERVICES {
        let scenario = OutageScenario {
            proxy_count: case.proxy_count,
            call_duration: case.call_duration,
            backend_count: 60,
            rate_per_s: 0.0,
            accepted_in_drain: Micros(0),
            observed_s: 6.0,
        };
        assert_all_notified_in_time(&case, &scenario.run().delays_s);
    }
}

#[test]
fn after_a_broken_watch_all_proxies_are_notified_within_six_seconds_of_what_they_missed() {
    for case in FAST_SERVICES {
        let mut fleet = Fleet::with_sixty_backends(case.proxy_count, case.call_duration);
        fleet.run(20.0);
        let from = fleet.now;
        fleet.break_watches();
        fleet.drain_backends();
        fleet.run(6.0);
        assert_all_notified_in_time(&case, &fleet.service.notification_delays_s(from));
    }
}

#[test]
fn a_proxy_that_is_not_notified_in_time_dispatches_nothing_to_backends_that_may_be_draining() {
    // One service needs 4 to 9 s for the calls of three hundred proxies, 14 to 33 s for those of
    // 1,100. A proxy that is not notified in time goes on with the backends that accepted a request
    // lately. They are many: only every tenth proxy has traffic here.
    assert_no_late_dispatches(Micros(0));
}

#[test]
fn nothing_is_dispatched_late_to_backends_that_accept_requests_while_they_drain() {
    assert_no_late_dispatches(seconds(2));
}

/// Plays outages after which the service is too slow to notify all proxies in time. Draining
/// backends accept requests for a while.
fn assert_no_late_dispatches(accepted_in_drain: Micros) {
    let few_proxies = OutageScenario {
        proxy_count: 300,
        call_duration: Micros(30_000),
        backend_count: 60,
        rate_per_s: 20.0,
        accepted_in_drain,
        observed_s: 12.0,
    };
    let many_proxies = OutageScenario {
        proxy_count: 1_100,
        call_duration: Micros(13_000),
        backend_count: 240,
        rate_per_s: 8.0,
        accepted_in_drain,
        observed_s: 12.0,
    };
    for scenario in [few_proxies, many_proxies] {
        assert_no_late_dispatches_in(&scenario);
    }
}

fn assert_no_late_dispatches_in(scenario: &OutageScenario) {
    let case = Case {
        proxy_count: scenario.proxy_count,
        call_duration: scenario.call_duration,
    };
    let report = scenario.run();
    let deadline_s = NOTIFICATION_DEADLINE.secs();
    let in_time = report
        .delays_s
        .iter()
        .filter(|delay| **delay <= deadline_s)
        .count();
    let (served, arrived) = (report.served, report.arrived);
    println!(
        "{case}: {in_time} notified within 6 s, {} dispatches too late, \
         {served} of {arrived} served after that",
        report.late_dispatches
    );
    assert!(
        in_time < scenario.proxy_count as usize,
        "the service could notify all proxies in time"
    );
    assert_eq!(report.late_dispatches, 0, "{case}");
    assert!(served * 20 >= arrived * 19, "{served} of {arrived} served");
}

#[test]
fn calls_that_fail_in_the_queue_are_repeated_slowly_enough_to_empty_it() {
    // However many proxies there are, and though no call is answered: 12.5 calls a second of 80 ms
    // keep no queue.
    for proxy_count in [30, 300, 1_100] {
        let mut fleet = Fleet::with_sixty_backends(proxy_count, Micros(1_000_000_000));
        fleet.run(3.0 * f64::from(proxy_count) * 0.08);
        let from = fleet.now;
        fleet.run(f64::from(proxy_count) * 0.08);
        let rate_per_s = fleet.service.calls_after(from) as f64 / (fleet.now - from).secs();
        println!("{proxy_count} proxies: {rate_per_s:.1} calls a second");
        assert!(
            (4.0..=30.0).contains(&rate_per_s),
            "{proxy_count} proxies: {rate_per_s} calls a second"
        );
    }
}

#[test]
fn nine_in_ten_proxies_that_restart_together_without_a_list_have_one_within_ten_seconds() {
    // All polled at once, and those that failed in the queue waited for a round of all proxies.
    let cases = [
        Case::new(3, 30_000),
        Case::new(30, 30_000),
        Case::new(300, 13_000),
        Case::new(300, 30_000),
        Case::new(1_100, 6_000),
    ];
    for case in cases {
        let proxies = case.proxy_count as usize;
        let mut fleet = Fleet::new(case.proxy_count, case.call_duration, Vec::new());
        let start = fleet.now;
        fleet.service.publish(backends_across_zones(60, 2));
        fleet.run(10.0);
        let delays_s = fleet.service.notification_delays_s(start);
        let ready = delays_s.iter().filter(|delay| **delay <= 10.0).count();
        let ninth_tenth = delays_s[proxies * 9 / 10 - 1];
        println!("{case}: {ready} have a list within 10 s, nine in ten within {ninth_tenth:.2} s");
        assert!(ready * 10 >= proxies * 9, "{case}: {ready}");
    }
}
