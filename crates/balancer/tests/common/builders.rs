//! Builders of time spans, configurations and endpoint lists.

use brookstack_balancer::*;

/// A time span in milliseconds.
pub const fn millis(count: u64) -> Micros {
    Micros(count * 1_000)
}

/// A time span in seconds.
pub const fn seconds(count: u64) -> Micros {
    Micros(count * 1_000_000)
}

/// The setting `poll_within` of [`watching_config`]: a proxy that does not poll discovery counts as
/// notified of a change after this time.
pub const POLL_WITHIN: Micros = seconds(10);

/// A ready backend of weight 1 in one of the two cells of its zone.
pub fn backend(id: u32, zone: u32, machine_type: u32) -> Endpoint {
    Endpoint {
        id: BackendId(u64::from(id)),
        zone: ZoneId(u64::from(zone)),
        cell: CellId(u64::from(zone) * 2 + u64::from(id % 2)),
        machine_type: MachineTypeId(u64::from(machine_type)),
        state: BackendState::Ready,
        started_at: None,
        weight: 1.0,
    }
}

/// `count` backends of one machine type in zone 0.
pub fn backends(count: u32) -> Vec<Endpoint> {
    (0..count).map(|id| backend(id, 0, 0)).collect()
}

/// `count` backends of one machine type, assigned to the zones in turn.
pub fn backends_across_zones(count: u32, zone_count: u32) -> Vec<Endpoint> {
    (0..count)
        .map(|id| backend(id, id % zone_count, 0))
        .collect()
}

/// `count` backends in zone 0, alternating between the machine types 0 and 1.
pub fn backends_of_two_machine_types(count: u32) -> Vec<Endpoint> {
    (0..count).map(|id| backend(id, 0, id % 2)).collect()
}

/// A traffic class with a latency objective of 400 ms.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: millis(400),
        objective_per_work: 0.0,
        idempotency,
        priority_weight: 1.0,
        late_weight: 0.0,
    }
}

/// The example configuration with the given classes.
pub fn config_with_classes(classes: Vec<Class>) -> Config {
    Config {
        classes,
        ..Config::example()
    }
}

/// The example configuration with one class of the given idempotency.
pub fn config_with_class(idempotency: Idempotency) -> Config {
    config_with_classes(vec![class(idempotency)])
}

/// The example configuration for one of `proxy_count` proxies.
pub fn config_with_proxies(proxy_count: u32) -> Config {
    Config {
        proxy_count,
        ..Config::example()
    }
}

/// The example configuration for one of `proxy_count` proxies that watch discovery.
pub fn watching_config(proxy_count: u32, proxy_index: u32) -> Config {
    let discovery = DiscoveryMode::Watch {
        poll_within: POLL_WITHIN,
    };
    Config {
        proxy_count,
        proxy_index,
        discovery,
        ..Config::example()
    }
}
