//! A backend that records when it received and ended each request, and that can send responses that
//! no request asked for.

use super::http_message::{read_http_message, HttpMessage};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

/// The shortest time for which the backend works on a request.
const MIN_SERVICE_TIME_MS: u64 = 15;
/// The range of service times, which the identifier of a request determines.
const SERVICE_TIME_RANGE_MS: u64 = 30;

/// An unsolicited response that is written later than intended by more than this is left out, so
/// that none comes later than the test assumes.
const MAX_DELAY: Duration = Duration::from_millis(10);

/// A response that a request did not ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsolicitedResponse {
    /// None is sent.
    None,
    /// Each response is sent again, this long after it was sent.
    Repeated { lag: Duration },
    /// A response that promises that its request was not processed follows each response after
    /// this time.
    Rejection { lag: Duration },
    /// Each request reaches the backend twice, which works on it and responds to it twice.
    SecondDelivery,
    /// None is sent, and each response is written in two pieces, this long after each other.
    NoneInPieces { pause: Duration },
    /// One of so many responses announces a part of its body. The rest follows after this time.
    LateRest {
        announced: AnnouncedPart,
        lag: LagRange,
        one_in: usize,
    },
}

/// How much of a body its response announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncedPart {
    None,
    Half,
    AllButOneByte,
}

impl AnnouncedPart {
    fn of(self, length: usize) -> usize {
        match self {
            AnnouncedPart::None => 0,
            AnnouncedPart::Half => length / 2,
            AnnouncedPart::AllButOneByte => length - 1,
        }
    }
}

/// The shortest and the longest lag; the identifier of a request determines which one it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LagRange {
    pub shortest: Duration,
    pub longest: Duration,
}

impl LagRange {
    /// Each lag is the same.
    pub fn always(lag: Duration) -> LagRange {
        LagRange {
            shortest: lag,
            longest: lag,
        }
    }

    fn lag_of(self, id: &str) -> Duration {
        let range = self.longest.saturating_sub(self.shortest);
        self.shortest + range * (hash(id) % 1_000) as u32 / 1_000
    }
}

/// What a backend does with requests.
#[derive(Clone, Copy, Debug)]
pub struct BackendBehavior {
    pub unsolicited: UnsolicitedResponse,
    /// Whether it rejects half of the requests without processing them.
    pub rejects_half: bool,
}

/// A request that a backend received, once.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The correlation identifier of the request.
    pub id: String,
    pub received_at: Instant,
    /// When the response was written or the proxy closed the connection; `None` before that.
    pub ended_at: Option<Instant>,
    /// Whether the backend rejected the request without processing it.
    pub was_rejected: bool,
}

/// The requests that backends received, in order.
#[derive(Clone, Default)]
pub struct ExecutionLog(Arc<Mutex<Vec<Execution>>>);

impl ExecutionLog {
    /// Returns the requests so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.0.lock().unwrap().clone()
    }

    fn begin(&self, id: &str) -> usize {
        let mut executions = self.0.lock().unwrap();
        executions.push(Execution {
            id: id.to_string(),
            received_at: Instant::now(),
            ended_at: None,
            was_rejected: false,
        });
        executions.len() - 1
    }

    /// Records the end of a request, unless it has ended before.
    fn end(&self, index: usize, was_rejected: bool) {
        let execution = &mut self.0.lock().unwrap()[index];
        if execution.ended_at.is_none() {
            execution.ended_at = Some(Instant::now());
            execution.was_rejected = was_rejected;
        }
    }
}

/// The body of the response to the request with this correlation identifier.
pub fn response_body(id: &str) -> String {
    format!("response to {id}")
}

/// Starts a backend and returns its address.
pub fn start_recording_backend(behavior: BackendBehavior, log: &ExecutionLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let log = log.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let connection = BackendConnection {
                stream: Arc::new(Mutex::new(stream.try_clone().unwrap())),
                behavior,
                log: log.clone(),
            };
            std::thread::spawn(move || connection.receive(stream));
        }
    });
    address
}

/// A request that the backend has received.
struct ReceivedRequest {
    id: String,
    /// Its index in the log.
    index: usize,
}

