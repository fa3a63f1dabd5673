//! Deadlines: until when a request can still be served, and when that is next looked at.

use crate::requests::Request;
use crate::{Config, Micros, Time};

/// Waiting requests are looked at every so many ticks.
pub(crate) const QUEUE_CHECK_TICKS: f64 = 4.0;

/// Whether the final response is due, whatever happens to the request: the deadline itself would be
/// too late, so that is one tick before it.
pub(crate) fn is_in_last_tick(now: Time, config: &Config, request: &Request) -> bool {
    now + config.tick >= request.deadline
}

/// Whether a request needs its final response now. `typical_latency` is what a served request of
/// its class usually takes.
///
/// A request in its last tick needs it. A request with no attempt in flight gets it earlier, if an
/// attempt of typical latency would end after the time until which a response is useful. That is
/// the deadline if the request was sent before and its class has a late weight, otherwise the
/// objective.
pub(crate) fn is_overdue(
    now: Time,
    config: &Config,
    request: &Request,
    typical_latency: Micros,
) -> bool {
    let class = &config.classes[request.class.0];
    let earns_late_weight = class.late_weight > 0.0 && !request.is_unsent();
    let useful_until = if earns_late_weight {
        request.deadline
    } else {
        request.objective_at
    };
    let is_too_late_to_start = now + typical_latency >= useful_until;
    is_in_last_tick(now, config, request) || (is_too_late_to_start && !request.is_in_flight())
}

/// When a request has to be looked at again, whatever happens until then.
pub(crate) fn next_check(now: Time, config: &Config, request: &Request) -> Time {
    let next_look = if request.is_in_flight() {
        request.deadline
    } else {
        now + config.tick.times(QUEUE_CHECK_TICKS)
    };
    let last_tick = Time(request.deadline.0.saturating_sub(config.tick.0));
    next_look.min(last_tick)
}

#[cfg(test)]
mod tests;
