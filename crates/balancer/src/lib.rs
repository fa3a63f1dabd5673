//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without a clock, network access or threads. A host passes each
//! [`Event`] to it, together with the time of the event, and executes the [`Action`]s that it
//! returns.
//!
//! The modules are:
//!
//! - `interface`: the types of the configuration, the events and the actions
//! - `settings`: reads the configuration from JSON
//! - `balancer`: the [`Balancer`], which calls the components below for each event
//! - `requests`: open requests, their attempts, and the queue of requests that wait for a backend
//! - `admission`: load shedding by priority, and tenant quotas
//! - `retry`: the retry budget, the rules for further attempts, and request deadlines
//! - `backends`: backends and machine types, outlier detection, slow start
//! - `routing`: traffic shares, concurrency limits, and the choice of a backend
//! - `estimation`: estimates of latency, work and request rates
//! - `subset`: the endpoint list, and the part of it that this proxy uses
//! - `discovery_watch`: when to poll discovery, and whether the endpoint list is stale
//! - `connection_reuse`: which connections may carry another request, and which responses are
//!   believed; hosts call it directly
//! - `idle_connections`: the limit on idle connections
//! - `wakeups`: when the balancer needs a timer
//! - `outbox`: the actions for the current event, and the rate limit on log lines
//!
//! `halb` and `peers` contain formulas and have no state. `host` has helpers for programs that run
//! a balancer.

mod admission;
mod backends;
mod balancer;
mod connection_reuse;
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
pub use connection_reuse::{
    BackendProcess, BehindResponse, ConnectionReuse, HoldEnd, LastResponse, ResponseArrival,
    ResponseDoubt, ResponseHold, ResponseJudgement, SuccessfulResponse, UnsolicitedBytes,
    UnsolicitedKind, MAX_LAG,
};
pub use halb::{halb_shares, MachineGroup};
pub use host::{TimerQueue, RESPONSE_GRACE_TICKS};
pub use interface::{
    Action, Arrival, AttemptEnd, AttemptNumber, BackendId, BackendState, CellId, Class, ClassId,
    Config, ConfigError, DiscoveryMode, Endpoint, EndpointUpdate, Event, Idempotency, KeyScope,
    ListEvidence, ListTerms, LogEvent, MachineTypeId, Micros, Outcome, RequestId, Tenant, TenantId,
    Time, TimerToken, ZoneId,
};

/// Compiles and runs the example in the README as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
