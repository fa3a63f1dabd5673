//! Routing: each backend's part of this proxy's traffic and its limits, and the choice of a backend
//! for a request.
//!
//! Four shares lead from the fleet's traffic to the choice of a backend, all of them fractions:
//!
//! - the share of a machine type, of all proxies' traffic, by HALB;
//! - the fair share of a backend: its part of that by readiness, multiplied by its zone's factor;
//! - its planned share: what remains of the fair share within the backend's slow-start quota;
//! - its local share, of this proxy's traffic, with which the backend is picked.

mod concurrency_limits;
mod picker;
mod slow_start_quotas;
mod traffic_shares;
mod zone_affinity;

pub(crate) use concurrency_limits::{count_in_flight, ConcurrencyLimits};
pub(crate) use picker::Picker;
pub(crate) use slow_start_quotas::SlowStartPlan;
pub(crate) use traffic_shares::{SharePlan, ShareSchedule};
pub(crate) use zone_affinity::ZoneFactors;
