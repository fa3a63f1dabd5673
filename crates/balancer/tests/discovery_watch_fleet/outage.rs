//! An outage of the discovery service, followed by a drain.

use crate::common::builders::*;
use crate::common::records::{Completion, RequestRecord};
use crate::common::traffic::CLIENT_TIMEOUT;
use crate::fleet::{Fleet, Traffic, DRAINING_BACKENDS};
use brookstack_balancer::{Micros, Time};

/// A change counts as notified so long after discovery had it and could be reached.
pub const NOTIFICATION_DEADLINE: Micros = seconds(6);
/// Dispatches to a draining backend stop so long after its drain counts as notified.
const DISPATCH_GRACE: Micros = millis(500);
/// How long the outage lasts.
const OUTAGE_S: f64 = 8.0;
/// Backends begin to drain so long after the end of the outage.
const DRAIN_DELAY_S: f64 = 0.5;

/// A fleet that goes through an outage.
pub struct OutageScenario {
    /// How many proxies there are.
    pub proxy_count: u32,
    /// The time that the service needs for a call.
    pub call_duration: Micros,
    /// How many backends there are.
    pub backend_count: u32,
    /// Requests a second at every tenth proxy.
    pub rate_per_s: f64,
    /// Draining backends go on accepting requests for so long after the drain is listed.
    pub accepted_in_drain: Micros,
    /// How long the fleet is observed after the drain begins.
    pub observed_s: f64,
}

/// What came of an outage.
pub struct OutageReport {
    /// Seconds from the end of the outage until each proxy was notified of the drain, in ascending
    /// order.
    pub delays_s: Vec<f64>,
    /// Dispatches to draining backends later than the grace after the drain counted as notified.
    pub late_dispatches: usize,
    /// Requests that arrived after the drain counted as notified.
    pub arrived: usize,
    /// Those of them that were served.
    pub served: usize,
}

impl OutageScenario {
    /// Plays the outage.
    pub fn run(&self) -> OutageReport {
        let endpoints = backends_across_zones(self.backend_count, 2);
        let mut fleet = Fleet::new(self.proxy_count, self.call_duration, endpoints);
        while fleet.service.watches().len() < self.proxy_count as usize {
            fleet.run(1.0);
        }
        fleet.run(4.0); // long enough that every proxy takes its watch for established
        fleet.take_service_down();
        let back_at = fleet.now + Micros::from_secs(OUTAGE_S);
        let drained_at = back_at + Micros::from_secs(DRAIN_DELAY_S);
        let traffic = Traffic {
            rate_per_s: self.rate_per_s,
            rejected_from: drained_at + self.accepted_in_drain,
        };
        fleet.run_with_traffic(OUTAGE_S, &traffic);
        fleet.bring_service_back();
        fleet.run_with_traffic(DRAIN_DELAY_S, &traffic);
        fleet.drain_backends();
        fleet.run_with_traffic(self.observed_s, &traffic);
        OutageReport::new(&fleet, back_at, drained_at)
    }
}

impl OutageReport {
    fn new(fleet: &Fleet, back_at: Time, drained_at: Time) -> OutageReport {
        let notified_at = drained_at + NOTIFICATION_DEADLINE;
        let requests = || fleet.hosts.iter().flat_map(|host| host.requests.values());
        let after_notification =
            || requests().filter(|request| request.deadline >= notified_at + CLIENT_TIMEOUT);
        let is_served = |request: &&RequestRecord| request.completion == Some(Completion::Served);
        OutageReport {
            delays_s: fleet.service.notification_delays_s(back_at),
            late_dispatches: requests()
                .map(|request| late_dispatches(request, notified_at))
                .sum(),
            arrived: after_notification().count(),
            served: after_notification().filter(is_served).count(),
        }
    }
}

/// A request's dispatches to draining backends later than the grace after the drain counted as
/// notified.
fn late_dispatches(request: &RequestRecord, notified_at: Time) -> usize {
    let late = request
        .attempts
        .iter()
        .filter(|attempt| attempt.dispatched_at > notified_at + DISPATCH_GRACE);
    late.filter(|attempt| DRAINING_BACKENDS.contains(&(attempt.backend.0 as u32)))
        .count()
}
