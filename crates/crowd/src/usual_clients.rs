//! Usual clients: a small request now and then on a kept connection.

use crate::http::MessageReader;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The deadline of a request, in milliseconds.
const TIME_LEFT_MS: u64 = 2_000;
/// How long a client waits for a response.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// A connection that ends within this time after the first piece of a request was closed before the
/// piece arrived.
const CROSSING_TIME: Duration = Duration::from_millis(20);
/// The pause before a client that could not connect tries again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);

/// Clients that send one request at a time.
#[derive(Clone, Copy, Debug)]
pub struct UsualClients {
    /// How many clients there are.
    pub clients: usize,
    /// The pause of each client between a response and its next request.
    pub pause: Duration,
    /// The pause between the two pieces in which a request is written; `None` if it is written at
    /// once.
    pub split_pause: Option<Duration>,
}

/// What usual clients got.
#[derive(Clone, Debug, Default)]
pub struct UsualReport {
    /// The times of the requests that were served.
    pub served: Vec<Duration>,
    /// The statuses of other responses.
    pub refused: Vec<u16>,
    /// Requests whose connection ended without a response, and that were sent on a new connection,
    /// or in two pieces of which the first had arrived. A request that crosses the close of a kept
    /// connection does not count: its client sends it again.
    pub lost: u64,
    /// Requests that got no response within their time.
    pub unanswered: u64,
}

impl UsualReport {
    /// The requests that were not served.
    pub fn failed(&self) -> u64 {
        self.refused.len() as u64 + self.lost + self.unanswered
    }

    /// The time that this part of the served requests kept to, 0 to 1.
    pub fn quantile(&self, part: f64) -> Duration {
        let mut times = self.served.clone();
        times.sort();
        let index = (times.len() as f64 * part).ceil() as usize;
        times
            .get(index.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    }
}

/// How a request ended.
enum End {
    Served {
        keeps_connection: bool,
    },
    Refused {
        status: u16,
        keeps_connection: bool,
    },
    /// The connection ended without a response.
    Closed,
    /// The connection ended so soon that the proxy had closed it before the request arrived.
    Crossed,
    Unanswered,
}

type SharedReport = Arc<Mutex<UsualReport>>;

impl UsualClients {
    /// Runs the clients against the proxy at `address` for the given time. Each of them ends its
    /// last request.
    pub async fn run(self, address: SocketAddr, duration: Duration) -> UsualReport {
        let end = Instant::now() + duration;
        let report = SharedReport::default();
        let mut tasks = Vec::new();
        for number in 0..self.clients {
            let report = report.clone();
            tasks.push(tokio::spawn(self.run_one(address, number, end, report)));
        }
        for task in tasks {
            let _ = task.await;
        }
        let report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.clone()
    }

    async fn run_one(self, address: SocketAddr, number: usize, end: Instant, report: SharedReport) {
        let mut connection: Option<TcpStream> = None;
        let mut reader = MessageReader::default();
        let mut request = 0_u64;
        while Instant::now() < end {
            let is_new = connection.is_none();
            if is_new {
                connection = TcpStream::connect(address).await.ok();
                reader = MessageReader::default();
            }
            let Some(stream) = &mut connection else {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            request += 1;
            let id = format!("u{}-{number}-{request}", std::process::id());
            let started_at = Instant::now();
            let exchange = self.exchange(stream, &mut reader, &id);
            let ended = tokio::time::timeout(MAX_WAIT, exchange).await;
            let ended = ended.unwrap_or(End::Unanswered);
            let counts_close = is_new || self.split_pause.is_some();
            if !record(&report, &ended, started_at.elapsed(), counts_close) {
                connection = None;
            }
            if !matches!(ended, End::Closed | End::Crossed) {
                tokio::time::sleep(self.pause).await;
            }
        }
    }

    async fn exchange(self, stream: &mut TcpStream, reader: &mut MessageReader, id: &str) -> End {
        let request = format!(
            "POST /vote/u?bytes=200 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n\
             X-Service-Class: vote\r\nX-Time-Left-Ms: {TIME_LEFT_MS}\r\nIdempotency-Key: {id}\r\n\
             Content-Length: 8\r\n\r\nthe body"
        );
        let (first, second) = request.as_bytes().split_at(request.len() - 4);
        if stream.write_all(first).await.is_err() {
            return End::Closed;
        }
        if let Some(pause) = self.split_pause {
            let crossed = tokio::time::timeout(CROSSING_TIME, stream.readable()).await;
            if crossed.is_ok() {
                return End::Crossed;
            }
            tokio::time::sleep(pause).await;
        }
        if stream.write_all(second).await.is_err() {
            return End::Closed;
        }
        let Ok(response) = reader.read(stream).await else {
            return End::Closed;
        };
        let keeps_connection = response.header("connection") != Some("close");
        match response.status() {
            200 => End::Served { keeps_connection },
            status => End::Refused {
                status,
                keeps_connection,
            },
        }
    }
}

/// Records how a request ended, and returns whether its connection is kept.
fn record(report: &SharedReport, end: &End, time: Duration, counts_close: bool) -> bool {
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    match *end {
        End::Served { keeps_connection } => {
            report.served.push(time);
            keeps_connection
        }
        End::Refused {
            status,
            keeps_connection,
        } => {
            report.refused.push(status);
            keeps_connection
        }
        End::Closed => {
            report.lost += u64::from(counts_close);
            false
        }
        End::Crossed => false,
        End::Unanswered => {
            report.unanswered += 1;
            false
        }
    }
}
