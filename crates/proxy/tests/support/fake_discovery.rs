//! An agent whose list the test publishes.

use super::http_message::{parameter, read_http_message};
use super::wait::wait_until;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How often the agent checks, during a call, whether the proxy has closed the connection.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What the test has published.
#[derive(Default)]
struct Published {
    /// The index of the latest list.
    index: u64,
    /// The body of the next response; `None` if the latest one has been sent.
    body: Option<String>,
    /// Whether watches are held open after the end of their wait.
    holds_watches: bool,
    /// How many watches were received while they are held open.
    held_watches: usize,
}

/// What the connections of the agent have received and sent so far.
#[derive(Default)]
struct Counts {
    calls: AtomicUsize,
    open_connections: AtomicUsize,
    /// Published bodies that were written.
    written: AtomicUsize,
    /// Published bodies after which the proxy has closed the connection of the call.
    taken: AtomicUsize,
}

/// The answer to a call.
struct Answer {
    body: String,
    is_published: bool,
}

/// An agent that answers a call as soon as the test publishes a body. A call for which nothing is
/// published gets the answer that nothing has changed: a watch at the end of its wait, a call for
/// the complete list at once, which then is the list in the proxy's configuration.
#[derive(Clone)]
pub struct FakeDiscovery {
    pub address: SocketAddr,
    published: Arc<(Mutex<Published>, Condvar)>,
    counts: Arc<Counts>,
}

impl FakeDiscovery {
    /// Starts the agent on a free port of the loopback interface.
    pub fn start() -> FakeDiscovery {
        FakeDiscovery::start_at("127.0.0.1:0".parse().unwrap())
    }

    /// Starts the agent at the given address.
    pub fn start_at(address: SocketAddr) -> FakeDiscovery {
        let listener = TcpListener::bind(address).unwrap();
        let discovery = FakeDiscovery {
            address: listener.local_addr().unwrap(),
            published: Arc::default(),
            counts: Arc::default(),
        };
        let acceptor = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let discovery = acceptor.clone();
                discovery
                    .counts
                    .open_connections
                    .fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    discovery.serve_connection(stream);
                    discovery
                        .counts
                        .open_connections
                        .fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        discovery
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = read_http_message(&mut reader) {
            self.counts.calls.fetch_add(1, Ordering::SeqCst);
            let wait_ms = parameter(&call.start_line, "wait_ms");
            let Some(answer) = self.wait_for_answer(&stream, wait_ms.map(Duration::from_millis))
            else {
                return;
            };
            let length = answer.body.len();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            // Fails if the proxy has closed the connection.
            let _ = stream.write_all((head + &answer.body).as_bytes());
            if answer.is_published {
                self.counts.written.fetch_add(1, Ordering::SeqCst);
                let is_closed = read_http_message(&mut reader).is_none();
                assert!(is_closed, "another call on the connection of a call");
                self.counts.taken.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
    }

    /// Waits until a body is published or the wait is over. Returns `None` if the proxy closes the
    /// connection first.
    fn wait_for_answer(&self, stream: &TcpStream, wait: Option<Duration>) -> Option<Answer> {
        let until = Instant::now() + wait.unwrap_or_default();
        let (published, changed) = &*self.published;
        let mut published = published.lock().unwrap();
        stream.set_nonblocking(true).unwrap();
        let mut is_held = false;
        while !matches!(stream.peek(&mut [0]), Ok(0)) {
            if published.holds_watches && wait.is_some() && !is_held {
                is_held = true;
                published.held_watches += 1;
            }
            let body = published.body.take();
            if body.is_some() || (!is_held && Instant::now() >= until) {
                stream.set_nonblocking(false).unwrap();
                return Some(Answer {
                    is_published: body.is_some(),
                    body: body.unwrap_or_else(|| list_body(published.index, false, &[])),
                });
            }
            published = changed
                .wait_timeout(published, CLOSE_CHECK_INTERVAL)
                .unwrap()
                .0;
        }
        None
    }

    /// How many calls were received.
    pub fn polls(&self) -> usize {
        self.counts.calls.load(Ordering::SeqCst)
    }

    /// How many connections the proxy has open.
    pub fn open_connections(&self) -> usize {
        self.counts.open_connections.load(Ordering::SeqCst)
    }

    /// Leaves watches open from now on until something is published, and waits until one is open.
    pub fn hold_watches(&self) {
        self.published.0.lock().unwrap().holds_watches = true;
        wait_until("a watch is held open", || {
            self.published.0.lock().unwrap().held_watches > 0
        });
    }

    /// Publishes the complete list as the response to the current call, or to the next one if there
    /// is none.
    pub fn publish_snapshot(&self, endpoints: &[Value]) {
        let body = self.next_body(true, endpoints);
        self.publish(&body);
    }

    /// Publishes the complete list and waits until it is written as the response to a call.
    pub fn write_snapshot(&self, endpoints: &[Value]) {
        let before = self.counts.written.load(Ordering::SeqCst);
        self.publish_snapshot(endpoints);
        wait_until("the response of discovery is written", || {
            self.counts.written.load(Ordering::SeqCst) > before
        });
    }

    /// Publishes the complete list and waits until the proxy has applied it.
    pub fn apply_snapshot(&self, endpoints: &[Value]) {
        let body = self.next_body(true, endpoints);
        self.apply_body(&body);
    }

    /// Publishes changed endpoints and waits until the proxy has applied them.
    pub fn apply_delta(&self, endpoints: &[Value]) {
        let body = self.next_body(false, endpoints);
        self.apply_body(&body);
    }

    /// Publishes the given body and waits until the proxy has closed the connection on which it was
    /// sent. By then it has applied or rejected the body.
    pub fn apply_body(&self, body: &str) {
        let before = self.counts.taken.load(Ordering::SeqCst);
        self.publish(body);
        wait_until("the proxy takes the response of discovery", || {
            self.counts.taken.load(Ordering::SeqCst) > before
        });
    }

    fn next_body(&self, is_snapshot: bool, endpoints: &[Value]) -> String {
        let mut published = self.published.0.lock().unwrap();
        published.index += 1;
        list_body(published.index, is_snapshot, endpoints)
    }

    fn publish(&self, body: &str) {
        let (published, changed) = &*self.published;
        published.lock().unwrap().body = Some(body.into());
        changed.notify_all();
    }
}

/// The body of an answer: the complete list, or changes up to the version `index`.
pub fn list_body(index: u64, is_snapshot: bool, endpoints: &[Value]) -> String {
    json!({"index": index, "snapshot": is_snapshot, "endpoints": endpoints}).to_string()
}
