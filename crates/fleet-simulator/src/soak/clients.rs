//! Stand-ins for clients. Each client sends one request at a time. It keeps its connection for as
//! long as the proxy leaves it open, even after the proxy has got SIGTERM.

use super::http::{Message, MessageReader, ReadError};
use super::plan::{Plan, RUN_SECS};
use super::proxies::FrontLoadBalancer;
use super::records::{Class, Recorder, RequestEnd, RequestRecord, RunClock};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A response may come up to this time after the client's deadline, s. It is then of no use to the
/// client, but the request does not count as unanswered.
pub const RESPONSE_GRACE_SECS: f64 = 0.5;
/// Each time limit is extended by this time where it is measured at a socket, s.
pub const SOCKET_SLACK_SECS: f64 = 0.05;
/// The range of the pause between a response and the next request, s.
const THINK_SECS: Range<f64> = 0.0..0.06;
/// The range of the time after a request at which a client that leaves closes its connection, s.
const LEAVE_AFTER_SECS: Range<f64> = 0.0..0.1;
/// The pause before a client that could not connect to any proxy tries again, s.
const RECONNECT_DELAY_SECS: f64 = 0.03;
/// The shortest deadline of a request, as a fraction of the longest deadline of the plan.
const MIN_TIME_LEFT_FRACTION: f64 = 0.4;

/// A stand-in for one client.
pub struct Client {
    /// The number of the client.
    pub number: usize,
    /// The plan of the run.
    pub plan: Plan,
    /// The load balancer in front of the proxies.
    pub load_balancer: FrontLoadBalancer,
    /// The clock of the run.
    pub clock: RunClock,
    /// Records the requests.
    pub recorder: Recorder,
}

/// A request before it is sent.
struct Request {
    id: String,
    class: Class,
    time_left: f64,
    text: String,
}

/// What the client does with the connection after a response.
#[derive(PartialEq, Eq)]
enum NextConnection {
    Reuse,
    Reconnect,
}

