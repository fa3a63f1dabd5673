//! Capacity tests.
//!
//! [`real`] measures what one proxy process costs with a number of backends and tenants. Stand-ins
//! take the place of discovery, backends and clients. [`simulated`] shows what many proxies do
//! together: it runs their balancers in one process, on a simulated clock. [`soak`] checks the
//! operators' rules on real proxies under faults that a seed draws.

pub mod args;
mod arrivals;
pub mod deployment;
pub mod failure;
mod histogram;
pub mod real;
pub mod report;
pub mod simulated;
pub mod soak;
pub mod world;