/// A connection of the proxy. One thread reads requests, so that it notices at once when the proxy
/// closes the connection; another one works on them in turn.
#[derive(Clone)]
struct BackendConnection {
    /// The lock keeps the bytes of two responses apart.
    stream: Arc<Mutex<TcpStream>>,
    behavior: BackendBehavior,
    log: ExecutionLog,
}

impl BackendConnection {
    fn receive(self, stream: TcpStream) {
        let (sender, requests) = mpsc::channel();
        let worker = self.clone();
        std::thread::spawn(move || worker.serve(&requests));
        let mut reader = BufReader::new(stream);
        let mut received = Vec::new();
        while let Some(request) = read_http_message(&mut reader) {
            let id = correlation_id(&request);
            let index = self.log.begin(&id);
            received.push(index);
            let _ = sender.send(ReceivedRequest { id, index });
        }
        for index in received {
            self.log.end(index, false);
        }
    }

    fn serve(&self, requests: &mpsc::Receiver<ReceivedRequest>) {
        for request in requests {
            let ReceivedRequest { id, index } = &request;
            let is_rejected = self.behavior.rejects_half && hash(id) % 2 == 0;
            let response = if is_rejected {
                rejection()
            } else {
                std::thread::sleep(service_time(id));
                self.success(&request)
            };
            // Recorded before the response can reach the proxy.
            self.log.end(*index, is_rejected);
            self.write_response(&response);
            self.send_unsolicited(&request, response);
        }
    }

    fn write_response(&self, response: &str) {
        let UnsolicitedResponse::NoneInPieces { pause } = self.behavior.unsolicited else {
            self.write(response);
            return;
        };
        let (first, second) = response.split_at(response.len() / 2);
        self.write(first);
        std::thread::sleep(pause);
        self.write(second);
    }

    /// The response to a request, as far as its headers announce it.
    fn success(&self, request: &ReceivedRequest) -> String {
        let body = response_body(&request.id);
        let announced = self.announced_bytes(request, body.len());
        let part = &body[..announced];
        format!("HTTP/1.1 200 OK\r\nContent-Length: {announced}\r\n\r\n{part}")
    }

    /// The length that the response to a request announces, if its body has this length.
    fn announced_bytes(&self, request: &ReceivedRequest, body_bytes: usize) -> usize {
        match self.behavior.unsolicited {
            UnsolicitedResponse::LateRest {
                announced, one_in, ..
            } if request.index % one_in == 0 => announced.of(body_bytes),
            _ => body_bytes,
        }
    }

    fn send_unsolicited(&self, request: &ReceivedRequest, response: String) {
        let id = &request.id;
        match self.behavior.unsolicited {
            UnsolicitedResponse::None | UnsolicitedResponse::NoneInPieces { .. } => {}
            UnsolicitedResponse::LateRest { lag, .. } => {
                let body = response_body(id);
                let rest = &body[self.announced_bytes(request, body.len())..];
                if !rest.is_empty() {
                    std::thread::sleep(lag.lag_of(id));
                    self.write(rest);
                }
            }
            UnsolicitedResponse::Repeated { lag } => self.write_later(lag, response),
            UnsolicitedResponse::Rejection { lag } => self.write_later(lag, rejection()),
            UnsolicitedResponse::SecondDelivery => {
                std::thread::sleep(service_time(id));
                self.write(&response);
            }
        }
    }

    fn write_later(&self, lag: Duration, response: String) {
        let connection = self.clone();
        let intended_at = Instant::now() + lag;
        std::thread::spawn(move || {
            std::thread::sleep(lag);
            if intended_at.elapsed() <= MAX_DELAY {
                connection.write(&response);
            }
        });
    }

    /// Ignores errors: the proxy may have closed the connection.
    fn write(&self, response: &str) {
        let _ = self.stream.lock().unwrap().write_all(response.as_bytes());
    }
}

fn correlation_id(request: &HttpMessage) -> String {
    request.header("x-correlation-id").unwrap().to_string()
}

fn rejection() -> String {
    "HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_string()
}

fn service_time(id: &str) -> Duration {
    Duration::from_millis(MIN_SERVICE_TIME_MS + hash(id) / 2 % SERVICE_TIME_RANGE_MS)
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
