//! Builders of time spans, configurations and endpoint lists.

use brookstack_balancer::*;

/// A span of so many milliseconds.
pub const fn millis(count: u64) -> Micros {
    Micros(count * 1_000)
}

/// A span of so many seconds.
pub const fn seconds(count: u64) -> Micros {
    Micros(count * 1_000_000)
}

/// A proxy that does not poll discovery counts as notified of a change after this time.
pub const POLL_WITHIN: Micros = seconds(10);

/// A ready backend with the example weight; its cell is one of the two of its zone.
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

/// So many backends of one machine type in zone 0.
pub fn backends(count: u32) -> Vec<Endpoint> {
    (0..count).map(|id| backend(id, 0, 0)).collect()
}

/// So many backends of one machine type, assigned to the zones in turn.
pub fn backends_across_zones(count: u32, zone_count: u32) -> Vec<Endpoint> {
    (0..count)
        .map(|id| backend(id, id % zone_count, 0))
        .collect()
}

/// So many backends in zone 0, alternating between the machine types 0 and 1.
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

/// The example configuration with these classes.
pub fn config_with_classes(classes: Vec<Class>) -> Config {
    Config {
        classes,
        ..Config::example()
    }
}

/// The example configuration with one class, of this idempotency.
pub fn config_with_class(idempotency: Idempotency) -> Config {
    config_with_classes(vec![class(idempotency)])
}

/// The example configuration for one of so many proxies.
pub fn config_with_proxies(proxy_count: u32) -> Config {
    Config {
        proxy_count,
        ..Config::example()
    }
}

/// The configuration of one of so many proxies that watch discovery.
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
