//! Backends and machine types: their state, their speed, and the detection of faulty backends.

mod backend;
mod health;
mod machine_type;
mod outlier_detection;
mod readiness;
mod speed;
mod table;
mod warmup;

pub(crate) use backend::{Allocation, Backend};
pub(crate) use machine_type::MachineType;
pub(crate) use outlier_detection::OutlierDetector;
pub(crate) use table::BackendTable;
pub(crate) use warmup::warmup_fraction;
