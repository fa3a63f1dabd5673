//! The traffic shares that HALB computes, compared with values calculated by hand from the formula
//! of the paper.
//!
//! For a machine type with `n` ready backends of speed `s`, the formula gives this flow, where the
//! sums are over all machine types:
//!
//! ```text
//! n * s - n * sqrt(s) * (speeds - rate) / roots,  speeds = sum(n * s),  roots = sum(n * sqrt(s))
//! ```
//!
//! A machine type with a negative flow gets no traffic, and the formula is applied again to the
//! other types.

use brookstack_balancer::{halb_shares, MachineGroup};

const TOLERANCE: f64 = 1e-9;

const fn group(ready_backends: f64, speed: f64) -> MachineGroup {
    MachineGroup {
        ready_backends,
        speed,
    }
}

/// One backend of speed 4 and one of speed 1; for these, roots is 3 and speeds is 5.
const FAST_AND_SLOW: [MachineGroup; 2] = [group(1.0, 4.0), group(1.0, 1.0)];

fn assert_shares(actual: Vec<f64>, expected: &[f64]) {
    assert_eq!(actual.len(), expected.len());
    for (actual_share, expected_share) in actual.iter().zip(expected) {
        let difference = (actual_share - expected_share).abs();
        assert!(
            difference < TOLERANCE,
            "got {actual:?}, expected {expected:?}"
        );
    }
}

#[test]
fn machine_types_with_positive_flows_share_the_traffic_by_their_flows() {
    // The flows are 4 - 2 * 1.5 / 3 = 3 and 1 - 1.5 / 3 = 0.5.
    assert_shares(
        halb_shares(&FAST_AND_SLOW, Some(3.5)),
        &[6.0 / 7.0, 1.0 / 7.0],
    );
}

#[test]
fn at_light_load_the_slow_machine_type_gets_no_traffic() {
    assert_shares(halb_shares(&FAST_AND_SLOW, Some(2.0)), &[1.0, 0.0]);
    assert_shares(halb_shares(&FAST_AND_SLOW, Some(1.0)), &[1.0, 0.0]);
}

#[test]
fn shares_are_computed_again_without_a_machine_type_that_has_a_negative_flow() {
    // With all three types: roots 6, speeds 14; the third flow is 1 - 8.5 / 6 < 0.
    // With the first two: roots 5, speeds 13; the flows are 9 - 3 * 1.5 = 4.5 and 4 - 2 * 1.5 = 1.
    let groups = [group(1.0, 9.0), group(1.0, 4.0), group(1.0, 1.0)];
    assert_shares(
        halb_shares(&groups, Some(5.5)),
        &[4.5 / 5.5, 1.0 / 5.5, 0.0],
    );
}

#[test]
fn machine_types_are_weighted_by_their_ready_counts_which_may_be_fractions() {
    // Roots is 2 * 2 + 0.5 = 4.5, speeds is 8.5.
    let groups = [group(2.0, 4.0), group(0.5, 1.0)];
    // At 4 requests a second, (8.5 - 4) / 4.5 = 1; the flows are 8 - 4 and 0.5 - 0.5.
    assert_shares(halb_shares(&groups, Some(4.0)), &[1.0, 0.0]);
    // At 6.25 requests a second, (8.5 - 6.25) / 4.5 = 0.5; the flows are 8 - 2 and 0.5 - 0.25.
    assert_shares(halb_shares(&groups, Some(6.25)), &[0.96, 0.04]);
}

#[test]
fn all_traffic_is_shared_even_above_the_capacity() {
    // (5 - 8) / 3 = -1; the flows are 4 + 2 and 1 + 1.
    assert_shares(halb_shares(&FAST_AND_SLOW, Some(8.0)), &[0.75, 0.25]);
}

#[test]
fn without_a_known_rate_traffic_is_shared_by_ready_counts() {
    let groups = [group(3.0, 4.0), group(1.0, 1.0), group(0.0, 9.0)];
    assert_shares(halb_shares(&groups, None), &[0.75, 0.25, 0.0]);
}

#[test]
fn at_a_rate_near_zero_the_fastest_ready_machine_type_takes_all_traffic() {
    assert_shares(halb_shares(&FAST_AND_SLOW, Some(0.0)), &[1.0, 0.0]);
    let equally_fast = [group(1.0, 4.0), group(3.0, 4.0)];
    assert_shares(halb_shares(&equally_fast, Some(0.0)), &[0.25, 0.75]);
    let fastest_not_ready = [group(0.0, 9.0), group(1.0, 4.0), group(1.0, 1.0)];
    assert_shares(
        halb_shares(&fastest_not_ready, Some(1e-12)),
        &[0.0, 1.0, 0.0],
    );
}

#[test]
fn a_single_ready_machine_type_takes_all_traffic_and_types_that_are_not_ready_take_none() {
    assert_shares(halb_shares(&[group(2.0, 3.0)], Some(1.0)), &[1.0]);
    assert_shares(
        halb_shares(&[group(0.0, 3.0), group(0.0, 1.0)], Some(1.0)),
        &[0.0, 0.0],
    );
    assert_shares(
        halb_shares(&[group(0.0, 3.0), group(2.0, 1.0)], Some(1.0)),
        &[0.0, 1.0],
    );
    assert_shares(halb_shares(&[], Some(1.0)), &[]);
    assert_shares(halb_shares(&[], None), &[]);
}
