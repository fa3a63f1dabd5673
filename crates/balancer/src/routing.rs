//! Routing: computes each backend's share of this proxy's traffic and its limits, and picks a
//! backend for a request.
//!
//! The weight with which a backend is picked is computed in four steps. Each step results in a
//! fraction of the traffic:
//!
//! 1. HALB gives each machine type its share of the traffic of all proxies.
//! 2. The fair share of a backend is its part of the machine type's share in proportion to its
//!    readiness, multiplied by the factor of its zone.
//! 3. The planned share is the fair share, reduced to what the slow-start quotas allow.
//! 4. The local share is the fraction of this proxy's traffic that the backend gets. It differs
//!    from the planned share where slow-start quotas differ between proxies.

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
