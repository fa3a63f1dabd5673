//! Graceful shutdown: computes its deadlines, drains the accept queue and closes the open
//! connections.

use super::client_connection::CloseCause;
use super::{Server, TIMEOUT_CHECK_INTERVAL};
use crate::clock::duration;
use brookstack_balancer::{Micros, Time};
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, Interval};

/// The time after the shutdown signal during which an accepted connection may send its first
/// request. The process may be killed before it could respond to a later one.
const FIRST_REQUEST_PERIOD: Micros = Micros(700_000);
/// The time between the longest deadline of the requests that arrived before the shutdown signal
/// and the moment at which the process may be killed.
const KILL_GRACE_PERIOD: Micros = Micros(700_000);
/// The upper bound on the longest deadline in the computation of when the process may be killed.
const KILL_MAX_TIME_LEFT: Micros = Micros(3_000_000);
/// The time between the latest response to a request that arrives after the shutdown signal and the
/// moment at which the process may be killed. The response needs this time to cross the network.
const RESPONSE_TRANSIT_MARGIN: Micros = Micros(100_000);

/// A graceful shutdown that has begun.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    began_at: Time,
    /// The latest deadline of requests that arrive during the shutdown. The process may be killed
    /// [`RESPONSE_TRANSIT_MARGIN`] later.
    pub(super) response_deadline: Time,
}

impl Shutdown {
    /// Creates a shutdown that begins at `now`. `max_time_left` is the longest time that a client
    /// waits for a response.
    pub(super) fn begin(now: Time, max_time_left: Micros) -> Shutdown {
        let kill_at = now + max_time_left.min(KILL_MAX_TIME_LEFT) + KILL_GRACE_PERIOD;
        Shutdown {
            began_at: now,
            response_deadline: Time(kill_at.0 - RESPONSE_TRANSIT_MARGIN.0),
        }
    }

    /// Whether it is too late for a connection to send its first request.
    fn is_first_request_period_over(&self, now: Time) -> bool {
        now - self.began_at >= FIRST_REQUEST_PERIOD
    }
}

impl Server {
    /// Accepts the connections that are left in the accept queue, and closes each connection once
    /// its requests are answered. Returns when the queue is empty and all connections are closed,
    /// or when the deadlines of all requests have passed.
    pub(super) async fn drain(
        self: &Rc<Self>,
        listener: TcpListener,
        timeout_check: &mut Interval,
    ) {
        let mut listener = listener.into_std().ok();
        // Requests that arrived before the shutdown signal keep their full time. Later requests
        // have earlier deadlines.
        let drain_deadline =
            Instant::now() + duration(self.rules.max_time_left + KILL_GRACE_PERIOD);
        loop {
            listener = listener.filter(|listener| self.accept_queued(listener));
            let is_drained = listener.is_none() && self.connections.is_empty();
            if is_drained || Instant::now() >= drain_deadline {
                return;
            }
            self.close_idle_connections();
            tokio::select! {
                _ = timeout_check.tick() => self.connections.close_timed_out(self.clock.now()),
                () = self.connections.connection_closed() => {}
            }
        }
    }

    /// Asks each connection to close that waits for the head of a request, except for connections
    /// that may still send their first request, or have sent a part of one.
    fn close_idle_connections(&self) {
        let now = self.clock.now();
        let shutdown = self.shutdown.get();
        let is_first_request_period_over =
            shutdown.is_some_and(|shutdown| shutdown.is_first_request_period_over(now));
        self.connections
            .close_where(now, CloseCause::Shutdown, |connection| {
                let may_send_first_request =
                    !connection.has_served_request() && !is_first_request_period_over;
                let may_still_send = may_send_first_request || connection.has_partial_request();
                connection.is_awaiting_head() && !may_still_send
            });
    }

    /// Accepts connections from the kernel's accept queue until the queue is empty, the limit on
    /// connections is reached or an error occurs. The kernel has completed the handshakes of queued
    /// connections, so their clients may already be sending requests, even if the runtime has not
    /// been notified of the connections yet. Returns whether the queue may hold more connections.
    fn accept_queued(self: &Rc<Self>, listener: &std::net::TcpListener) -> bool {
        while let Some(memory) = self.reserve_connection() {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream
                    .set_nonblocking(true)
                    .and_then(|()| TcpStream::from_std(stream)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) => Err(error),
            };
            match stream {
                Ok(stream) => self.clone().spawn_connection(stream, memory),
                Err(error) => {
                    tracing::warn!(
                        "accepting a client connection failed during the shutdown, \
                         retrying within {TIMEOUT_CHECK_INTERVAL:?}: {error}"
                    );
                    break;
                }
            }
        }
        true
    }
}
