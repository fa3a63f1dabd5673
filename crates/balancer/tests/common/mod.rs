//! Code shared by the integration tests: a test host, builders of configurations and endpoint
//! lists, and traffic loops.
#![allow(
    dead_code,
    reason = "each test crate compiles this module separately and uses only a part of it"
)]

pub mod builders;
pub mod records;
pub mod test_host;
pub mod traffic;
