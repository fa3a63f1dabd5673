//! Admission: load shedding by priority and the tenants' quotas, which decide which requests
//! are served while the fleet is overloaded.

mod control;
mod priority;
mod tenant_quotas;
mod token_bucket;

pub(crate) use control::{prompt_latency, AdmissionControl, Promptness};
pub(crate) use priority::{Priority, RequestWeight, Timeliness, LOW_PRIORITY_CAPACITY_FRACTION};
