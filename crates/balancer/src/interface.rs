//! The balancer's interface: its configuration, the events that it takes and the actions that it
//! returns.

mod action;
mod config;
mod endpoint;
mod event;
mod ids;
mod time;

pub use action::{Acceptance, Action, LogEvent, UnconfirmedList};
pub use config::{Class, Config, ConfigError, DiscoveryMode, Idempotency, KeyScope, Tenant};
pub use endpoint::{BackendState, Endpoint, EndpointUpdate};
pub use event::{Arrival, AttemptEnd, Event, Outcome};
pub use ids::{
    AttemptNumber, BackendId, CellId, ClassId, MachineTypeId, RequestId, TenantId, TimerToken,
    ZoneId,
};
pub use time::{Micros, Time};
