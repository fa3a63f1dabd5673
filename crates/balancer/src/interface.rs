//! The types that a host and a balancer exchange: the configuration, the events that the host
//! reports and the actions that the balancer returns.

mod action;
mod config;
mod endpoint;
mod event;
mod ids;
mod list_evidence;
mod time;

pub use action::{Action, LogEvent};
pub use config::{
    Class, Config, ConfigError, DiscoveryMode, Idempotency, KeyScope, ListTerms, Tenant,
};
pub use endpoint::{BackendState, Endpoint, EndpointUpdate};
pub use event::{Arrival, AttemptEnd, Event, Outcome};
pub use ids::{
    AttemptNumber, BackendId, CellId, ClassId, MachineTypeId, RequestId, TenantId, TimerToken,
    ZoneId,
};
pub use list_evidence::ListEvidence;
pub use time::{Micros, Time};
