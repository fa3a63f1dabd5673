//! Startup: installs the signal handlers, reads the configuration, and builds and runs the parts of
//! the proxy.

mod error;

pub use error::StartupError;

use crate::clock::Clock;
use crate::config::{self, Config};
use crate::connection_pool::ConnectionPool;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::{EndpointWatcher, WatchWait};
use crate::driver::{Driver, DriverParts, DriverStatus};
use crate::memory_budget::{MemoryBudget, MemoryNeeds};
use crate::memory_log::MemoryLog;
use crate::message::DriverEvent;
use crate::reload::reload_on_sighup;
use crate::server::{Server, ServerConfig};
use brookstack_balancer::settings::Names;
use brookstack_balancer::EndpointUpdate;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};

/// The number of file descriptors that are reserved for the listener, discovery, signals, standard
/// streams and the runtime.
const RESERVED_DESCRIPTORS: usize = 32;

/// Runs the proxy on the calling thread until it has shut down.
///
/// The environment variable `BALANCER_CONFIG` names the configuration file. SIGHUP makes the proxy
/// reload the file. SIGTERM and SIGINT begin a graceful shutdown.
pub fn run() -> Result<(), StartupError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartupError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, serve())
}

async fn serve() -> Result<(), StartupError> {
    // The handlers are installed before any slow work, because a signal without a handler
    // terminates the process.
    let signals = Signals::install_handlers()?;
    let mut config = config::load()?;
    let listener = bind(config.listen).await?;

    let (events, event_receiver) = mpsc::unbounded_channel();
    let shared = Shared::new(events);
    let limits = ConnectionLimits::new(config.max_descriptors);
    let memory = Rc::new(new_memory_budget(&config, &limits));
    let pool = new_connection_pool(&shared, &config, limits.backends, memory.clone());
    let names = std::mem::take(&mut config.names);
    let server = new_server(&shared, &config, names, memory.clone(), pool.clone());
    let cached_endpoints = config.cached_endpoints.take();
    let watcher = new_watcher(&shared, &config, cached_endpoints.as_ref());
    send_cached_endpoints(&shared, cached_endpoints);
    let memory_log = MemoryLog::new(
        config.memory_limit_bytes,
        memory,
        server.clone(),
        pool.clone(),
    );
    let discovery = config.discovery;
    let document = std::mem::take(&mut config.document);
    let driver = new_driver(&shared, config, pool)?;

    spawn_driver(driver, event_receiver, shared.status);
    let (discovery_sender, discovery_addresses) = watch::channel(discovery);
    tokio::task::spawn_local(watcher.run(discovery_addresses));
    tokio::task::spawn_local(memory_log.run());
    tokio::task::spawn_local(reload_on_sighup(signals.hangup, document, discovery_sender));
    let shutdown_signal = wait_for_shutdown_signal(signals.terminate, signals.interrupt);
    server.run(listener, shutdown_signal).await;
    Ok(())
}

/// The streams of the signals that the proxy handles.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install_handlers() -> Result<Signals, StartupError> {
        Ok(Signals {
            hangup: install_handler(SignalKind::hangup(), "SIGHUP")?,
            terminate: install_handler(SignalKind::terminate(), "SIGTERM")?,
            interrupt: install_handler(SignalKind::interrupt(), "SIGINT")?,
        })
    }
}

fn install_handler(kind: SignalKind, name: &'static str) -> Result<Signal, StartupError> {
    signal(kind).map_err(|source| StartupError::Signal { name, source })
}

/// Returns when either signal arrives.
async fn wait_for_shutdown_signal(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartupError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartupError::Listen { address, source })
}

/// State that is shared by several parts of the proxy.
struct Shared {
    clock: Clock,
    /// Sends events to the driver.
    events: mpsc::UnboundedSender<DriverEvent>,
    /// The driver notifies the endpoint watcher with this when the balancer requests a poll of
    /// discovery.
    poll_requested: Rc<Notify>,
    /// The status that the driver reports to the server.
    status: Rc<DriverStatus>,
}

impl Shared {
    fn new(events: mpsc::UnboundedSender<DriverEvent>) -> Shared {
        Shared {
            clock: Clock::new(),
            events,
            poll_requested: Rc::default(),
            status: Rc::default(),
        }
    }
}

