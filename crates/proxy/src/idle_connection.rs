//! A connection that is kept for another request, and the task that watches it.

use crate::backend_connection::BackendConnection;
use crate::connection_log::CloseReason;
use crate::count_guard::CountGuard;
use brookstack_balancer::Time;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use tokio::task::AbortHandle;

/// An open connection, counted among the pool's idle connections.
struct OpenConnection {
    connection: BackendConnection,
    _count: CountGuard,
}

/// A connection that is shared by its owner and the task that watches it. It is empty after either
/// has taken it.
type SharedConnection = Rc<RefCell<Option<OpenConnection>>>;

/// A connection without a request under way. A task closes it as soon as the backend closes it or
/// sends bytes that no request asked for.
pub struct IdleConnection {
    /// The time at which its last request ended, or at which it was established if it has not been
    /// used.
    pub idle_since: Time,
    connection: SharedConnection,
    watcher: AbortHandle,
}

impl IdleConnection {
    /// Keeps a connection and watches it in a local task. `count` counts it while it is open.
    pub fn new(
        idle_since: Time,
        connection: BackendConnection,
        count: CountGuard,
    ) -> IdleConnection {
        let open = OpenConnection {
            connection,
            _count: count,
        };
        let connection = Rc::new(RefCell::new(Some(open)));
        let task = tokio::task::spawn_local(close_when_ended(connection.clone()));
        IdleConnection {
            idle_since,
            connection,
            watcher: task.abort_handle(),
        }
    }

    /// Whether the connection is still open.
    pub fn is_open(&self) -> bool {
        self.is_open_and(|_| true)
    }

    /// Whether the connection is still open and `is_wanted` holds for it.
    pub fn is_open_and(&self, is_wanted: impl FnOnce(&BackendConnection) -> bool) -> bool {
        let open = self.connection.borrow();
        open.as_ref()
            .is_some_and(|open| is_wanted(&open.connection))
    }

    /// What `get` returns for the connection, if it is still open.
    pub fn map_open<T>(&self, get: impl FnOnce(&BackendConnection) -> Option<T>) -> Option<T> {
        let open = self.connection.borrow();
        open.as_ref().and_then(|open| get(&open.connection))
    }

    /// Whether it is only watched for bytes behind its last response.
    pub fn is_spent(&self) -> bool {
        self.is_open_and(BackendConnection::is_spent)
    }

    /// Takes the connection out; `None` if it was closed.
    pub fn take(self) -> Option<BackendConnection> {
        let open = self.connection.borrow_mut().take();
        open.map(|open| open.connection)
    }

    /// Closes the connection. Returns whether it was still open.
    pub fn close(self, reason: CloseReason) -> bool {
        let connection = self.take();
        let was_open = connection.is_some();
        if let Some(connection) = connection {
            connection.close(reason);
        }
        was_open
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        self.watcher.abort();
    }
}

async fn close_when_ended(connection: SharedConnection) {
    poll_fn(|cx| match connection.borrow_mut().as_mut() {
        Some(open) => open.connection.poll_following(cx),
        None => Poll::Ready(()),
    })
    .await;
    let ended = connection.borrow_mut().take();
    if let Some(ended) = ended {
        ended.connection.close_unusable();
    }
}
