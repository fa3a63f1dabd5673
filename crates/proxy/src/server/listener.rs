//! Accepts client connections until a short time after the shutdown signal.

use super::shutdown::Shutdown;
use super::Server;
use crate::connection_log::CloseReason;
use crate::memory_budget::{Reservation, Share, CLIENT_CONNECTION_BYTES};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, Interval};

/// The time after the shutdown signal during which new connections are still accepted, because
/// clients keep connecting until they learn that the proxy is shutting down.
const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// The pause after a failed accept. The process may have run out of file descriptors, so an
/// immediate retry would fail as well.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The pause after which another connection may be evicted if none could be, or if the one that was
/// asked to close is still open.
const EVICTION_RETRY_DELAY: Duration = Duration::from_millis(5);

impl Server {
    /// Records the start of the shutdown and the deadlines that follow from it.
    fn begin_shutdown(&self) {
        let shutdown = Shutdown::begin(self.clock.now(), self.rules.max_time_left);
        self.shutdown.set(Some(shutdown));
    }

    /// Reserves the memory of another client connection, before it is accepted; `None` if the limit
    /// on their number is reached or there is no memory. Idle connections to backends are closed if
    /// they hold the memory.
    pub(super) fn reserve_connection(&self) -> Option<Reservation> {
        if self.connections.is_full() {
            return None;
        }
        loop {
            let memory = self
                .memory
                .try_reserve(Share::Connections, CLIENT_CONNECTION_BYTES);
            if memory.is_some() {
                return memory;
            }
            self.pool.close_idle(1, CloseReason::MemoryNeeded)?;
        }
    }

    /// Accepts connections until [`SHUTDOWN_ACCEPT_PERIOD`] after the shutdown signal. Meanwhile it
    /// closes connections that have timed out, and evicts one if the limit on connections is
    /// reached or an accept fails.
    pub(super) async fn accept_until_shutdown(
        self: &Rc<Self>,
        listener: &TcpListener,
        shutdown_signal: impl Future<Output = ()>,
        timeout_check: &mut Interval,
    ) {
        tokio::pin!(shutdown_signal);
        let accept_end = tokio::time::sleep(Duration::MAX);
        tokio::pin!(accept_end);
        let mut next_memory = None;
        loop {
            next_memory = next_memory.or_else(|| self.reserve_connection());
            let is_full = next_memory.is_none();
            if is_full {
                self.connections.evict_one(self.clock.now());
            }
            let is_shutting_down = self.shutdown.get().is_some();
            tokio::select! {
                biased;
                () = &mut shutdown_signal, if !is_shutting_down => {
                    self.begin_shutdown();
                    accept_end.as_mut().reset(Instant::now() + SHUTDOWN_ACCEPT_PERIOD);
                }
                () = &mut accept_end, if is_shutting_down => return,
                _ = timeout_check.tick() => self.connections.close_timed_out(self.clock.now()),
                () = self.connections.connection_closed() => {}
                () = tokio::time::sleep(EVICTION_RETRY_DELAY), if is_full => {}
                accepted = listener.accept(), if !is_full => {
                    self.handle_accepted(accepted, &mut next_memory).await;
                }
            }
        }
    }

    /// Serves an accepted connection with the memory that was reserved for it. After a failed
    /// accept it makes room and pauses.
    async fn handle_accepted(
        self: &Rc<Self>,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        memory: &mut Option<Reservation>,
    ) {
        match accepted {
            Ok((stream, _)) => {
                if let Some(memory) = memory.take() {
                    self.clone().spawn_connection(stream, memory);
                }
            }
            Err(error) => {
                tracing::warn!(
                    "accepting a client connection failed, \
                     retrying in {ACCEPT_RETRY_DELAY:?}: {error}"
                );
                self.connections.evict_one(self.clock.now());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
