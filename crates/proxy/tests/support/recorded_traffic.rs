//! Clients that send requests at a constant rate and record what they get.

use super::client::{request, Client};
use super::http_message::HttpMessage;
use super::recording_backend::response_body;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The classes of the clients' requests, by turns.
const CLASSES: [&str; 3] = ["read", "vote", "pay"];
/// The time between two requests of a client.
const CLIENT_INTERVAL: Duration = Duration::from_millis(200);

/// A request of a client and its response.
pub struct Exchange {
    pub id: String,
    pub class: &'static str,
    pub sent_at: Instant,
    pub answered_at: Instant,
    /// `None` if the connection ended without a response.
    pub response: Option<HttpMessage>,
}

impl Exchange {
    /// The status of the response, or 0 if there is none.
    pub fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, HttpMessage::status)
    }

    /// Whether the response has the body that a recording backend makes for this request.
    pub fn has_own_response(&self) -> bool {
        let body = self.response.as_ref().map(|response| &response.body);
        body.is_some_and(|body| *body == response_body(&self.id).as_bytes())
    }

    /// Whether the client took for its response what no backend made for its request.
    pub fn has_wrong_response(&self) -> bool {
        self.status() == 200 && !self.has_own_response()
    }

    /// How long the client waited for the response.
    pub fn latency(&self) -> Duration {
        self.answered_at - self.sent_at
    }
}

/// Sends requests at a constant rate on connections that stay open. A client waits for its response
/// before it sends the next request.
pub fn send_traffic(
    proxy: SocketAddr,
    requests_per_s: u32,
    duration: Duration,
    time_left_ms: u64,
) -> Vec<Exchange> {
    let end = Instant::now() + duration;
    let client_count = requests_per_s * CLIENT_INTERVAL.as_millis() as u32 / 1000;
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..client_count)
            .map(|index| {
                let start = Instant::now() + CLIENT_INTERVAL * index / client_count;
                scope.spawn(move || run_client(proxy, index as usize, start, end, time_left_ms))
            })
            .collect();
        let exchanges = clients.into_iter().map(|client| client.join().unwrap());
        exchanges.flatten().collect()
    })
}

fn run_client(
    proxy: SocketAddr,
    index: usize,
    start: Instant,
    end: Instant,
    time_left_ms: u64,
) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    let mut client = Client::connect(proxy);
    let mut next = start;
    while next < end {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        let class = CLASSES[(index + exchanges.len()) % CLASSES.len()];
        let request = request(class, time_left_ms);
        let sent_at = Instant::now();
        client.send(&request);
        let response = client.read_response();
        if response.is_none() {
            client = Client::connect(proxy);
        }
        exchanges.push(Exchange {
            id: correlation_id(&request),
            class,
            sent_at,
            answered_at: Instant::now(),
            response,
        });
        next = (next + CLIENT_INTERVAL).max(Instant::now());
    }
    exchanges
}

fn correlation_id(request: &str) -> String {
    let line = request
        .lines()
        .find_map(|line| line.strip_prefix("X-Correlation-Id: "));
    line.unwrap().to_string()
}
