//! Variants of the configuration that the generated scenarios run with.

use crate::common::builders::*;
use brookstack_balancer::*;

/// Disables hedging and makes the group of proxies large.
const LARGE_GROUP_WITHOUT_HEDGING: u32 = 1;
/// Makes the weights in the endpoint list constant.
const CONSTANT_WEIGHTS: u32 = 2;
/// Forbids the cancellation of attempts.
const NO_CANCELLATION: u32 = 4;
/// Makes discovery push its updates.
const PUSHED_UPDATES: u32 = 8;
/// Makes requests to other zones free of cost.
const FREE_CROSS_ZONE_TRAFFIC: u32 = 16;
/// The bits of a variant from this one on hold the number of zones minus one.
const ZONE_COUNT_SHIFT: u32 = 5;
/// The largest number of zones.
const MAX_ZONE_COUNT: u32 = 3;
/// The number of variants.
pub const VARIANT_COUNT: u32 = MAX_ZONE_COUNT << ZONE_COUNT_SHIFT;

/// A configuration with classes of every idempotency. The low bits of `variant` are feature flags;
/// the high bits give the number of zones. `variant` is less than [`VARIANT_COUNT`].
pub fn config_variant(variant: u32) -> Config {
    let has = |feature: u32| variant & feature != 0;
    let mut config = Config::example();
    config.classes = classes();
    config.tenants = vec![Tenant { quota_per_s: 20.0 }, Tenant { quota_per_s: 5.0 }];
    config.worst_class_goal_weight = 0.3;
    config.hedging_allowed = !has(LARGE_GROUP_WITHOUT_HEDGING);
    config.proxy_count = if has(LARGE_GROUP_WITHOUT_HEDGING) {
        400
    } else {
        3
    };
    config.live_weights = !has(CONSTANT_WEIGHTS);
    config.cancellation_allowed = !has(NO_CANCELLATION);
    if !has(PUSHED_UPDATES) {
        config.discovery = DiscoveryMode::Watch {
            poll_within: seconds(2),
        };
    }
    config.cross_zone_cost = if has(FREE_CROSS_ZONE_TRAFFIC) {
        0.0
    } else {
        0.05
    };
    config.zone_count = 1 + (variant >> ZONE_COUNT_SHIFT);
    config
}

fn classes() -> Vec<Class> {
    let with_key = |scope: KeyScope| {
        class(Idempotency::IdempotencyKey {
            scope,
            window: millis(300),
        })
    };
    vec![
        class(Idempotency::Idempotent),
        Class {
            late_weight: 0.3,
            priority_weight: 5.0,
            ..class(Idempotency::NonIdempotent)
        },
        with_key(KeyScope::Zone),
        with_key(KeyScope::Cell),
        with_key(KeyScope::All),
        Class {
            latency_objective: millis(100),
            ..class(Idempotency::Idempotent)
        },
    ]
}
