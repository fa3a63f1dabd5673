//! The pool of connections to all backends. It limits the number of sockets and the number of idle
//! connections, and reuses idle connections.

use crate::backend_connection::{BackendConnection, ConnectionResources};
use crate::clock::{duration, Clock};
use crate::connection_log::{CloseReason, ConnectionRecord};
use crate::connection_monitor::ConnectionMonitor;
use crate::count_guard::CountGuard;
use crate::discovery::endpoint_list::ResolvedEndpoint;
use crate::idle_connection::IdleConnection;
use crate::memory_budget::{MemoryBudget, Share, BACKEND_CONNECTION_BYTES};
use crate::upstream::Upstream;
use brookstack_balancer::{BackendProcess, Micros, Outcome, Time, MAX_LAG};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// Idle connections are closed after this fraction of the backends' own idle timeout, because a
/// request that is written while the backend closes the connection would end as a reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;
/// The Linux error number for too many open files in the system.
const ENFILE: i32 = 23;
/// The Linux error number for too many open files in the process.
const EMFILE: i32 = 24;

/// Why no connection to a backend could be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The proxy has no free socket, or no memory for another connection. This does not count
    /// against the backend.
    #[error("no free socket or no memory for a connection to the backend")]
    NoFreeSocket,
    /// The backend refused the connection or did not accept it within the time limit, or HTTP could
    /// not be set up on it.
    #[error("could not connect to the backend")]
    Failed,
}

impl From<ConnectError> for Outcome {
    fn from(error: ConnectError) -> Outcome {
        match error {
            ConnectError::NoFreeSocket => Outcome::NotSent,
            ConnectError::Failed => Outcome::ConnectFailed,
        }
    }
}

/// An idle connection that was taken from the pool.
pub struct ReusedConnection {
    /// The time at which its last request ended, or at which it was established if it has not been
    /// used.
    pub idle_since: Time,
    /// The connection, which can take a request.
    pub connection: BackendConnection,
}

/// The pool of connections to all backends, shared by all attempts.
pub struct ConnectionPool {
    /// The clock for idle times and deadlines.
    pub clock: Clock,
    connect_timeout: Micros,
    idle_timeout: Micros,
    /// The number of open sockets to backends.
    sockets: Rc<Cell<usize>>,
    max_sockets: usize,
    memory: Rc<MemoryBudget>,
    /// The number of idle connections.
    idle_connections: Rc<Cell<usize>>,
    max_idle: Cell<usize>,
    /// What all connections report to.
    pub monitor: Rc<ConnectionMonitor>,
    /// The upstreams that may have idle connections, usually a small part of the endpoint list.
    upstreams_with_idle: RefCell<VecDeque<Rc<Upstream>>>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    ///
    /// `backend_idle_timeout` is the time after which backends close an idle connection at the
    /// latest.
    /// `max_sockets` limits the number of all connections, including idle ones. Their memory is
    /// reserved from `memory`.
    pub fn new(
        clock: Clock,
        connect_timeout: Micros,
        backend_idle_timeout: Micros,
        max_sockets: usize,
        memory: Rc<MemoryBudget>,
    ) -> ConnectionPool {
        ConnectionPool {
            clock,
            connect_timeout,
            idle_timeout: backend_idle_timeout.times(IDLE_TIMEOUT_FRACTION),
            sockets: Rc::default(),
            max_sockets,
            memory,
            idle_connections: Rc::default(),
            max_idle: Cell::new(usize::MAX),
            monitor: Rc::new(ConnectionMonitor::new(clock)),
            upstreams_with_idle: RefCell::default(),
        }
    }

