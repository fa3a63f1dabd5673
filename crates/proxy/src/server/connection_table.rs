//! The open client connections and the limit on their number.

use super::client_connection::{
    BodyProgress, ClientConnection, CloseCause, ConnectionPhase, EvictionRank,
};
use brookstack_balancer::{Micros, Time};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The time for which a body keeps its memory, however slowly it arrives and whoever needs it.
const MIN_CANCELLATION_AGE: Micros = Micros(100_000);

/// The open client connections, ordered by identifier and thus by the time they were accepted.
pub(super) struct ConnectionTable {
    max_connections: usize,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    connection_closed: Notify,
}

impl ConnectionTable {
    /// Creates an empty table with a limit of `max_connections`.
    pub(super) fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable {
            max_connections,
            connections: RefCell::default(),
            connection_closed: Notify::new(),
        }
    }

    /// Whether no connection is open.
    pub(super) fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Whether the limit on connections is reached.
    pub(super) fn is_full(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections
    }

    /// Adds a connection. The caller checks the limit with [`ConnectionTable::is_full`] first.
    pub(super) fn insert(&self, id: u64, connection: Rc<ClientConnection>) {
        self.connections.borrow_mut().insert(id, connection);
    }

    /// Returns a guard that removes a connection from the table when it is dropped.
    pub(super) fn guard(&self, id: u64) -> ConnectionGuard<'_> {
        ConnectionGuard { id, table: self }
    }

    /// Completes when a connection has closed.
    pub(super) async fn connection_closed(&self) {
        self.connection_closed.notified().await;
    }

    /// Asks each connection that has waited too long for the head of a request to close. Called at
    /// regular times.
    pub(super) fn close_timed_out(&self, now: Time) {
        for connection in self.connections.borrow().values() {
            connection.update_partial_since(now);
        }
        self.close_where(now, CloseCause::HeadTimeout, |connection| {
            connection.head_timed_out(now)
        });
    }

    /// Asks each connection that matches the predicate to close.
    pub(super) fn close_where(
        &self,
        now: Time,
        cause: CloseCause,
        predicate: impl Fn(&ClientConnection) -> bool,
    ) {
        for connection in self.connections.borrow().values() {
            if predicate(connection) {
                connection.request_close(now, cause);
            }
        }
    }

    /// Asks the connection to close that has the least to lose: the one that has been idle longest,
    /// or if none is idle, the one with the least progress of its request. New clients must be able
    /// to connect even if others hold all connections. While all idle connections are too new to be
    /// evicted, none is closed.
    pub(super) fn evict_one(&self, now: Time) {
        let connections = self.connections.borrow();
        let ranked: Vec<(EvictionRank, &Rc<ClientConnection>)> = connections
            .values()
            .filter_map(|connection| Some((connection.eviction_rank(now)?, connection)))
            .collect();
        let has_idle = ranked.iter().any(|(rank, _)| rank.is_idle());
        let candidates = ranked.iter().filter(|(rank, connection)| {
            rank.is_idle() == has_idle && connection.may_be_evicted(now)
        });
        if let Some((_, connection)) = candidates.min_by_key(|(rank, _)| *rank) {
            connection.request_close(now, CloseCause::Evicted);
        }
    }

    /// Cancels the bodies that have arrived slowest for their age, until their reserved memory is
    /// at least `needed_bytes`. Those that began less than [`MIN_CANCELLATION_AGE`] ago are spared.
    pub(super) fn cancel_slowest_bodies(&self, now: Time, needed_bytes: usize) {
        let connections = self.connections.borrow();
        let mut bodies: Vec<(BodyProgress, &ClientConnection)> = Vec::new();
        for connection in connections.values() {
            let progress = connection.body_progress(now);
            if let Some(progress) = progress.filter(|body| body.age >= MIN_CANCELLATION_AGE) {
                bodies.push((progress, connection));
            }
        }
        bodies.sort_by(|(a, _), (b, _)| a.bytes_per_second().total_cmp(&b.bytes_per_second()));
        let mut released_bytes = 0;
        for (progress, connection) in bodies {
            if released_bytes >= needed_bytes {
                return;
            }
            released_bytes += progress.reserved_bytes;
            connection.cancel_body();
        }
    }

    /// Counts the open connections by what they wait for.
    pub(super) fn counts(&self) -> ConnectionCounts {
        let mut counts = ConnectionCounts::default();
        for connection in self.connections.borrow().values() {
            let count = match connection.phase() {
                ConnectionPhase::AwaitingHead { .. } => &mut counts.awaiting_head,
                ConnectionPhase::ReadingBody => &mut counts.reading_body,
                ConnectionPhase::AwaitingResponse => &mut counts.awaiting_response,
            };
            *count += 1;
        }
        counts
    }
}

/// The numbers of client connections by what they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Waiting for the head of a request.
    pub awaiting_head: usize,
    /// Waiting for the body of a request.
    pub reading_body: usize,
    /// Waiting for the response to a complete request.
    pub awaiting_response: usize,
}

/// Removes a connection from the table when its task ends, even if the task panics.
pub(super) struct ConnectionGuard<'a> {
    id: u64,
    table: &'a ConnectionTable,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.id);
        self.table.connection_closed.notify_one();
    }
}
