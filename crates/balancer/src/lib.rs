//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without clock, network or threads: a host feeds it [`Event`]s
//! with the time at which they happened and carries out the [`Action`]s it returns.
//!
//! The balancer is made of components, each of which owns a part of the state:
//!
//! - `interface`: configuration, events and actions
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

mod admission;
mod backends;
mod balancer;
mod discovery_watch;
mod estimation;
mod halb;
mod host;
mod idle_connections;
mod interface;
mod outbox;
mod peers;
mod random;
mod requests;
mod retry;
mod routing;
pub mod settings;
mod subset;
#[cfg(test)]
mod test_fixtures;
mod wakeups;

pub use balancer::Balancer;
pub use halb::{halb_shares, MachineGroup};
pub use host::{TimerQueue, RESPONSE_GRACE_TICKS};
pub use interface::{
    Acceptance, Action, Arrival, AttemptEnd, AttemptNumber, BackendId, BackendState, CellId, Class,
    ClassId, Config, ConfigError, DiscoveryMode, Endpoint, EndpointUpdate, Event, Idempotency,
    KeyScope, LogEvent, MachineTypeId, Micros, Outcome, RequestId, Tenant, TenantId, Time,
    TimerToken, UnconfirmedList, ZoneId,
};

/// The README's example, kept true by the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
