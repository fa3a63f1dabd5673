//! The task of one client connection: it drives hyper until the connection is to be closed, and
//! closes it.

use super::client_connection::{ClientConnection, ConnectionPhase};
use super::client_socket::ClientSocket;
use super::Server;
use crate::forwarded_request::MAX_BODY_BYTES;
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

/// The largest head of a request, in bytes: several times the size of a usual one.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The most bytes that a lingering close discards. A lingering close follows the response to an
/// invalid request. An immediate close would reset the connection while more bytes arrive, and the
/// client could lose the response.
const MAX_LINGER_BYTES: usize = 4 * MAX_BODY_BYTES;
/// The longest time that a lingering close takes. Without a limit a client that goes on sending
/// would keep its connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The buffer into which a lingering close reads what it discards.
const LINGER_BUFFER_BYTES: usize = 8 << 10;

/// Why a connection has stopped serving requests.
enum ServeEnd {
    /// hyper has ended the connection: everything is written, or it has failed.
    Finished(hyper::Result<()>),
    /// The connection is to be dropped at once.
    Aborted,
}

/// What a connection does when it is asked to close.
enum CloseAction {
    /// It serves the request that has arrived and has not been read, and waits to be asked again.
    Defer,
    /// It writes the response that is due, if any, and reads no further request.
    FinishResponse,
    /// It closes at once.
    Abort,
}

/// How far the close of a connection has come.
#[derive(Default)]
struct CloseProgress {
    /// The close was put off once for a request that had not been read.
    was_deferred: bool,
    /// hyper was told to end the connection after the current response.
    is_finishing: bool,
}

impl CloseProgress {
    /// Decides what to do when the connection is asked to close, and records the decision.
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
            // A request that has arrived is served, even if it has not been read. The close is put
            // off only once, because some clients always send a little more.
            ConnectionPhase::AwaitingHead { .. } | ConnectionPhase::ReadingBody
                if !self.was_deferred && socket.has_unread_bytes() =>
            {
                CloseAction::Defer
            }
            // No complete request was received, and no response is being written.
            ConnectionPhase::ReadingBody => CloseAction::Abort,
            ConnectionPhase::AwaitingHead { .. }
                if self.is_finishing || !connection.has_served_request() =>
            {
                CloseAction::Abort
            }
            // A response that is due or being written is written to its end.
            ConnectionPhase::AwaitingHead { .. } | ConnectionPhase::AwaitingResponse => {
                CloseAction::FinishResponse
            }
        }
    }
}

impl Server {
    /// Serves a connection in a task of its own.
    pub(super) fn spawn_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let socket = ClientSocket::new(stream);
        let id = self.next_id();
        let connection = Rc::new(ClientConnection::new(self.clock.now(), socket.presence()));
        self.connections.insert(id, connection.clone());
        tokio::task::spawn_local(async move {
            let _guard = self.connections.guard(id);
            self.serve_connection(socket, &connection).await;
        });
    }

    /// Serves the requests of a connection and closes it.
    async fn serve_connection(&self, socket: ClientSocket, connection: &ClientConnection) {
        let service = service_fn(|request| Box::pin(self.handle(request, connection)));
        let mut builder = http1::Builder::new();
        builder
            .max_buf_size(MAX_HEAD_BYTES)
            .header_read_timeout(None);
        let mut http = builder.serve_connection(TokioIo::new(socket.clone()), service);
        let result = match serve_requests(&mut http, &socket, connection).await {
            ServeEnd::Finished(result) => result,
            ServeEnd::Aborted => return,
        };
        if let Err(error) = &result {
            tracing::debug!("client connection: {error}");
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
    }
}

/// Drives hyper until it has ended the connection or the connection is to be dropped.
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
            // Nobody waits for the response any more.
            () = connection.disconnected_awaiting_response(socket) => return ServeEnd::Aborted,
            () = connection.close_requested() => {}
        }
        match close_progress.advance(connection, socket) {
            CloseAction::Defer => connection.clear_close_request(),
            CloseAction::FinishResponse => Pin::new(&mut *http).graceful_shutdown(),
            CloseAction::Abort => return ServeEnd::Aborted,
        }
    }
}

/// Closes a connection on which more bytes may arrive than will be read as requests.
async fn close_lingering(mut socket: ClientSocket) {
    if socket.shutdown().await.is_err() {
        return;
    }
    let _ = tokio::time::timeout(LINGER_TIMEOUT, discard_input(&mut socket)).await;
}

/// Discards what arrives until the client closes the connection or has sent [`MAX_LINGER_BYTES`].
async fn discard_input(socket: &mut ClientSocket) {
    let mut buffer = vec![0; LINGER_BUFFER_BYTES];
    let mut remaining_bytes = MAX_LINGER_BYTES;
    while let Ok(length @ 1..) = socket.read(&mut buffer).await {
        remaining_bytes = remaining_bytes.saturating_sub(length);
        if remaining_bytes == 0 {
            return;
        }
    }
}
