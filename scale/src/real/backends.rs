//! Backends as the proxy sees them. Many names may share an address: the proxy pools connections by name.

use crate::failure::Failure;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// What all backends together have seen.
#[derive(Default)]
struct Counts {
    connections: AtomicU64,
    requests: AtomicU64,
}

/// Listeners that stand for all backends.
pub struct Backends {
    addresses: Vec<SocketAddr>,
    counts: Arc<Counts>,
}

impl Backends {
    /// Starts so many listeners; each request is answered after `service`.
    pub async fn start(listeners: usize, service: Duration) -> Result<Backends, Failure> {
        let mut backends = Backends { addresses: Vec::new(), counts: Arc::default() };
        for _ in 0..listeners {
            let listener = TcpListener::bind("127.0.0.1:0").await;
            let listener = listener.map_err(|e| Failure::run("a backend's listener")(&e))?;
            let address = listener.local_addr().map_err(|e| Failure::run("a backend's address")(&e))?;
            backends.addresses.push(address);
            tokio::spawn(accept(listener, backends.counts.clone(), service));
        }
        Ok(backends)
    }

    /// The address of the backend of that number.
    pub fn address(&self, backend: usize) -> SocketAddr {
        self.addresses[backend % self.addresses.len()]
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Relaxed)
    }

    /// Requests so far.
    pub fn requests(&self) -> u64 {
        self.counts.requests.load(Relaxed)
    }
}

async fn accept(listener: TcpListener, counts: Arc<Counts>, service: Duration) {
    while let Ok((stream, _)) = listener.accept().await {
        counts.connections.fetch_add(1, Relaxed);
        let _ = stream.set_nodelay(true);
        let counts = counts.clone();
        let answer = service_fn(move |request| {
            counts.requests.fetch_add(1, Relaxed);
            async move { Ok::<_, Infallible>(serve(request, service).await) }
        });
        tokio::spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new();
            if let Err(e) = connection.serve_connection(TokioIo::new(stream), answer).await {
                tracing::debug!("connection to a backend: {e}");
            }
        });
    }
}

/// Answers with the microseconds that it took, so that the client can take them out.
async fn serve(request: Request<Incoming>, service: Duration) -> Response<Full<Bytes>> {
    let came = Instant::now();
    let _ = request.into_body().collect().await;
    tokio::time::sleep(service.saturating_sub(came.elapsed())).await;
    Response::new(Full::new(came.elapsed().as_micros().to_string().into()))
}
