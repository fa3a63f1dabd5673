//! The task of one client connection. It runs hyper's HTTP/1 connection until the connection must
//! close, and then closes it.

use super::client_connection::{ClientConnection, CloseCause, ConnectionPhase};
use super::client_socket::ClientSocket;
use super::Server;
use crate::forwarded_request::MAX_BODY_BYTES;
use crate::log_target;
use crate::memory_budget::Reservation;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The maximum size of a request's head, in bytes. Typical heads are several times smaller.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum number of bytes that a lingering close discards. A lingering close follows the
/// response to a rejected request, an error of the connection, or discarded bytes. An immediate
/// close would reset the connection if more bytes arrived, and the client could lose the response.
const MAX_LINGER_BYTES: usize = 4 * MAX_BODY_BYTES;
/// The maximum duration of a lingering close. Without a limit, a client that keeps sending would
/// keep its connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The size of the buffer into which a lingering close reads the bytes that it discards.
const LINGER_BUFFER_BYTES: usize = 8 << 10;

/// Why a connection has stopped serving requests.
enum ServeEnd {
    /// hyper has finished with the connection: all responses are written, or an error occurred.
    Finished(hyper::Result<()>),
    /// The connection must be dropped without writing anything more.
    Aborted(AbortReason),
}

/// Why a connection is dropped without writing anything more.
#[derive(Clone, Copy, Debug)]
enum AbortReason {
    /// The client has closed it while a request was open.
    ClientDisconnected,
    /// It was asked to close while it had no complete request.
    CloseRequested,
}

/// How a connection was closed, for the log.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "the fields are written to the log by `Debug`")]
enum ClosedConnection {
    /// It was dropped without writing anything more.
    Aborted(AbortReason),
    /// All responses were written, or an error occurred.
    Finished { failed: bool, lingered: bool },
}

/// How a connection reacts when it is asked to close.
enum CloseAction {
    /// Serve the request that has arrived but has not been read, and wait to be asked again.
    Defer,
    /// Write the pending response, if any, and read no further request.
    FinishResponse,
    /// Drop the connection without writing anything more.
    Abort,
}

/// The reactions of a connection to earlier requests to close it.
#[derive(Default)]
struct CloseProgress {
    /// Whether the close was already deferred once because of unread bytes.
    was_deferred: bool,
    /// Whether hyper was told to end the connection after the current response.
    is_finishing: bool,
}

impl CloseProgress {
    /// Decides how to react to a request to close the connection, and records the decision.
    fn advance(&mut self, connection: &ClientConnection, socket: &ClientSocket) -> CloseAction {
        let action = self.next_action(connection, socket);
        match action {
            CloseAction::Defer => self.was_deferred = true,
            CloseAction::FinishResponse => self.is_finishing = true,
            CloseAction::Abort => {}
        }
        action
    }

    fn next_action(&self, connection: &ClientConnection, socket: &ClientSocket) -> CloseAction {
        match connection.phase() {
            // A request that has arrived is served even if it has not been read yet or arrives in
            // pieces. The close is deferred only once: a client that keeps sending small pieces
            // could otherwise keep its connection open.
            ConnectionPhase::AwaitingHead { .. } | ConnectionPhase::ReadingBody
                if !self.was_deferred && is_request_arriving(connection, socket) =>
            {
                CloseAction::Defer
            }
            // There is no complete request and no response to write.
            ConnectionPhase::ReadingBody => CloseAction::Abort,
            ConnectionPhase::AwaitingHead { .. }
                if self.is_finishing || !connection.has_served_request() =>
            {
                CloseAction::Abort
            }
            // A pending or partly written response is written completely.
            ConnectionPhase::AwaitingHead { .. } | ConnectionPhase::AwaitingResponse => {
                CloseAction::FinishResponse
            }
        }
    }
}

/// Whether a request is arriving that was not there when the connection was asked to close.
fn is_request_arriving(connection: &ClientConnection, socket: &ClientSocket) -> bool {
    let has_timed_out = connection.close_cause() == Some(CloseCause::HeadTimeout);
    let has_partial_head = connection.is_awaiting_head() && connection.has_partial_request();
    socket.has_unread_bytes() || has_partial_head && !has_timed_out
}