impl Client {
    /// Sends requests until the end of the run.
    pub async fn run(self) {
        let seed = self.plan.seed.wrapping_mul(1_000_003) + self.number as u64;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut sent = 0;
        while self.clock.now() < RUN_SECS {
            let proxy = self.load_balancer.pick(&mut random);
            let connected = match proxy {
                Some(proxy) => TcpStream::connect(self.load_balancer.address(proxy))
                    .await
                    .ok(),
                None => None,
            };
            let (Some(proxy), Some(stream)) = (proxy, connected) else {
                tokio::time::sleep(Duration::from_secs_f64(RECONNECT_DELAY_SECS)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let left = self
                .use_connection(stream, proxy, &mut random, &mut sent)
                .await;
            if let Some(request) = left {
                self.send_again(request, proxy).await;
            }
        }
    }

    /// Sends a request, from which the client has left, again to the same proxy.
    async fn send_again(&self, request: Request, proxy: usize) {
        let address = self.load_balancer.address(proxy);
        let Ok(mut stream) = TcpStream::connect(address).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        if stream.write_all(request.text.as_bytes()).await.is_err() {
            return;
        }
        let sent_at = self.clock.now();
        let mut reader = MessageReader::default();
        let (end, _) = self
            .wait_for_response(&request, sent_at, None, stream, &mut reader)
            .await;
        self.record(&request, proxy, sent_at, true, end);
    }

    fn record(
        &self,
        request: &Request,
        proxy: usize,
        sent_at: f64,
        is_first_on_connection: bool,
        end: RequestEnd,
    ) {
        self.recorder.lock().requests.push(RequestRecord {
            id: request.id.clone(),
            class: request.class,
            proxy,
            sent_at,
            deadline_at: sent_at + request.time_left,
            is_first_on_connection,
            end,
            ended_at: self.clock.now(),
        });
    }

    /// Sends requests on a connection until it ends. Returns the last one if the client has left it
    /// and is to send it again.
    async fn use_connection(
        &self,
        mut stream: TcpStream,
        proxy: usize,
        random: &mut Pcg64Mcg,
        sent: &mut u64,
    ) -> Option<Request> {
        let mut reader = MessageReader::default();
        let mut is_first = true;
        while self.clock.now() < RUN_SECS {
            let request = self.draw_request(random, *sent);
            *sent += 1;
            if stream.write_all(request.text.as_bytes()).await.is_err() {
                return None; // the proxy closed the connection before the request was written
            }
            let sent_at = self.clock.now();
            let leaves = random.random_bool(self.plan.leaving_fraction);
            let leave_after = leaves.then(|| random.random_range(LEAVE_AFTER_SECS));
            let (end, next) = self
                .wait_for_response(&request, sent_at, leave_after, stream, &mut reader)
                .await;
            self.record(&request, proxy, sent_at, is_first, end);
            is_first = false;
            let Some(open) = next else {
                let comes_again = end == RequestEnd::ClientLeft
                    && random.random_bool(self.plan.limits.resending_fraction);
                return comes_again.then_some(request);
            };
            stream = open;
            let think = random.random_range(THINK_SECS);
            tokio::time::sleep(Duration::from_secs_f64(think)).await;
            if reader.has_bytes() {
                self.recorder.lock().surplus_bytes_after.push(request.id);
            }
        }
        None
    }

    /// Waits for the response, or leaves after `leave_after` seconds. Returns how the request
    /// ended, and the connection if it can be used for another request.
    async fn wait_for_response(
        &self,
        request: &Request,
        sent_at: f64,
        leave_after: Option<f64>,
        mut stream: TcpStream,
        reader: &mut MessageReader,
    ) -> (RequestEnd, Option<TcpStream>) {
        let max_wait = request.time_left + RESPONSE_GRACE_SECS + SOCKET_SLACK_SECS;
        let waits_until = sent_at + leave_after.unwrap_or(max_wait);
        let result = tokio::select! {
            result = reader.read(&mut stream) => Some(result),
            () = self.clock.sleep_until(waits_until) => None,
        };
        match result {
            None if leave_after.is_some() => (RequestEnd::ClientLeft, None),
            None => (RequestEnd::Unanswered, None),
            Some(Err(ReadError::ClosedBeforeStart)) => (RequestEnd::Closed, None),
            Some(Err(ReadError::IncompleteOrInvalid)) => (RequestEnd::IncompleteResponse, None),
            Some(Ok(response)) => {
                let next = next_connection(&response);
                let open = (next == NextConnection::Reuse).then_some(stream);
                (classify(request, &response), open)
            }
        }
    }

    fn draw_request(&self, random: &mut Pcg64Mcg, number: u64) -> Request {
        let class = match random.random_range(0..4) {
            0 => Class::Vote,
            1 => Class::Pay,
            _ => Class::Read,
        };
        let id = format!("{:x}-{}-{number}", self.plan.seed, self.number);
        let fraction = random.random_range(MIN_TIME_LEFT_FRACTION..1.0);
        let time_left_ms = (self.plan.deadline_secs * fraction * 1_000.0) as u64;
        let name = class.name();
        let method = if class == Class::Read { "GET" } else { "POST" };
        let mut text = format!(
            "{method} /{name}/{number} HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: {id}\r\n\
             X-Service-Class: {name}\r\nX-Time-Left-Ms: {time_left_ms}\r\n"
        );
        if class == Class::Vote {
            text.push_str("Idempotency-Key: ");
            text.push_str(&id);
            text.push_str("\r\n");
        }
        text += if class == Class::Read {
            "\r\n"
        } else {
            "Content-Length: 4\r\n\r\nbody"
        };
        Request {
            id,
            class,
            time_left: time_left_ms as f64 / 1_000.0,
            text,
        }
    }
}

fn classify(request: &Request, response: &Message) -> RequestEnd {
    let status = response.status().unwrap_or(0);
    let is_own = status != 200 || response.body == request.id.as_bytes();
    RequestEnd::Answered { status, is_own }
}

fn next_connection(response: &Message) -> NextConnection {
    match response.header("connection") {
        Some(value) if value.eq_ignore_ascii_case("close") => NextConnection::Reconnect,
        _ => NextConnection::Reuse,
    }
}
