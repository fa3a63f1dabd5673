//! The client of the discovery service, which provides the list of backends.
//!
//! - [`endpoint_list`] parses the endpoint lists.
//! - [`client`] makes single HTTP calls to discovery.
//! - [`watch`] decides when to make which call, and sends each list to the driver.
//! - [`watch_log`] writes the calls to the log.
//! - [`watch_wait`] adapts the interval of its calls to how busy the service is.

mod client;
pub mod endpoint_list;
mod watch;
mod watch_log;
mod watch_wait;

pub use watch::EndpointWatcher;
pub use watch_wait::WatchWait;
