//! An HTTP/1.1 reverse proxy that balances load over a fleet of backends.
//!
//! `brookstack_balancer` makes all load-balancing decisions. This crate handles the sockets, the
//! timers, the watch on the endpoint list, the configuration and the signals. [`run`] starts the
//! proxy and returns when it has shut down; the executable only adds logging and the exit code.

mod attempt;
mod backend_connection;
mod backend_response;
mod body_length;
mod buffer_growth;
mod clock;
mod config;
mod connection_log;
mod connection_monitor;
mod connection_pool;
mod count_guard;
mod discovery;
mod driver;
mod forwarded_request;
mod http_connection;
mod idle_connection;
mod log_target;
mod memory_budget;
mod memory_log;
mod message;
mod message_content;
mod open_ids;
mod reload;
mod server;
mod startup;
#[cfg(test)]
mod test_fixtures;
mod tracked_stream;
mod unframed_body;
mod upstream;
mod waiting_input;

pub use config::ConfigFileError;
pub use startup::{run, StartupError};
