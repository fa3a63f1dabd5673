//! Generates the load on the proxy, and records what the clients observe. The load is open-loop:
//! requests arrive in a Poisson process, and do not wait for earlier responses.

use super::backends::{since_start, Stamp};
use super::client::{connect, exchange, ClientError, Connection};
use crate::arrivals::arrival_intervals;
use crate::failure::{Failure, InputError};
use crate::histogram::new_histogram;
use crate::topology::tenant_name;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Empty;
use hyper::{Request, StatusCode};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The remaining time that a client states in `X-Time-Left-Ms`, ms.
const TIME_LEFT_MS: u64 = 2_000;

/// The observations of the clients.
pub struct Observations {
    /// The latency of served requests without the backend's service time, us.
    pub added_latency: Histogram<u64>,
    /// The part of the added latency until the backend had received the request, us.
    pub before_backend: Histogram<u64>,
    /// The part of the added latency after the backend's response, us.
    pub after_backend: Histogram<u64>,
    /// The counts of requests that were not served.
    pub not_served: NotServed,
}

/// The counts of requests that were not served, by the reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct NotServed {
    /// Rejected with status 429 or 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed with a status other than 200, 429 and 503.
    pub failed: u64,
    /// Without a usable response.
    #[serde(rename = "broken")]
    pub no_response: u64,
}

impl Observations {
    fn new() -> Observations {
        Observations {
            added_latency: new_histogram(),
            before_backend: new_histogram(),
            after_backend: new_histogram(),
            not_served: NotServed::default(),
        }
    }

    /// Adds the observations of another run of the load.
    pub fn add(&mut self, other: &Observations) -> Result<(), Failure> {
        self.not_served.rejected += other.not_served.rejected;
        self.not_served.failed += other.not_served.failed;
        self.not_served.no_response += other.not_served.no_response;
        let histograms = [
            (&mut self.added_latency, &other.added_latency),
            (&mut self.before_backend, &other.before_backend),
            (&mut self.after_backend, &other.after_backend),
        ];
        for (sum, part) in histograms {
            sum.add(part).map_err(Failure::in_step(
                "adding the latency histograms of both halves of the load",
            ))?;
        }
        Ok(())
    }

    fn record(&mut self, result: Result<ServedRequest, RequestError>) {
        match result {
            Ok(served) => self.record_served(served),
            Err(RequestError::Status(
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS,
            )) => self.not_served.rejected += 1,
            Err(RequestError::Status(_)) => self.not_served.failed += 1,
            Err(RequestError::NoResponse(error)) => {
                tracing::debug!("a request got no response: {error}");
                self.not_served.no_response += 1;
            }
        }
    }

    fn record_served(&mut self, served: ServedRequest) {
        let before = served.before_backend.as_micros() as u64;
        let after = served.after_backend.as_micros() as u64;
        self.added_latency.saturating_record(before + after);
        self.before_backend.saturating_record(before);
        self.after_backend.saturating_record(after);
    }
}

/// The two parts of a served request's latency beyond the backend's service time.
struct ServedRequest {
    before_backend: Duration,
    after_backend: Duration,
}

/// Why a request was not served.
#[derive(Debug, Error)]
enum RequestError {
    #[error("status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    NoResponse(#[from] ClientError),
}

/// The state that all clients share.
struct Clients {
    proxy: SocketAddr,
    idle_connections: Mutex<Vec<Connection>>,
    observations: Mutex<Observations>,
}

/// A load of requests whose arrivals are a Poisson process. Each request uses a connection that is
/// idle at its arrival, or a new one.
pub struct Load {
    clients: Arc<Clients>,
    random: Pcg64Mcg,
    intervals: Exp<f64>,
    tenants: usize,
    next_arrival: Instant,
}

impl Load {
    /// Creates a load on the proxy with this mean rate of requests. Each request belongs to a
    /// random tenant, or to none if `tenants` is 0.
    pub fn new(
        proxy: SocketAddr,
        requests_per_second: f64,
        tenants: usize,
        seed: u64,
    ) -> Result<Load, InputError> {
        let clients = Clients {
            proxy,
            idle_connections: Mutex::default(),
            observations: Mutex::new(Observations::new()),
        };
        Ok(Load {
            clients: Arc::new(clients),
            random: Pcg64Mcg::seed_from_u64(seed),
            intervals: arrival_intervals(requests_per_second)?,
            tenants,
            next_arrival: Instant::now(),
        })
    }

    /// Runs the load for the time `span`, and returns the observations since the previous run.
    pub async fn run(&mut self, span: Duration) -> Observations {
        let end = Instant::now() + span;
        self.next_arrival = self.next_arrival.max(Instant::now());
        while self.next_arrival < end {
            tokio::time::sleep_until(self.next_arrival.into()).await;
            let interval = self.intervals.sample(&mut self.random);
            self.next_arrival += Duration::from_secs_f64(interval);
            let tenant = (self.tenants > 0).then(|| self.random.random_range(0..self.tenants));
            let correlation_id = self.random.random();
            // Each request runs in a separate task, so that a slow response does not delay later
            // requests.
            tokio::spawn(self.clients.clone().send(correlation_id, tenant));
        }
        tokio::time::sleep_until(end.into()).await;
        std::mem::replace(&mut *self.clients.observations(), Observations::new())
    }
}

impl Clients {
    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().expect("no holder panics")
    }

    fn idle_connections(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle_connections.lock().expect("no holder panics")
    }

    async fn send(self: Arc<Self>, correlation_id: u64, tenant: Option<usize>) {
        let result = self.try_send(correlation_id, tenant).await;
        self.observations().record(result);
    }

    async fn try_send(
        &self,
        correlation_id: u64,
        tenant: Option<usize>,
    ) -> Result<ServedRequest, RequestError> {
        let mut connection = self.idle_or_new_connection().await?;
        let request = request(correlation_id, tenant)?;
        let sent_at = since_start();
        let response = exchange(&mut connection, request).await?;
        let received_at = since_start();
        self.idle_connections().push(connection);
        if response.status != StatusCode::OK {
            return Err(RequestError::Status(response.status));
        }
        let stamp = Stamp::parse(&response.body).ok_or(ClientError::UnknownBody)?;
        let responded_at = stamp.received_at + stamp.service_time;
        Ok(ServedRequest {
            before_backend: stamp.received_at.saturating_sub(sent_at),
            after_backend: received_at.saturating_sub(responded_at),
        })
    }

    async fn idle_or_new_connection(&self) -> Result<Connection, ClientError> {
        let idle = self.idle_connections().pop();
        match idle.filter(Connection::is_ready) {
            Some(connection) => Ok(connection),
            None => connect(self.proxy).await,
        }
    }
}

fn request(
    correlation_id: u64,
    tenant: Option<usize>,
) -> Result<Request<Empty<Bytes>>, ClientError> {
    let mut request = Request::get("/read/a")
        .header("host", "backend.local")
        .header("x-correlation-id", format!("{correlation_id:016x}"))
        .header("x-service-class", "read")
        .header("x-time-left-ms", TIME_LEFT_MS);
    if let Some(tenant) = tenant {
        request = request.header("x-account", tenant_name(tenant));
    }
    Ok(request.body(Empty::new())?)
}
