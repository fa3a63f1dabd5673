//! Capacity and soak tests of the proxy.
//!
//! - [`real`] measures the memory, CPU time and added latency of one proxy process for a number of
//!   backends and tenants. Stand-ins replace discovery, backends and clients.
//! - [`crowd`] measures the memory of one proxy process beside crowds of clients and slow backends,
//!   and what usual clients get beside them.
//! - [`simulated`] measures the joint behavior of many proxies. It runs their balancers in one
//!   process, on a simulated clock.
//! - [`soak`] injects faults around real proxies and checks the operators' rules. A seed determines
//!   the faults of a run.

pub mod args;
mod arrivals;
pub mod crowd;
pub mod deployment;
pub mod failure;
mod histogram;
pub mod real;
pub mod report;
pub mod simulated;
pub mod soak;
pub mod topology;
