//! Discovery and the backends of a small deployment.

use crate::backend::{Backend, Responder, Work};
use crate::discovery::{Discovery, Entry};
use crate::record::Record;

pub const BACKENDS: usize = 9;

pub struct Deployment {
    pub discovery: Discovery,
    pub backends: Vec<Backend>,
}

/// Starts nine backends of two zones, two machine types and three racks, and discovery.
pub fn start(zones: [&'static str; 2], work: &Work, record: &Record, respond: Responder) -> Deployment {
    let start_backend = |index| Backend::start(&backend_name(index), work, record, respond.clone());
    let backends: Vec<Backend> = (0..BACKENDS).map(start_backend).collect();
    let entries = backends.iter().enumerate().map(|(index, backend)| {
        let zone = zones[usize::from(index >= 6)];
        let machine = if index % 2 == 0 { "fast-4" } else { "std-4" };
        Entry::ready(backend_name(index), backend.address, zone, machine, index as u32 / 3)
    });
    let discovery = Discovery::start(entries.collect(), record);
    Deployment { discovery, backends }
}

pub fn backend_name(index: usize) -> String {
    format!("s{index}")
}
