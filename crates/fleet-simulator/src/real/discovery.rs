//! A stand-in for discovery. It serves the full endpoint list, and watches, which are calls that
//! wait for changes of the list.

use crate::failure::Failure;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::io::InspectWriter;

/// The upper limit on the wait time of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// The first version of the list.
const FIRST_VERSION: u64 = 1;

/// Counters over all calls.
#[derive(Default)]
struct Counts {
    bytes: AtomicU64,
    calls: AtomicU64,
}

/// How a version of the list differs from the version before.
#[derive(Clone, Copy)]
enum Change {
    /// The endpoint at this position has changed.
    Endpoint(usize),
    /// Nothing has changed, but all watches get the full list.
    FullList,
}

/// The endpoint list and the history of its changes.
struct EndpointList {
    version: u64,
    /// The endpoints, each of them as a JSON object.
    endpoints: Vec<String>,
    /// The changes by the version that they led to.
    changes: BTreeMap<u64, Change>,
}

impl EndpointList {
    fn add_version(&mut self, change: Change) {
        self.version += 1;
        self.changes.insert(self.version, change);
    }

    /// The endpoints that have changed after a version; `None` if the full list is to be sent.
    fn changed_after(&self, version: u64) -> Option<Vec<&String>> {
        let changes = self.changes.range(version + 1..);
        changes
            .map(|(_, change)| match change {
                Change::Endpoint(position) => Some(&self.endpoints[*position]),
                Change::FullList => None,
            })
            .collect()
    }

    /// The body of the response to a proxy that has this version of the list, or has no list.
    fn response_body(&self, known_version: Option<u64>) -> String {
        let changed = known_version.and_then(|version| self.changed_after(version));
        let is_snapshot = changed.is_none();
        let endpoints = changed.unwrap_or_else(|| self.endpoints.iter().collect());
        let mut body = format!(
            "{{\"index\":{},\"snapshot\":{is_snapshot},\"endpoints\":[",
            self.version
        );
        for (position, endpoint) in endpoints.into_iter().enumerate() {
            if position > 0 {
                body.push(',');
            }
            body.push_str(endpoint);
        }
        body.push_str("]}");
        body
    }
}

/// The stand-in for discovery, which is never overloaded. All clones share its state.
#[derive(Clone)]
pub struct Discovery {
    /// The address that it listens on.
    pub address: SocketAddr,
    list: Arc<Mutex<EndpointList>>,
    version: watch::Sender<u64>,
    counts: Arc<Counts>,
}

impl Discovery {
    /// Starts discovery with a list of these endpoints, each of them a JSON object.
    pub async fn start(endpoints: Vec<String>) -> Result<Discovery, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(Failure::in_step("starting the listener of discovery"))?;
        let address = listener.local_addr().map_err(Failure::in_step(
            "reading the address of discovery's listener",
        ))?;
        let list = EndpointList {
            version: FIRST_VERSION,
            endpoints,
            changes: BTreeMap::new(),
        };
        let discovery = Discovery {
            address,
            list: Arc::new(Mutex::new(list)),
            version: watch::Sender::new(FIRST_VERSION),
            counts: Arc::default(),
        };
        tokio::spawn(discovery.clone().accept(listener));
        Ok(discovery)
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let counts = self.counts.clone();
        // Counting at the stream includes the heads of responses.
        let counted_stream = InspectWriter::new(stream, move |written: &[u8]| {
            counts.bytes.fetch_add(written.len() as u64, Relaxed);
        });
        let service = service_fn(|request| {
            let discovery = self.clone();
            async move { Ok::<_, Infallible>(discovery.respond(request).await) }
        });
        let connection =
            http1::Builder::new().serve_connection(TokioIo::new(counted_stream), service);
        if let Err(e) = connection.await {
            tracing::debug!("a connection from the proxy to discovery failed: {e}");
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.counts.calls.fetch_add(1, Relaxed);
        let mut response = Response::new(Full::default());
        match Query::parse(request.uri()) {
            Some(Query::List) => *response.body_mut() = self.response_body(None),
            Some(Query::Watch { after, wait }) => {
                let mut version = self.version.subscribe();
                // If the list does not change within the wait time, the response has no endpoints.
                let _ = tokio::time::timeout(wait, version.wait_for(|v| *v > after)).await;
                *response.body_mut() = self.response_body(Some(after));
            }
            None => *response.status_mut() = StatusCode::NOT_FOUND,
        }
        response
    }

    fn list(&self) -> MutexGuard<'_, EndpointList> {
        self.list.lock().expect("no holder panics")
    }

    fn response_body(&self, known_version: Option<u64>) -> Full<Bytes> {
        Full::new(self.list().response_body(known_version).into())
    }

    /// Replaces the endpoint at a position, and sends the change to all watches.
    pub fn change(&self, position: usize, endpoint: String) {
        let mut list = self.list();
        list.endpoints[position] = endpoint;
        list.add_version(Change::Endpoint(position));
        self.version.send_replace(list.version);
    }

    /// Sends the full list to all watches.
    pub fn push_snapshot(&self) {
        let mut list = self.list();
        list.add_version(Change::FullList);
        self.version.send_replace(list.version);
    }

    /// The number of bytes written so far, including the heads of responses.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Relaxed)
    }

    /// The number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.counts.calls.load(Relaxed)
    }
}

/// The kind of a call, with its parameters.
#[derive(Debug, PartialEq, Eq)]
enum Query {
    /// Asks for the full list.
    List,
    /// Asks for the changes after a version. The response is sent when there is a change, or at the
    /// end of the wait time.
    Watch { after: u64, wait: Duration },
}

impl Query {
    /// Parses the URI of a call. Returns `None` if the path is unknown, or a parameter is missing
    /// or invalid.
    fn parse(uri: &Uri) -> Option<Query> {
        if uri.path() != "/api/targets" {
            return None;
        }
        let Some(parameters) = uri.query() else {
            return Some(Query::List);
        };
        let wait = Duration::from_millis(parameter(parameters, "wait_ms")?);
        Some(Query::Watch {
            after: parameter(parameters, "after")?,
            wait: wait.min(MAX_WATCH_WAIT),
        })
    }
}

fn parameter(parameters: &str, name: &str) -> Option<u64> {
    let mut pairs = parameters
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
