//! Property tests: the balancer keeps its guarantees over generated sequences of events. The
//! [`TestHost`] checks the guarantees with each action.

#[path = "../common/mod.rs"]
mod common;
mod config;
mod scenario;
mod step;

use brookstack_balancer::*;
use common::builders::*;
use common::test_host::TestHost;
use common::traffic::serve_sequentially;
use config::VARIANT_COUNT;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use scenario::run_steps;
use step::steps;

/// Generated scenarios in which the guarantees are checked: on average 300 for each number of
/// zones.
const GUARANTEE_CASES: u32 = 900;
/// Generated scenarios that are run twice: on average 40 for each number of zones.
const DETERMINISM_CASES: u32 = 120;

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn guarantees_hold_over_generated_events() {
    let scenarios = (
        0..VARIANT_COUNT,
        any::<u64>(),
        proptest::collection::vec(steps(), 1..250),
    );
    let result = runner(GUARANTEE_CASES).run(&scenarios, |(variant, seed, steps)| {
        run_steps(variant, seed, &steps);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn the_same_events_cause_the_same_actions() {
    let scenarios = (
        0..VARIANT_COUNT,
        any::<u64>(),
        proptest::collection::vec(steps(), 1..120),
    );
    let result = runner(DETERMINISM_CASES).run(&scenarios, |(variant, seed, steps)| {
        let first_run = run_steps(variant, seed, &steps);
        prop_assert_eq!(first_run, run_steps(variant, seed, &steps));
        Ok(())
    });
    result.unwrap();
}

/// The backends that 50 requests are dispatched to. If `with_unknown_ids` is set, the balancer
/// first gets events with unknown ids.
fn backends_chosen(with_unknown_ids: bool) -> Vec<u32> {
    let mut host =
        TestHost::with_endpoints(config_with_class(Idempotency::Idempotent), backends(3));
    if with_unknown_ids {
        host.send_events_about(RequestId(77), AttemptNumber(3), TimerToken(u64::MAX));
    }
    serve_sequentially(&mut host, 50, |_| millis(10))
}

#[test]
fn events_with_unknown_ids_are_ignored() {
    assert_eq!(backends_chosen(false), backends_chosen(true));
}
