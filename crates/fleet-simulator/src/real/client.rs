//! The HTTP client that sends requests to the proxy on persistent connections, and the probes of
//! the data path.

use crate::failure::Failure;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;

/// The pause between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(1);

/// The client's end of a connection to the proxy.
pub(super) type Connection = SendRequest<Empty<Bytes>>;

/// Why a request got no usable response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection could not be established, or the client's runtime could not be started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection failed, or the received bytes are not valid HTTP.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The body of a 200 response was not written by a stand-in for a backend.
    #[error("the body of the response was not written by a backend")]
    UnknownBody,
}

/// A response with its complete body.
pub(super) struct ClientResponse {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

/// Opens a connection to the proxy.
pub(super) async fn connect(to: SocketAddr) -> Result<Connection, ClientError> {
    let stream = TcpStream::connect(to).await?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            tracing::debug!("the connection to the proxy failed: {e}");
        }
    });
    Ok(sender)
}

/// Sends a request and reads the complete response.
pub(super) async fn exchange(
    connection: &mut Connection,
    request: Request<Empty<Bytes>>,
) -> Result<ClientResponse, ClientError> {
    let response = connection.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(ClientResponse { status, body })
}

/// Whether the proxy is ready. Returns an error if the proxy does not respond.
pub async fn is_ready(proxy: SocketAddr) -> Result<bool, ClientError> {
    let mut connection = connect(proxy).await?;
    probe(&mut connection).await
}

async fn probe(connection: &mut Connection) -> Result<bool, ClientError> {
    let request = Request::get("/-/ready")
        .header("host", "probe")
        .body(Empty::new())?;
    let response = exchange(connection, request).await?;
    Ok(response.status == StatusCode::OK)
}

/// The round trip of a probe.
#[derive(Clone, Copy, Debug)]
pub struct RoundTrip {
    /// When the probe was sent.
    pub sent_at: Instant,
    /// The time from sending the probe to the end of the response.
    pub duration: Duration,
}

/// Probes the proxy on one connection for the time `span`, with a pause of 1 ms after each probe.
/// The proxy needs little time to answer a probe, so the longest round trip is about the longest
/// time for which the proxy's only thread was busy with other work.
pub async fn probe_for(proxy: SocketAddr, span: Duration) -> Result<Vec<RoundTrip>, Failure> {
    const STEP: &str = "probing the data path";
    // The probes run on a separate thread, so that the stand-ins do not delay them.
    let probes = tokio::task::spawn_blocking(move || probe_on_this_thread(proxy, span));
    let result = probes.await.map_err(Failure::in_step(STEP))?;
    result.map_err(Failure::in_step(STEP))
}

fn probe_on_this_thread(proxy: SocketAddr, span: Duration) -> Result<Vec<RoundTrip>, ClientError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(probe_repeatedly(proxy, span))
}

async fn probe_repeatedly(
    proxy: SocketAddr,
    span: Duration,
) -> Result<Vec<RoundTrip>, ClientError> {
    let mut connection = connect(proxy).await?;
    let mut round_trips = Vec::new();
    let end = Instant::now() + span;
    while Instant::now() < end {
        let sent_at = Instant::now();
        probe(&mut connection).await?;
        round_trips.push(RoundTrip {
            sent_at,
            duration: sent_at.elapsed(),
        });
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    Ok(round_trips)
}
