//! Capacity tests.
//!
//! [`real`] measures what one proxy process costs with a number of backends and tenants. Stand-ins
//! take the place of discovery, backends and clients. [`simulated`] shows what many proxies do
//! together: it runs their balancers in one process, on a simulated clock.

pub mod args;
mod arrivals;
pub mod deployment;
pub mod failure;
mod histogram;
pub mod real;
pub mod report;
pub mod simulated;
pub mod world;
