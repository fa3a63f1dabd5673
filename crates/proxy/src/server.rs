//! The client side of the proxy: accepts connections, reads requests and writes their responses.
//!
//! - `listener` accepts connections until the shutdown, `shutdown` drains them;
//! - `connection_table` holds the open connections and limits their number;
//! - `client_connection` is the state of one connection, `connection_task` serves it;
//! - `client_socket` is its socket, which notices a disconnect even behind unread bytes;
//! - `request_handler` takes a request from its head to its final response, with
//!   `request_validation` and `body_memory`.

mod body_memory;
mod client_connection;
mod client_socket;
mod connection_table;
mod connection_task;
mod listener;
mod request_handler;
mod request_validation;
mod shutdown;

use crate::clock::Clock;
use crate::driver::Status;
use crate::message::DriverEvent;
use body_memory::BodyMemory;
use brookstack_balancer::settings::Names;
use brookstack_balancer::{Class, Micros};
use connection_table::ConnectionTable;
use hyper::header::HeaderValue;
use request_validation::RequestRules;
use shutdown::Shutdown;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

/// The interval at which connections are checked for timeouts.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The part of the configuration that concerns clients.
pub struct ServerConfig {
    /// The names of classes and tenants.
    pub names: Names,
    /// The classes, by `ClassId`.
    pub classes: Vec<Class>,
    /// The longest time that a client may wait for a response; a longer one is reduced to it.
    pub max_time_left: Micros,
    /// The tick of the balancer.
    pub tick: Micros,
    /// The client connections that may be open at a time.
    pub max_connections: usize,
    /// The memory that the bodies of all open requests may hold together, in bytes.
    pub max_body_memory: usize,
}

/// Serves clients; the tasks of all connections share it.
pub struct Server {
    clock: Clock,
    rules: RequestRules,
    tick: Micros,
    body_memory: BodyMemory,
    driver_events: mpsc::UnboundedSender<DriverEvent>,
    status: Rc<Status>,
    last_id: Cell<u64>,
    /// The shutdown that SIGTERM has begun.
    shutdown: Cell<Option<Shutdown>>,
    connections: ConnectionTable,
    /// The clients' own identifiers of the requests that are open.
    open_correlation_ids: RefCell<HashSet<HeaderValue>>,
}

impl Server {
    /// Creates a server that hands its requests to the driver at the other end of `driver_events`.
    pub fn new(
        config: ServerConfig,
        clock: Clock,
        driver_events: mpsc::UnboundedSender<DriverEvent>,
        status: Rc<Status>,
    ) -> Server {
        Server {
            clock,
            rules: RequestRules {
                names: config.names,
                classes: config.classes,
                max_time_left: config.max_time_left,
            },
            tick: config.tick,
            body_memory: BodyMemory::new(config.max_body_memory),
            driver_events,
            status,
            last_id: Cell::new(0),
            shutdown: Cell::new(None),
            connections: ConnectionTable::new(config.max_connections),
            open_correlation_ids: RefCell::default(),
        }
    }

    /// Serves clients until the shutdown signal. Returns when all requests that were received have
    /// been answered.
    pub async fn run(
        self: Rc<Self>,
        listener: TcpListener,
        shutdown_signal: impl Future<Output = ()>,
    ) {
        let mut overdue_check = tokio::time::interval(OVERDUE_CHECK_INTERVAL);
        overdue_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.accept_until_shutdown(&listener, shutdown_signal, &mut overdue_check)
            .await;
        self.drain(listener, &mut overdue_check).await;
    }

    /// An identifier that no connection and no request of this server has yet.
    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }
}
