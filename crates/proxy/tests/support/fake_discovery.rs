//! A discovery service that leaves each poll unanswered until the test publishes a response body.

use super::http_message::read_http_message;
use super::wait::wait_until;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// How often the service checks, during a poll, whether the proxy has closed the connection.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What the test has published.
#[derive(Default)]
struct Published {
    /// The index of the latest list.
    index: u64,
    /// The body of the next response; `None` if the latest one has been sent.
    body: Option<String>,
}

/// A discovery service that responds to a poll as soon as the test publishes a body. A poll for
/// which nothing is published gets no response.
#[derive(Clone)]
pub struct FakeDiscovery {
    pub address: SocketAddr,
    published: Arc<(Mutex<Published>, Condvar)>,
    polls: Arc<Mutex<usize>>,
    responses_written: Arc<Mutex<usize>>,
    connections_closed: Arc<Mutex<usize>>,
}

impl FakeDiscovery {
    /// Starts the service on a free port of the loopback interface.
    pub fn start() -> FakeDiscovery {
        FakeDiscovery::start_at("127.0.0.1:0".parse().unwrap())
    }

    /// Starts the service at the given address.
    pub fn start_at(address: SocketAddr) -> FakeDiscovery {
        let listener = TcpListener::bind(address).unwrap();
        let discovery = FakeDiscovery {
            address: listener.local_addr().unwrap(),
            published: Arc::default(),
            polls: Arc::default(),
            responses_written: Arc::default(),
            connections_closed: Arc::default(),
        };
        let acceptor = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let discovery = acceptor.clone();
                std::thread::spawn(move || discovery.serve_connection(stream));
            }
        });
        discovery
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while read_http_message(&mut reader).is_some() {
            *self.polls.lock().unwrap() += 1;
            let Some(body) = self.wait_for_body(&stream) else {
                break;
            };
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            // Fails if the proxy has closed the connection.
            let _ = stream.write_all((head + &body).as_bytes());
            *self.responses_written.lock().unwrap() += 1;
        }
    }

    /// Waits until a body is published and returns it. Returns `None` if the proxy closes the
    /// connection first.
    fn wait_for_body(&self, stream: &TcpStream) -> Option<String> {
        let (published, changed) = &*self.published;
        let mut published = published.lock().unwrap();
        stream.set_nonblocking(true).unwrap();
        while !matches!(stream.peek(&mut [0]), Ok(0)) {
            if let Some(body) = published.body.take() {
                stream.set_nonblocking(false).unwrap();
                return Some(body);
            }
            published = changed
                .wait_timeout(published, CLOSE_CHECK_INTERVAL)
                .unwrap()
                .0;
        }
        *self.connections_closed.lock().unwrap() += 1;
        None
    }

    /// How many polls were received.
    pub fn polls(&self) -> usize {
        *self.polls.lock().unwrap()
    }

    /// How many connections the proxy closed during a poll.
    pub fn connections_closed(&self) -> usize {
        *self.connections_closed.lock().unwrap()
    }

    /// Publishes the complete list as the response to the current poll, or to the next one if there
    /// is none.
    pub fn publish_snapshot(&self, endpoints: &[Value]) {
        let body = self.next_body(true, endpoints);
        self.publish(&body);
    }

    /// Publishes the complete list and waits until it is written as the response to a poll.
    pub fn write_snapshot(&self, endpoints: &[Value]) {
        let before = self.responses_written();
        self.publish_snapshot(endpoints);
        wait_until("the response of discovery is written", || {
            self.responses_written() > before
        });
    }

    /// Publishes the complete list and waits until the proxy polls again, by which time it has
    /// applied the list.
    pub fn apply_snapshot(&self, endpoints: &[Value]) {
        let body = self.next_body(true, endpoints);
        self.apply_body(&body);
    }

    /// Publishes changed endpoints and waits until the proxy polls again, by which time it has
    /// applied them.
    pub fn apply_delta(&self, endpoints: &[Value]) {
        let body = self.next_body(false, endpoints);
        self.apply_body(&body);
    }

    /// Publishes the given body and waits until the proxy polls again, by which time it has applied
    /// or rejected the body.
    pub fn apply_body(&self, body: &str) {
        let before = self.polls();
        self.publish(body);
        // If no poll was received before, the first poll gets the body, and the second poll shows
        // that the proxy has processed it.
        let expected = if before == 0 { 2 } else { before + 1 };
        wait_until("the proxy polls discovery again", || {
            self.polls() >= expected
        });
    }

    fn next_body(&self, is_snapshot: bool, endpoints: &[Value]) -> String {
        let mut published = self.published.0.lock().unwrap();
        published.index += 1;
        json!({"index": published.index, "snapshot": is_snapshot, "endpoints": endpoints})
            .to_string()
    }

    fn publish(&self, body: &str) {
        let (published, changed) = &*self.published;
        published.lock().unwrap().body = Some(body.into());
        changed.notify_all();
    }

    fn responses_written(&self) -> usize {
        *self.responses_written.lock().unwrap()
    }
}
