//! A call to discovery, on a connection of its own.
//!
//! A response does not name its call. On a connection with several calls, a second copy of an old
//! answer could be taken for the answer to a later call, and confirm a list that has changed since.
//! For the same reason an answer that more bytes follow is of no use.

use super::endpoint_list::{self, EndpointList, EndpointListError};
use crate::http_connection::HttpConnection;
use crate::waiting_input;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The time limit for establishing a connection to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);

/// The time limit for the body of an answer, from the arrival of its head. It leaves time for
/// another call before the proxy counts as notified of the changes in the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an answer that discovery began is of no use.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    /// The body was truncated or exceeded the size limit of a list.
    #[error("could not read the response body: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The body did not arrive within [`ANSWER_TIMEOUT`].
    #[error("the response body is incomplete after {} ms", ANSWER_TIMEOUT.as_millis())]
    TimedOut,
    /// More bytes followed the response, so it may be an old answer, or its length too short.
    #[error("more bytes followed the response")]
    FollowedByBytes,
    /// The body is not a valid list.
    #[error("invalid endpoint list: {0}")]
    InvalidList(#[from] EndpointListError),
}

/// Why a call to discovery returned no list.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// No connection was established within [`CONNECT_TIMEOUT`].
    #[error("could not connect within {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimedOut,
    /// The connection was refused, or the network failed.
    #[error("could not connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The request could not be built.
    #[error("could not build the request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection failed during the call, or the response was not HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// Discovery responded with a status other than 200.
    #[error("expected a response with status 200, got {0}")]
    Status(StatusCode),
    /// Discovery responded with status 200, and its answer is of no use.
    #[error("{error}")]
    AnswerSpoilt {
        /// When the head of the response arrived.
        begun_at: Instant,
        /// What is wrong with the answer.
        #[source]
        error: AnswerError,
    },
}

/// A complete answer of discovery.
pub struct Answer {
    /// The list or its changes.
    pub list: EndpointList,
    /// When the head of the response arrived. The list contains every change until then.
    pub begun_at: Instant,
    /// The time from the call to the head of the answer, less that of the network.
    pub service_time: Duration,
}

/// Requests `path` and parses the list in the response. Fails if the body has more than
/// `max_list_bytes` bytes.
pub async fn get_list(
    address: SocketAddr,
    path: &str,
    max_list_bytes: usize,
) -> Result<Answer, DiscoveryError> {
    let connection = DiscoveryConnection::open(address).await?;
    connection.get(path, max_list_bytes).await
}

/// A connection to discovery, for one call. Dropping it closes the connection.
struct DiscoveryConnection {
    address: SocketAddr,
    /// How long it took to connect: the round-trip time of the network.
    connect_time: Duration,
    sender: SendRequest<Empty<Bytes>>,
    http: HttpConnection<TcpStream, Empty<Bytes>>,
}

impl DiscoveryConnection {
    async fn open(address: SocketAddr) -> Result<DiscoveryConnection, DiscoveryError> {
        let started = Instant::now();
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| DiscoveryError::ConnectTimedOut)?
            .map_err(DiscoveryError::Connect)?;
        let connect_time = started.elapsed();
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        Ok(DiscoveryConnection {
            address,
            connect_time,
            sender,
            http: HttpConnection::new(connection),
        })
    }

    async fn get(mut self, path: &str, max_list_bytes: usize) -> Result<Answer, DiscoveryError> {
        let request = Request::get(path)
            .header(hyper::header::HOST, self.address.to_string())
            .body(Empty::new())?;
        let sent_at = Instant::now();
        let response = self.http.run(self.sender.send_request(request)).await?;
        let begun_at = Instant::now();
        let status = response.status();
        if status != StatusCode::OK {
            return Err(DiscoveryError::Status(status));
        }
        let list = self
            .read_list(response.into_body(), max_list_bytes)
            .await
            .map_err(|error| DiscoveryError::AnswerSpoilt { begun_at, error })?;
        Ok(Answer {
            list,
            begun_at,
            service_time: (begun_at - sent_at).saturating_sub(self.connect_time),
        })
    }

    /// Reads the body of the response, the last one on the connection.
    async fn read_list(
        &mut self,
        body: Incoming,
        max_bytes: usize,
    ) -> Result<EndpointList, AnswerError> {
        let read = self.http.run(read_body(body, max_bytes));
        let json = tokio::time::timeout(ANSWER_TIMEOUT, read)
            .await
            .map_err(|_| AnswerError::TimedOut)??;
        if self.has_more_input() {
            return Err(AnswerError::FollowedByBytes);
        }
        Ok(endpoint_list::parse(&json)?)
    }

    /// Whether more bytes have arrived after the response. Ends the connection.
    fn has_more_input(&mut self) -> bool {
        self.http.take_ended().is_some_and(|ended| {
            let waiting = waiting_input::read(&ended.stream, &mut [0]);
            !ended.unparsed.is_empty() || matches!(waiting, Ok(Some(1..)))
        })
    }
}

/// Reads a body into a buffer of the announced length. A list can be large, and a buffer that grows
/// during the read would take up to twice the memory.
async fn read_body(body: Incoming, max_bytes: usize) -> Result<Vec<u8>, AnswerError> {
    let announced = body.size_hint().exact().unwrap_or(0);
    let mut bytes = Vec::with_capacity(announced.min(max_bytes as u64) as usize);
    let mut body = Limited::new(body, max_bytes);
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame.map_err(AnswerError::Body)?.into_data() {
            bytes.extend_from_slice(&chunk);
        }
    }
    Ok(bytes)
}
