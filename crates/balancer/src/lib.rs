//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without clock, network or threads: a host feeds it [`Event`]s
//! with the time at which they happened and carries out the [`Action`]s it returns.
//!
//! The balancer is made of components, each of which owns a part of the state:
//!
//! - `balancer`: the components, and the order of what happens at each event
//! - `requests`: open requests, their attempts, and the queue of those that wait
//! - `admission`: load shedding by priority, and the tenants' quotas
//! - `retry`: the retry budget, the rules for further attempts, and deadlines
//! - `backends`: backends and machine types, outlier detection, slow start
//! - `routing`: traffic shares, concurrency limits, and the choice of a backend
//! - `estimation`: latency, work and rates
//! - `subset`, `discovery_watch`, `idle_connections`: the endpoint list, its age, and connections
//! - `wakeups`, `outbox`: timers and actions
//!
//! `halb` and `peers` are formulas without state. `host` is for those that drive a balancer.

mod action;
mod admission;
mod backends;
mod balancer;
mod config;
mod discovery_watch;
mod endpoint;
mod estimation;
mod estimators;
mod event;
mod halb;
mod host;
mod idle_connections;
mod ids;
mod outbox;
mod peers;
mod random;
mod requests;
mod retry;
mod routing;
pub mod settings;
mod subset;
mod time;
mod token_bucket;
mod wakeups;

pub use action::{Action, LogEvent};
pub use balancer::Balancer;
pub use config::{Class, Config, ConfigError, DiscoveryMode, Idempotency, KeyScope, Tenant};
pub use endpoint::{BackendState, Endpoint, EndpointUpdate};
pub use event::{Arrival, AttemptEnd, Event, Outcome};
pub use halb::{halb_shares, MachineGroup};
pub use host::{TimerQueue, RESPONSE_GRACE_TICKS};
pub use ids::{
    AttemptNumber, BackendId, CellId, ClassId, MachineTypeId, RequestId, TenantId, TimerToken,
    ZoneId,
};
pub use time::{Micros, Time};

/// The README's example, kept true by the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
