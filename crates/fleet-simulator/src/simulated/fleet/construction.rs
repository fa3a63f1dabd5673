//! Functions that build the parts of a fleet from its setup.

use crate::deployment::{Deployment, DiscoveryMode};
use crate::failure::InputError;
use crate::simulated::backends::Backends;
use crate::simulated::context::MeasurementWindow;
use crate::simulated::discovery::Discovery;
use crate::simulated::proxy::Proxy;
use crate::simulated::scenario::TimelineSettings;
use crate::simulated::setup::{Setup, WARM_UP_SECS};
use crate::simulated::timeline::Timeline;
use brookstack_balancer::{Micros, Time};

/// The time at the start of a run. The value is arbitrary.
pub(super) const START: Time = Time(1_000_000_000_000);
/// The real proxy closes an idle connection after this fraction of the idle timeout of the
/// backends.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;

pub(super) fn measurement_window(setup: &Setup) -> MeasurementWindow {
    let start = START + Micros::from_secs(WARM_UP_SECS);
    let end = START + Micros::from_secs(setup.duration_secs);
    MeasurementWindow::new(start, end)
}

pub(super) fn timeline(setup: &Setup, window: MeasurementWindow) -> Timeline {
    setup.scenario.timeline(TimelineSettings {
        backends: setup.backends,
        rack_size: setup.rack_size,
        replacements_per_second: setup.replacements_per_second,
        window,
        seed: setup.seed ^ 1,
    })
}

pub(super) fn proxies(setup: &Setup) -> Result<Vec<Proxy>, InputError> {
    let numbers = 0..setup.proxies;
    numbers.map(|number| proxy(setup, number)).collect()
}

fn proxy(setup: &Setup, number: u32) -> Result<Proxy, InputError> {
    let deployment = Deployment {
        proxy_count: setup.proxies,
        proxy_index: number,
        tenant_count: 0,
        mode: DiscoveryMode::Subscribe,
        connection_idle_secs: setup.connection_idle_secs,
        cross_zone_cost: setup.cross_zone_cost,
    };
    let config = deployment.config()?;
    let requests_per_second = setup.requests_per_second_of(number);
    Proxy::new(config, setup.seed, requests_per_second, START)
}

pub(super) fn backends(setup: &Setup) -> Backends {
    Backends::new(
        setup.backends,
        setup.faults.slowdown,
        setup.faults.overload_tolerance,
        setup.seed ^ 2,
    )
}

pub(super) fn discovery(setup: &Setup, timeline: &Timeline) -> Discovery {
    Discovery::new(
        setup.proxies,
        Micros::from_secs(setup.discovery_call_ms / 1000.0),
        timeline.outage,
        setup.faults.watch_updates_suppressed,
        START,
    )
}

pub(super) fn connection_idle_timeout(setup: &Setup) -> Micros {
    Micros::from_secs(setup.connection_idle_secs * IDLE_TIMEOUT_FRACTION)
}
