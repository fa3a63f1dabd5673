//! The client side of the proxy: accepts connections, reads requests and writes their responses.
//!
//! - `listener` accepts connections until shortly after the shutdown signal;
//! - `shutdown` drains the accept queue and closes the open connections;
//! - `connection_table` holds the open connections and limits their number;
//! - `client_connection` holds the state of one connection;
//! - `connection_task` serves one connection;
//! - `client_socket` wraps the socket and detects a disconnect even if unread bytes precede it;
//! - `request_handler` handles a request from its head to its final response;
//! - `request_validation` checks the head of a request and extracts its metadata;
//! - `request_memory` reserves the memory for the content of a request.

mod client_connection;
mod client_socket;
mod connection_table;
mod connection_task;
mod listener;
mod request_handler;
mod request_memory;
mod request_validation;
mod shutdown;

use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::driver::DriverStatus;
use crate::memory_budget::MemoryBudget;
use crate::message::DriverEvent;
use crate::open_ids::OpenIds;
use brookstack_balancer::settings::Names;
use brookstack_balancer::{Class, Micros};
use connection_table::{ConnectionCounts, ConnectionTable};
use request_validation::RequestRules;
use shutdown::Shutdown;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

/// The interval at which connections are checked for timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The part of the configuration that concerns clients.
pub struct ServerConfig {
    /// Maps the configured names of classes and tenants to their identifiers.
    pub names: Names,
    /// The classes, indexed by `ClassId`.
    pub classes: Vec<Class>,
    /// The longest time that a client may wait for a response. A longer `X-Time-Left-Ms` is reduced
    /// to it.
    pub max_time_left: Micros,
    /// The length of the balancer's tick.
    pub tick: Micros,
    /// The memory limit of the process, in bytes.
    pub memory_limit_bytes: usize,
}

/// Serves clients. The tasks of all client connections share one server.
pub struct Server {
    clock: Clock,
    rules: RequestRules,
    tick: Micros,
    memory: Rc<MemoryBudget>,
    /// The pool that gives memory back if client connections need it.
    pool: Rc<ConnectionPool>,
    driver_events: mpsc::UnboundedSender<DriverEvent>,
    status: Rc<DriverStatus>,
    /// The identifier that was last given to a connection or a request.
    last_id: Cell<u64>,
    /// Set when SIGTERM or SIGINT has begun a graceful shutdown.
    shutdown: Cell<Option<Shutdown>>,
    connections: ConnectionTable,
    /// The correlation identifiers of the open requests.
    open_ids: Rc<OpenIds>,
}

impl Server {
    /// Creates a server that sends its requests to the driver through `driver_events`. Connections
    /// and the content of requests take their memory from `memory`, which idle connections of
    /// `pool` give back if it is needed.
    pub fn new(
        config: ServerConfig,
        clock: Clock,
        memory: Rc<MemoryBudget>,
        pool: Rc<ConnectionPool>,
        driver_events: mpsc::UnboundedSender<DriverEvent>,
        status: Rc<DriverStatus>,
    ) -> Server {
        Server {
            clock,
            rules: RequestRules {
                names: config.names,
                classes: config.classes,
                max_time_left: config.max_time_left,
            },
            tick: config.tick,
            driver_events,
            status,
            last_id: Cell::new(0),
            shutdown: Cell::new(None),
            connections: ConnectionTable::new(memory.max_clients()),
            memory,
            pool,
            open_ids: Rc::new(OpenIds::new(config.memory_limit_bytes)),
        }
    }

    /// Serves clients until the shutdown signal, then drains. Returns when all client connections
    /// are closed, or when the deadline of the drain has passed.
    pub async fn run(
        self: Rc<Self>,
        listener: TcpListener,
        shutdown_signal: impl Future<Output = ()>,
    ) {
        let mut timeout_check = tokio::time::interval(TIMEOUT_CHECK_INTERVAL);
        timeout_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.accept_until_shutdown(&listener, shutdown_signal, &mut timeout_check)
            .await;
        self.drain(listener, &mut timeout_check).await;
    }

    /// Counts the open client connections by what they wait for.
    pub fn connection_counts(&self) -> ConnectionCounts {
        self.connections.counts()
    }

    /// The number of correlation identifiers that are open.
    pub fn open_ids(&self) -> usize {
        self.open_ids.len()
    }

    /// Returns an identifier that no connection and no request of this server has had.
    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }
}
