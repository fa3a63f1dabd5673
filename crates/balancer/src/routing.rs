//! Routing: each backend's part of this proxy's traffic and its limits, and the choice of a backend
//! for a request.

mod concurrency_limits;
mod picker;
mod slow_start;
mod traffic_shares;
mod zone_affinity;

pub(crate) use concurrency_limits::{count_in_flight, ConcurrencyLimits};
pub(crate) use picker::Picker;
pub(crate) use slow_start::SlowStartPlan;
pub(crate) use traffic_shares::{SharePlan, TrafficShares};
pub(crate) use zone_affinity::ZoneFactors;
