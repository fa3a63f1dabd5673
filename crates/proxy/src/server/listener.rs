//! Accepts client connections until a short time after the shutdown signal.

use super::shutdown::Shutdown;
use super::Server;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, Interval};

/// The time after the shutdown signal during which new connections are still accepted, because
/// clients keep connecting until they learn that the proxy is shutting down.
const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// The pause after a failed accept. The process may have run out of file descriptors, so an
/// immediate retry would fail as well.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Server {
    /// Records the start of the shutdown and the deadlines that follow from it.
    fn begin_shutdown(&self) {
        let shutdown = Shutdown::begin(self.clock.now(), self.rules.max_time_left);
        self.shutdown.set(Some(shutdown));
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
        loop {
            let is_full = self.connections.is_full();
            if is_full {
                self.connections.evict_longest_idle(self.clock.now());
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
                accepted = listener.accept(), if !is_full => match accepted {
                    Ok((stream, _)) => self.clone().spawn_connection(stream),
                    Err(error) => {
                        tracing::warn!(
                            "accepting a client connection failed, \
                             retrying in {ACCEPT_RETRY_DELAY:?}: {error}"
                        );
                        self.connections.evict_longest_idle(self.clock.now());
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
            }
        }
    }
}
