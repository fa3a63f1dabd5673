//! Deadlines: until when a request can still be served, and when that has to be checked again.

use crate::requests::Request;
use crate::{Config, Micros, Time};

/// Interval between the checks of a waiting request, in ticks.
pub(crate) const QUEUE_CHECK_TICKS: f64 = 4.0;

/// Whether the final response is due regardless of the state of the request. That is one tick
/// before the deadline, because a response at the deadline itself would be too late.
pub(crate) fn is_in_last_tick(now: Time, config: &Config, request: &Request) -> bool {
    now + config.tick >= request.deadline
}

/// Whether a request that has not been served needs its final response now. `typical_latency` is
/// the usual latency of a served request of its class.
///
/// The final response is due in the last tick before the deadline. If no attempt is in flight, it
/// is due earlier: once an attempt of typical latency would end after the time until which a
/// response is useful. That time is the deadline if an attempt was sent before and the class has a
/// late weight, otherwise the latency objective.
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

/// Returns the time by which a request has to be checked again, even if no event occurs until then.
pub(crate) fn next_check(now: Time, config: &Config, request: &Request) -> Time {
    let check_at = if request.is_in_flight() {
        request.deadline
    } else {
        now + config.tick.times(QUEUE_CHECK_TICKS)
    };
    let last_tick = Time(request.deadline.0.saturating_sub(config.tick.0));
    check_at.min(last_tick)
}

#[cfg(test)]
mod tests;
