//! An HTTP/1.1 reverse proxy that balances load over a fleet of backends.
//!
//! Every load-balancing decision is made by `brookstack_balancer`; this crate owns the sockets, the
//! timers, the watch on the endpoint list, the configuration and the signals. [`run`] is the whole
//! program except for the set-up of the log and the exit code.

mod attempt;
mod backend_connection;
mod backend_response;
mod clock;
mod config;
mod connection_pool;
mod count_guard;
mod discovery;
mod driver;
mod forwarded_request;
mod message;
mod reload;
mod server;
mod startup;
#[cfg(test)]
mod test_fixtures;
mod tracked_stream;
mod upstream;

pub use config::ConfigFileError;
pub use startup::{run, StartupError};
