//! A backend whose responses the test determines.

use super::http_message::{read_http_message, HttpMessage};
use super::wait::wait_until;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a fake backend does with a request.
pub enum Reply {
    /// Writes the given text and keeps the connection open.
    Respond(String),
    /// Writes the given text and closes the connection.
    RespondAndClose(String),
    /// Writes the given text, and closes the connection after a pause.
    RespondAndCloseLater { text: String, pause: Duration },
    /// Writes the first text, and the second one after a pause. Keeps the connection open.
    RespondInTwoParts {
        first: String,
        pause: Duration,
        second: String,
    },
    /// Writes nothing and keeps the connection open.
    NoResponse,
}

/// A response with status 200 and the given body; the connection stays open.
pub fn ok_response(body: &str) -> Reply {
    let length = body.len();
    Reply::Respond(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
    ))
}

/// A response with status 503 and the header that says that the request was not executed, so that
/// it may be retried on another backend.
pub fn rejected_response() -> Reply {
    Reply::Respond("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into())
}

/// What the connections of a backend have received, sent and closed so far.
#[derive(Default)]
struct Observed {
    /// The requests that were received completely, in order.
    requests: Mutex<Vec<HttpMessage>>,
    responses_written: Mutex<usize>,
    connections_opened: Mutex<usize>,
    connections_closed: Mutex<usize>,
    /// All connections so far, to be reset when the backend stops.
    streams: Mutex<Vec<TcpStream>>,
    is_stopped: AtomicBool,
}

/// A backend on a port of the loopback interface that records the requests it receives.
pub struct FakeBackend {
    pub address: SocketAddr,
    observed: Arc<Observed>,
}

impl FakeBackend {
    /// Starts a backend that does with each request what `handler` returns for it.
    pub fn start(handler: impl Fn(&HttpMessage) -> Reply + Send + Sync + 'static) -> FakeBackend {
        FakeBackend::start_at("127.0.0.1:0".parse().unwrap(), handler)
    }

    /// Like [`FakeBackend::start`], at the given address.
    pub fn start_at(
        address: SocketAddr,
        handler: impl Fn(&HttpMessage) -> Reply + Send + Sync + 'static,
    ) -> FakeBackend {
        let listener = bind(address);
        let address = listener.local_addr().unwrap();
        let observed = Arc::new(Observed::default());
        let handler = Arc::new(handler);
        let backend = FakeBackend {
            address,
            observed: observed.clone(),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if observed.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let copy = stream.try_clone().unwrap();
                observed.streams.lock().unwrap().push(copy);
                let observed = observed.clone();
                let handler = handler.clone();
                std::thread::spawn(move || serve_connection(stream, &observed, &*handler));
            }
        });
        backend
    }

    /// Starts a backend that responds to every request with status 200 and the given body.
    pub fn responding_ok(body: &'static str) -> FakeBackend {
        FakeBackend::start(move |_| ok_response(body))
    }

    /// Starts a backend that reads requests and never responds.
    pub fn unresponsive() -> FakeBackend {
        FakeBackend::start(|_| Reply::NoResponse)
    }

    /// Ends the process that the backend stands for: its connections are closed and new ones are
    /// refused, so that another backend can start at the same address.
    pub fn stop(&self) {
        self.observed.is_stopped.store(true, Ordering::SeqCst);
        // The acceptor drops its listener when it gets this connection.
        let _ = TcpStream::connect(self.address);
        for stream in self.observed.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        wait_until("the backend refuses connections", || {
            TcpStream::connect(self.address).is_err()
        });
    }

    /// Returns the requests that were received completely, in order.
    pub fn requests(&self) -> Vec<HttpMessage> {
        self.observed.requests.lock().unwrap().clone()
    }

    /// How many requests were received completely.
    pub fn request_count(&self) -> usize {
        self.observed.requests.lock().unwrap().len()
    }

    pub fn responses_written(&self) -> usize {
        *self.observed.responses_written.lock().unwrap()
    }

    pub fn connections_opened(&self) -> usize {
        *self.observed.connections_opened.lock().unwrap()
    }

    pub fn connections_closed(&self) -> usize {
        *self.observed.connections_closed.lock().unwrap()
    }
}

/// Binds to an address as soon as it is free. A process that another test starts holds copies of
/// all sockets until it executes its program, also of a listener that was just closed at this
/// address.
fn bind(address: SocketAddr) -> TcpListener {
    let mut listener = None;
    wait_until("the address of the backend is free", || {
        listener = TcpListener::bind(address).ok();
        listener.is_some()
    });
    listener.unwrap()
}

fn serve_connection(
    mut stream: TcpStream,
    observed: &Observed,
    handler: &dyn Fn(&HttpMessage) -> Reply,
) {
    *observed.connections_opened.lock().unwrap() += 1;
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_http_message(&mut reader) {
        observed.requests.lock().unwrap().push(request.clone());
        let (text, closes) = match handler(&request) {
            Reply::Respond(text) => (text, false),
            Reply::RespondAndClose(text) => (text, true),
            Reply::RespondAndCloseLater { text, pause } => {
                let _ = stream.write_all(text.as_bytes());
                std::thread::sleep(pause);
                (String::new(), true)
            }
            Reply::RespondInTwoParts {
                first,
                pause,
                second,
            } => {
                let _ = stream.write_all(first.as_bytes());
                std::thread::sleep(pause);
                (second, false)
            }
            Reply::NoResponse => continue,
        };
        let _ = stream.write_all(text.as_bytes()); // the proxy may have closed the connection
        *observed.responses_written.lock().unwrap() += 1;
        if closes {
            let _ = stream.shutdown(Shutdown::Both);
            break;
        }
    }
    *observed.connections_closed.lock().unwrap() += 1;
}
