//! The check of a configuration when a balancer is created.

use brookstack_balancer::*;

/// A change to the example configuration.
type Change = fn(&mut Config);

/// The setting named by the error if a balancer cannot be created with this change.
fn rejected_setting(change: Change) -> Option<&'static str> {
    let mut config = Config::example();
    change(&mut config);
    Balancer::new(config, 1).err().map(|error| error.setting)
}

#[test]
fn an_invalid_configuration_is_rejected_with_an_error_that_names_the_setting() {
    let invalid_changes: [(Change, &str); 11] = [
        (|c| c.proxy_count = 0, "group_size"),
        (|c| c.zone_count = 0, "zones"),
        (|c| c.classes.clear(), "profiles"),
        (
            |c| c.classes[0].latency_objective = Micros(0),
            "profiles.aim_us",
        ),
        (|c| c.classes[0].priority_weight = f64::NAN, "profiles.gain"),
        (|c| c.classes[0].late_weight = 1.5, "profiles.late_worth"),
        (
            |c| c.tenants.push(Tenant { quota_per_s: -1.0 }),
            "customers.quota_rps",
        ),
        (|c| c.max_attempts = 0, "limits.max_attempts"),
        (|c| c.tick = Micros(0), "granularity_us"),
        (|c| c.slow_start_floor = -0.1, "rules.cold_from"),
        (
            |c| c.overload_multiple = f64::INFINITY,
            "rules.fall_multiple",
        ),
    ];
    for (change, setting) in invalid_changes {
        assert_eq!(rejected_setting(change), Some(setting));
    }
    assert_eq!(rejected_setting(|_| ()), None);
}
