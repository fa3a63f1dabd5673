//! Stand-ins for the cases of the second review: clients, backends and discovery, as the operators'
//! pages describe them, and the start of a proxy by the command of the deploy file. Only the
//! standard library is used.

pub mod backend;
pub mod client;
pub mod discovery;
pub mod http;
pub mod proxy;
pub mod record;
pub mod relay;
pub mod socket;