/// The maximum numbers of open connections. Clients and backends each get half of the file
/// descriptors that are not reserved.
struct ConnectionLimits {
    clients: usize,
    backends: usize,
}

impl ConnectionLimits {
    fn new(max_descriptors: usize) -> ConnectionLimits {
        let available = max_descriptors - RESERVED_DESCRIPTORS;
        let clients = available / 2;
        let backends = available - clients;
        ConnectionLimits { clients, backends }
    }
}

fn new_memory_budget(config: &Config, limits: &ConnectionLimits) -> MemoryBudget {
    let endpoints = config.cached_endpoints.as_ref();
    MemoryBudget::new(MemoryNeeds {
        limit_bytes: config.memory_limit_bytes,
        max_clients: limits.clients,
        max_backends: limits.backends,
        tenants: config.balancer.tenants.len(),
        endpoints: endpoints.map_or(0, |list| list.endpoints.len()),
    })
}

fn new_connection_pool(
    shared: &Shared,
    config: &Config,
    max_connections: usize,
    memory: Rc<MemoryBudget>,
) -> Rc<ConnectionPool> {
    Rc::new(ConnectionPool::new(
        shared.clock,
        config.connect_timeout,
        config.backend_idle_timeout,
        max_connections,
        memory,
    ))
}

fn new_server(
    shared: &Shared,
    config: &Config,
    names: Names,
    memory: Rc<MemoryBudget>,
    pool: Rc<ConnectionPool>,
) -> Rc<Server> {
    let server_config = ServerConfig {
        names,
        classes: config.balancer.classes.clone(),
        max_time_left: config.longest_deadline,
        tick: config.balancer.tick,
        memory_limit_bytes: config.memory_limit_bytes,
    };
    Rc::new(Server::new(
        server_config,
        shared.clock,
        memory,
        pool,
        shared.events.clone(),
        shared.status.clone(),
    ))
}

fn new_watcher(
    shared: &Shared,
    config: &Config,
    cached_endpoints: Option<&EndpointList>,
) -> EndpointWatcher {
    EndpointWatcher {
        mode: config.balancer.discovery,
        version: cached_endpoints.map(|list| list.version),
        poll_requested: shared.poll_requested.clone(),
        events: shared.events.clone(),
        needs_confirmation: true,
        max_list_bytes: config.max_list_bytes,
        random: Pcg32::seed_from_u64(config.seed),
        watch_wait: WatchWait::new(),
        confirmed_at: None,
    }
}

/// Sends the cached endpoint list to the driver, or an empty list if there is none. The balancer
/// acts only on events; without this first event it would never request a poll of discovery.
fn send_cached_endpoints(shared: &Shared, cached_endpoints: Option<EndpointList>) {
    let endpoints = cached_endpoints.map_or_else(Vec::new, |list| list.endpoints);
    let event = DriverEvent::EndpointsUpdated(EndpointUpdate::Cached, endpoints);
    let _ = shared.events.send(event); // cannot fail: `serve` still holds the receiver
}

fn new_driver(
    shared: &Shared,
    config: Config,
    pool: Rc<ConnectionPool>,
) -> Result<Driver, StartupError> {
    let driver = Driver::new(DriverParts {
        clock: shared.clock,
        balancer_config: config.balancer,
        seed: config.seed,
        max_pending_requests: config.max_pending_requests,
        pool,
        events: shared.events.clone(),
        poll_requested: shared.poll_requested.clone(),
        status: shared.status.clone(),
    });
    driver.map_err(StartupError::Settings)
}

/// Runs the driver in its own task. If that task panics, every request fails. The proxy then
/// reports that it is not ready, so that it receives no more requests.
fn spawn_driver(
    driver: Driver,
    events: mpsc::UnboundedReceiver<DriverEvent>,
    status: Rc<DriverStatus>,
) {
    let driver_task = tokio::task::spawn_local(driver.run(events));
    tokio::task::spawn_local(async move {
        if let Err(error) = driver_task.await {
            tracing::error!(
                "the load-balancing driver failed; until a restart the proxy fails all requests \
                 and reports that it is not ready: {error}"
            );
        }
        status.serving.set(false);
    });
}
