//! Reserves the memory for the content of a request: its parsed head, its body and their copies.

use super::client_connection::ClientConnection;
use super::request_validation::RequestError;
use super::Server;
use crate::memory_budget::{Reservation, Share, BUFFER_BYTES, SMALL_CONTENT_BYTES};
use crate::message_content;
use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use std::time::Duration;

/// How long a request may wait for the memory of its body.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The pause after which further bodies are cancelled for a request that still waits.
const CANCEL_INTERVAL: Duration = Duration::from_millis(50);

/// By how much the buffer grows into which a large head is written for a backend.
const GROWN_WRITE_BUFFER_BYTES: usize = 2 * BUFFER_BYTES;

/// The memory of the head of a request and of its copy for an attempt.
pub(super) fn head_bytes(head: &Parts) -> usize {
    let text_bytes = message_content::text_bytes(&head.headers) + uri_bytes(head);
    let fields_bytes = message_content::fields_bytes(&head.headers) + uri_bytes(head);
    let grown_bytes = if text_bytes > BUFFER_BYTES * 3 / 4 {
        GROWN_WRITE_BUFFER_BYTES
    } else {
        0
    };
    2 * fields_bytes + grown_bytes
}

/// Copies the values of the fields and the path into buffers of their size, so that they do not
/// keep the buffer into which the head was read.
pub(super) fn detach_head(head: &mut Parts) {
    message_content::detach_values(&mut head.headers);
    let Some(path) = head.uri.path_and_query() else {
        return;
    };
    let copy = Bytes::copy_from_slice(path.as_str().as_bytes());
    if let Ok(path) = PathAndQuery::from_maybe_shared(copy) {
        head.uri = path.into();
    }
}

fn uri_bytes(head: &Parts) -> usize {
    let path = head.uri.path_and_query();
    path.map_or(0, |path| path.as_str().len())
}

impl Server {
    /// Reserves memory for a request; `None` if it is small, so that its connection has the memory.
    /// A body waits for memory: it is not read meanwhile, and the bodies with the least progress
    /// are cancelled for it. A large head, which was read already, waits only if the memory of
    /// connections has room for it.
    pub(super) async fn reserve_request(
        &self,
        head_bytes: usize,
        body_bytes: usize,
        connection: &ClientConnection,
    ) -> Result<Option<Reservation>, RequestError> {
        let bytes = head_bytes + body_bytes;
        if bytes <= SMALL_CONTENT_BYTES {
            return Ok(None);
        }
        let reservation = match self.memory.try_reserve(Share::Requests, bytes) {
            Some(reservation) => reservation,
            None => self.wait_for_memory(head_bytes, bytes).await?,
        };
        connection.begin_reserved_body(self.clock.now(), bytes);
        Ok(Some(reservation))
    }

    async fn wait_for_memory(
        &self,
        head_bytes: usize,
        bytes: usize,
    ) -> Result<Reservation, RequestError> {
        let _head = if head_bytes > SMALL_CONTENT_BYTES {
            let head = self.memory.try_reserve_waiting_head(head_bytes);
            Some(head.ok_or(RequestError::MemoryExhausted)?)
        } else {
            None
        };
        let cancel_bodies = async {
            loop {
                self.connections
                    .cancel_slowest_bodies(self.clock.now(), bytes);
                tokio::time::sleep(CANCEL_INTERVAL).await;
            }
        };
        let reservation = tokio::select! {
            reservation = self.memory.reserve(Share::Requests, bytes) => reservation,
            () = tokio::time::sleep(MAX_WAIT) => None,
            () = cancel_bodies => None,
        };
        reservation.ok_or(RequestError::MemoryExhausted)
    }
}
