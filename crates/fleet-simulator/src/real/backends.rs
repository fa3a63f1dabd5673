//! Stand-ins for the backends. Many backends share one listener. The proxy does not mix up their
//! connections, because it identifies a backend by its name, not by its address.

use crate::failure::Failure;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Counters over all backends.
#[derive(Default)]
struct Counts {
    connections: AtomicU64,
    requests: AtomicU64,
}

/// The listeners that stand in for all backends.
pub struct Backends {
    addresses: Vec<SocketAddr>,
    counts: Arc<Counts>,
}

impl Backends {
    /// Starts this many listeners. Each request is answered after `service_time`.
    pub async fn start(listeners: usize, service_time: Duration) -> Result<Backends, Failure> {
        let mut backends = Backends {
            addresses: Vec::new(),
            counts: Arc::default(),
        };
        for _ in 0..listeners {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .map_err(Failure::in_step("starting the listener of a backend"))?;
            let address = listener.local_addr().map_err(Failure::in_step(
                "reading the address of a backend's listener",
            ))?;
            backends.addresses.push(address);
            tokio::spawn(accept(listener, backends.counts.clone(), service_time));
        }
        Ok(backends)
    }

    /// The address of the backend with this number.
    pub fn address(&self, backend: usize) -> SocketAddr {
        self.addresses[backend % self.addresses.len()]
    }

    /// The number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Relaxed)
    }

    /// The number of requests received so far.
    pub fn requests(&self) -> u64 {
        self.counts.requests.load(Relaxed)
    }
}

async fn accept(listener: TcpListener, counts: Arc<Counts>, service_time: Duration) {
    while let Ok((stream, _)) = listener.accept().await {
        counts.connections.fetch_add(1, Relaxed);
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, counts.clone(), service_time));
    }
}

async fn serve_connection(stream: TcpStream, counts: Arc<Counts>, service_time: Duration) {
    let service = service_fn(|request| {
        counts.requests.fetch_add(1, Relaxed);
        async move { Ok::<_, Infallible>(serve(request, service_time).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(e) = connection.await {
        tracing::debug!("a connection from the proxy to a backend failed: {e}");
    }
}

async fn serve(request: Request<Incoming>, service_time: Duration) -> Response<Full<Bytes>> {
    let _ = request.into_body().collect().await;
    let received_at = since_start();
    tokio::time::sleep(service_time).await;
    let stamp = Stamp {
        received_at,
        service_time: since_start().saturating_sub(received_at),
    };
    Response::new(Full::new(stamp.to_text().into()))
}

/// When a backend received a request, and how long it took to serve it. The backend sends this as
/// the body of its response, so that the client can subtract the service time from the latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// When the last byte of the request had arrived, on the clock of [`since_start`].
    pub received_at: Duration,
    /// The time from `received_at` to the response.
    pub service_time: Duration,
}

/// The time since the first call of this function. All stand-ins of this process share this clock.
pub fn since_start() -> Duration {
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    START.elapsed()
}

impl Stamp {
    /// The stamp as a response body has it: both times in microseconds, separated by a comma.
    pub fn to_text(&self) -> String {
        format!(
            "{},{}",
            self.received_at.as_micros(),
            self.service_time.as_micros()
        )
    }

    /// Parses the body of a response. Returns `None` if it is not a stamp.
    pub fn parse(body: &[u8]) -> Option<Stamp> {
        let (received_at, service_time) = std::str::from_utf8(body).ok()?.split_once(',')?;
        Some(Stamp {
            received_at: Duration::from_micros(received_at.parse().ok()?),
            service_time: Duration::from_micros(service_time.parse().ok()?),
        })
    }
}