impl Server {
    /// Registers an accepted connection and serves it in its own task, which holds the memory of
    /// the connection.
    pub(super) fn spawn_connection(self: Rc<Self>, stream: TcpStream, memory: Reservation) {
        let _ = stream.set_nodelay(true);
        let socket = ClientSocket::new(stream, self.memory.clone());
        let id = self.next_id();
        let connection = Rc::new(ClientConnection::new(
            id,
            self.clock.now(),
            socket.disconnect_detector(),
        ));
        self.connections.insert(id, connection.clone());
        tokio::task::spawn_local(async move {
            let _memory = memory;
            let _guard = self.connections.guard(id);
            let close = self.serve_connection(socket.clone(), &connection).await;
            log_close(&connection, &socket, close);
        });
    }

    /// Serves the requests of a connection, then closes it. The close lingers if the client may
    /// still be sending bytes that are not read as requests.
    async fn serve_connection(
        &self,
        socket: ClientSocket,
        connection: &ClientConnection,
    ) -> ClosedConnection {
        let service = service_fn(|request| Box::pin(self.handle(request, connection)));
        let mut builder = http1::Builder::new();
        builder
            .max_buf_size(MAX_HEAD_BYTES)
            .header_read_timeout(None);
        let mut http = builder.serve_connection(TokioIo::new(socket.clone()), service);
        let result = match serve_requests(&mut http, &socket, connection).await {
            ServeEnd::Finished(result) => result,
            ServeEnd::Aborted(reason) => return ClosedConnection::Aborted(reason),
        };
        if let Err(error) = &result {
            tracing::debug!("closing a client connection after an error: {error}");
        }
        let needs_lingering_close =
            connection.last_request_rejected() || result.is_err() || socket.has_discarded_bytes();
        if needs_lingering_close {
            connection.clear_close_request();
            drop(http);
            tokio::select! {
                () = close_lingering(socket) => {}
                () = connection.close_requested() => {}
            }
        }
        ClosedConnection::Finished {
            failed: result.is_err(),
            lingered: needs_lingering_close,
        }
    }
}

/// Writes how a connection was closed, with the bytes that belong to no complete request.
fn log_close(connection: &ClientConnection, socket: &ClientSocket, close: ClosedConnection) {
    tracing::trace!(
        target: log_target::CONNECTION,
        connection = connection.id(),
        ?close,
        close_cause = ?connection.close_cause(),
        bytes_after_last_request = socket.bytes_read() - connection.bytes_of_requests(),
        has_unread_bytes = socket.has_unread_bytes(),
        "client connection closed"
    );
}

/// Runs hyper's connection until hyper has finished with it or the connection must be dropped.
async fn serve_requests<S>(
    http: &mut http1::Connection<TokioIo<ClientSocket>, S>,
    socket: &ClientSocket,
    connection: &ClientConnection,
) -> ServeEnd
where
    S: HttpService<Incoming, ResBody = Full<Bytes>> + Unpin,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    S::Future: Unpin,
{
    let mut close_progress = CloseProgress::default();
    loop {
        tokio::select! {
            biased;
            result = poll_fn(|cx| http.poll_without_shutdown(cx)) => {
                return ServeEnd::Finished(result);
            }
            // The client has disconnected, so nobody receives the response.
            () = connection.disconnected_awaiting_response(socket) => {
                return ServeEnd::Aborted(AbortReason::ClientDisconnected);
            }
            () = connection.close_requested() => {}
        }
        match close_progress.advance(connection, socket) {
            CloseAction::Defer => connection.clear_close_request(),
            CloseAction::FinishResponse => Pin::new(&mut *http).graceful_shutdown(),
            CloseAction::Abort => return ServeEnd::Aborted(AbortReason::CloseRequested),
        }
    }
}

/// Closes a connection on which bytes may still arrive that are not read as requests. It shuts down
/// the sending side first and then discards input, up to [`LINGER_TIMEOUT`].
async fn close_lingering(mut socket: ClientSocket) {
    if socket.shutdown().await.is_err() {
        return;
    }
    let _ = tokio::time::timeout(LINGER_TIMEOUT, discard_input(&mut socket)).await;
}

/// Discards incoming bytes until the client closes the connection or has sent [`MAX_LINGER_BYTES`].
async fn discard_input(socket: &mut ClientSocket) {
    socket.discard_rest();
    let mut buffer = vec![0; LINGER_BUFFER_BYTES];
    let mut remaining_bytes = MAX_LINGER_BYTES;
    while let Ok(length @ 1..) = socket.read(&mut buffer).await {
        remaining_bytes = remaining_bytes.saturating_sub(length);
        if remaining_bytes == 0 {
            return;
        }
    }
}
