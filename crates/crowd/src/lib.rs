//! Clients and backends for tests of what one proxy process holds.
//!
//! - `shape` says how the clients of a crowd behave, and writes their requests;
//! - `crowd` runs the clients of a crowd;
//! - `usual_clients` runs usual clients beside a crowd and reports what they got;
//! - `response_shape` is the response that a request asks a backend for;
//! - `paced_backend` is a backend that answers in pieces and records identifiers that ran twice;
//! - `process_memory` reads the peak memory of a process.

mod crowd;
mod http;
mod paced_backend;
mod process_memory;
mod response_shape;
mod shape;
mod usual_clients;

pub use crowd::{Crowd, CrowdReport};
pub use paced_backend::{PacedBackend, SERVICE_MS_PARAMETER};
pub use process_memory::{peak_resident_kb, resident_kb};
pub use response_shape::ResponseShape;
pub use shape::{Pieces, Shape};
pub use usual_clients::{UsualClients, UsualReport};
