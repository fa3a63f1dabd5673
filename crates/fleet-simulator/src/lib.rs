//! Capacity tests: what a proxy costs at a size (the real process beside stand-ins), and what many
//! of them do together (simulated ones: the balancer on a simulated clock).

pub mod args;
mod arrivals;
pub mod failure;
mod histogram;
pub mod real;
pub mod report;
pub mod simulated;
pub mod world;