    /// The number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.idle_connections.get()
    }

    /// The number of open sockets, including those of idle connections and of connects under way.
    pub fn sockets(&self) -> usize {
        self.sockets.get()
    }

    /// Limits the number of idle connections, and closes connections beyond the limit.
    pub fn set_max_idle(&self, max_idle: usize) {
        self.max_idle.set(max_idle);
        let excess = self.idle_connections.get().saturating_sub(max_idle);
        self.close_idle(excess, CloseReason::IdleLimit);
    }

    /// Closes `count` idle connections, or all if there are fewer. Returns the backend address of
    /// the last connection that was closed, or `None` if none was.
    pub fn close_idle(&self, count: usize, reason: CloseReason) -> Option<SocketAddr> {
        let mut remaining = count;
        let mut last_closed = None;
        for upstream in self.upstreams_with_idle.borrow().iter() {
            while remaining > 0 {
                let Some(idle) = upstream.idle.borrow_mut().pop() else {
                    break;
                };
                if idle.close(reason) {
                    remaining -= 1;
                    last_closed = Some(upstream.target.address);
                }
            }
        }
        last_closed
    }

    /// Whether the limit on sockets is reached, or no memory is left for a connection. Then a
    /// connection must be closed before another can be opened.
    pub fn is_full(&self) -> bool {
        let has_memory = self
            .memory
            .has_room(Share::Connections, BACKEND_CONNECTION_BYTES);
        self.sockets.get() >= self.max_sockets || !has_memory
    }

    /// Takes the upstream's most recently used idle connection that may be reused. Connections that
    /// have been idle for too long or that the backend has closed are dropped. Returns `None` if no
    /// usable one is left.
    pub async fn take_idle(&self, upstream: &Upstream) -> Option<ReusedConnection> {
        while let Some(idle) = self.take_rested(upstream) {
            let idle_since = idle.idle_since;
            let Some(mut connection) = idle.take() else {
                continue;
            };
            if !self.is_fresh(idle_since) {
                connection.close(CloseReason::IdleTimeout);
            } else if connection.is_reusable().await {
                return Some(ReusedConnection {
                    idle_since,
                    connection,
                });
            } else {
                connection.close_unusable();
            }
        }
        None
    }

    /// The next time after now at which an idle connection to the upstream will have rested.
    pub fn next_rested_at(&self, upstream: &Upstream) -> Option<Time> {
        let now = self.clock.now();
        let idle = upstream.idle.borrow();
        let rested_at = |connection: &IdleConnection| {
            connection.map_open(|open| {
                let rested_at = self.monitor.reusable_from(&open.record);
                rested_at.filter(|_| !open.is_spent())
            })
        };
        idle.iter()
            .filter_map(rested_at)
            .filter(|at| *at > now)
            .min()
    }

    fn take_rested(&self, upstream: &Upstream) -> Option<IdleConnection> {
        let mut idle = upstream.idle.borrow_mut();
        let may_reuse = |connection: &IdleConnection| {
            connection.is_open_and(|open| !open.is_spent() && self.monitor.may_reuse(&open.record))
        };
        let index = idle.iter().rposition(may_reuse)?;
        Some(idle.remove(index))
    }

    /// Keeps a connection for another request if the upstream still accepts requests and the limit
    /// on idle connections is not reached. Otherwise closes the connection. A spent connection is
    /// kept for a while to see whether bytes follow its last response.
    pub fn put_back(
        &self,
        upstream: &Rc<Upstream>,
        idle_since: Time,
        connection: BackendConnection,
    ) {
        if !upstream.accepts_requests() {
            connection.close(CloseReason::BackendNotAccepting);
            return;
        }
        if self.idle_connections.get() >= self.max_idle.get() {
            connection.close(CloseReason::IdleLimit);
            return;
        }
        if !self.monitor.keeps_connections() {
            connection.close(CloseReason::NotKept);
            return;
        }
        let count = CountGuard::new(&self.idle_connections);
        let mut idle = upstream.idle.borrow_mut();
        idle.retain(IdleConnection::is_open);
        idle.push(IdleConnection::new(idle_since, connection, count));
        if !upstream.listed_by_pool.replace(true) {
            self.upstreams_with_idle
                .borrow_mut()
                .push_back(upstream.clone());
        }
    }

    /// Opens a new connection to a backend.
    pub async fn connect(
        &self,
        target: &ResolvedEndpoint,
    ) -> Result<BackendConnection, ConnectError> {
        let resources = self.reserve_connection()?;
        let timeout = duration(self.connect_timeout);
        let connect = TcpStream::connect(target.address);
        let stream = match tokio::time::timeout(timeout, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if is_out_of_descriptors(&error) => {
                return Err(ConnectError::NoFreeSocket)
            }
            Ok(Err(_)) | Err(_) => return Err(ConnectError::Failed),
        };
        let _ = stream.set_nodelay(true);
        let record = ConnectionRecord {
            backend: target.name.clone(),
            process: BackendProcess {
                backend: target.endpoint.id,
                started_at: target.endpoint.started_at,
            },
            address: target.address,
            established_at: self.clock.now(),
            requests: 0,
            first_response_at: None,
            last_response: None,
        };
        let (monitor, memory) = (self.monitor.clone(), self.memory.clone());
        BackendConnection::handshake(stream, record, self.clock, monitor, memory, resources)
            .await
            .map_err(|_| ConnectError::Failed)
    }

    fn reserve_connection(&self) -> Result<ConnectionResources, ConnectError> {
        if self.sockets.get() >= self.max_sockets {
            return Err(ConnectError::NoFreeSocket);
        }
        let memory = self
            .memory
            .try_reserve(Share::Connections, BACKEND_CONNECTION_BYTES)
            .ok_or(ConnectError::NoFreeSocket)?;
        let socket = CountGuard::new(&self.sockets);
        Ok(ConnectionResources::new(socket, memory))
    }

    /// Closes the connections that have been idle for too long. Only upstreams that may have idle
    /// connections are visited. The task yields after each upstream, so that other tasks can run.
    pub async fn close_expired(&self) {
        let upstream_count = self.upstreams_with_idle.borrow().len();
        for _ in 0..upstream_count {
            let Some(upstream) = self.upstreams_with_idle.borrow_mut().pop_front() else {
                return;
            };
            self.close_expired_of(&upstream);
            if upstream.idle.borrow().is_empty() {
                upstream.listed_by_pool.set(false);
            } else {
                self.upstreams_with_idle.borrow_mut().push_back(upstream);
            }
            tokio::task::yield_now().await;
        }
    }

    /// Whether a connection that became idle at `idle_since` has not been idle for too long.
    fn is_fresh(&self, idle_since: Time) -> bool {
        self.clock.now() - idle_since < self.idle_timeout
    }

    fn may_stay(&self, connection: &IdleConnection) -> bool {
        let is_watched = self.clock.now() - connection.idle_since < MAX_LAG;
        self.is_fresh(connection.idle_since) && (is_watched || !connection.is_spent())
    }

    fn close_expired_of(&self, upstream: &Upstream) {
        let idle = std::mem::take(&mut *upstream.idle.borrow_mut());
        let open = idle.into_iter().filter(IdleConnection::is_open);
        let (fresh, expired): (Vec<_>, Vec<_>) =
            open.partition(|connection| self.may_stay(connection));
        *upstream.idle.borrow_mut() = fresh;
        for connection in expired {
            connection.close(CloseReason::IdleTimeout);
        }
    }
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

#[cfg(test)]
mod tests;
