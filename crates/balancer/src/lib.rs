//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without clock, network or threads: a host feeds it [`Event`]s
//! with the time at which they happened and carries out the [`Action`]s it returns.
//!
//! The decisions, one concern a file: `balancer` dispatches events; `admission` sheds load;
//! `request_queue` orders what waits; `picker` chooses backends; `retry` decides on further
//! attempts; `outlier_detection` ejects backends; `capacity`, `halb`, `zone_affinity` and
//! `slow_start` compute shares and limits; `subset`, `discovery_watch` and `idle_connections` keep
//! the endpoint list and the connections within bounds.
//!
//! `host` is for those that drive a balancer. What the decisions work on, without decisions:
//! `state` and `records`, and the estimates in `latency`, `estimators`, `token_bucket` and
//! `random`.

mod action;
mod admission;
mod balancer;
mod capacity;
mod config;
mod discovery_watch;
mod endpoint;
mod estimators;
mod event;
mod halb;
mod host;
mod idle_connections;
mod ids;
mod latency;
mod outlier_detection;
mod picker;
mod random;
mod records;
mod request_queue;
mod retry;
pub mod settings;
mod slow_start;
mod state;
mod subset;
mod time;
mod token_bucket;
mod zone_affinity;

pub use action::{Action, LogEvent};
pub use config::{Class, Config, ConfigError, DiscoveryMode, Idempotency, KeyScope, Tenant};
pub use endpoint::{BackendState, Endpoint, EndpointUpdate};
pub use event::{Arrival, AttemptEnd, Event, Outcome};
pub use halb::halb_shares;
pub use host::{TimerQueue, RESPONSE_GRACE_TICKS};
pub use ids::{
    AttemptNumber, BackendId, CellId, ClassId, MachineTypeId, RequestId, TenantId, TimerToken,
    ZoneId,
};
pub use state::Balancer;
pub use time::{Micros, Time};

/// The README's example, kept true by the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
