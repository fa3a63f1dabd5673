use super::*;
use crate::clock::Clock;
use crate::test_fixtures::{
    empty_request, first_attempt, memory_budget, read_request, resolved_endpoint,
};
use brookstack_balancer::{BackendState, Micros};
use hyper::Response;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

/// A backend that sends a second, unsolicited response on its first connection, and then serves one
/// request on another connection.
struct UnsolicitedResponseBackend {
    address: SocketAddr,
    first_response_read: mpsc::Sender<()>,
    second_response_written: mpsc::Receiver<()>,
    /// Returns the number of bytes that arrived on the first connection after its first request.
    thread: JoinHandle<usize>,
}

impl UnsolicitedResponseBackend {
    fn start() -> UnsolicitedResponseBackend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (first_response_read, response_read) = mpsc::channel();
        let (written, second_response_written) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let response = |body| format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{body}");
            let mut first = listener.accept().expect("a connection").0;
            read_request(&mut first);
            first.write_all(response("1").as_bytes()).expect("written");
            response_read.recv().expect("the first response was read");
            first.write_all(response("x").as_bytes()).expect("written");
            written.send(()).expect("the test waits");
            let mut second = listener.accept().expect("another connection").0;
            read_request(&mut second);
            second.write_all(response("2").as_bytes()).expect("written");
            // The read fails if the proxy closed the socket without reading the unsolicited
            // response, because the kernel then resets the connection.
            first.read(&mut [0]).unwrap_or(0)
        });
        UnsolicitedResponseBackend {
            address,
            first_response_read,
            second_response_written,
            thread,
        }
    }
}

/// An attempt for a request without headers or body, with its own pool and a deadline in 30 s.
fn attempt_to(address: SocketAddr, clock: Clock) -> Attempt {
    let second = Micros(1_000_000);
    let endpoint = resolved_endpoint(0, BackendState::Ready, address);
    Attempt {
        id: first_attempt(),
        pool: Rc::new(ConnectionPool::new(
            clock,
            second,
            second.times(30.0),
            8,
            memory_budget(),
        )),
        upstream: Rc::new(Upstream::new(endpoint)),
        request: empty_request(),
        deadlines: AttemptDeadlines {
            send_by: None,
            deadline: clock.now() + second.times(30.0),
        },
        progress: Rc::default(),
        events: tokio::sync::mpsc::unbounded_channel().0,
    }
}

/// Bytes that a backend sends after its response must not be taken for the response to the next
/// request, even if the runtime has not noticed them yet. In this test the runtime does not poll
/// its sockets between the two attempts.
#[tokio::test]
async fn an_unsolicited_response_is_not_taken_for_the_next_response() {
    let backend = UnsolicitedResponseBackend::start();
    let attempt = attempt_to(backend.address, Clock::new());
    let UnsolicitedResponseBackend {
        first_response_read,
        second_response_written,
        thread,
        ..
    } = backend;
    let body = |result: AttemptResult| result.response.map(Response::into_body);
    // The attempts run in a local task, as in the proxy. The runtime runs woken local tasks for a
    // while before it polls its sockets.
    let attempts = async move {
        let first = body(attempt.run().await);
        first_response_read.send(()).expect("the backend waits");
        second_response_written.recv().expect("written");
        (first, body(attempt.run().await))
    };
    let local = tokio::task::LocalSet::new();
    let bodies =
        local.run_until(async { tokio::task::spawn_local(attempts).await.expect("no panic") });
    assert_eq!(
        bodies.await,
        (Some(Bytes::from("1")), Some(Bytes::from("2")))
    );
    assert_eq!(
        thread.join().expect("no panic"),
        0,
        "no byte of the second request may be sent on the first connection"
    );
}

/// Guards against a request that waits for a new connection, which may not come up, while a
/// connection to the same backend has rested long enough to be reused.
#[tokio::test]
async fn a_connection_that_has_rested_is_used_before_a_new_one_comes_up() {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).expect("bound");
    socket.listen(0).expect("listening");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("its address");
    let (backlog_filled, is_filled) = mpsc::channel();
    std::thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        let connect = || TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok();
        let queued: Vec<TcpStream> = std::iter::from_fn(connect).take(100).collect();
        backlog_filled.send(()).expect("the test waits");
        for _ in 0..2 {
            read_request(&mut stream);
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .expect("written");
        }
        let _ = stream.read(&mut [0]); // returns when the proxy closes the connection
        drop(queued);
    });
    let attempt = attempt_to(address, Clock::new());
    let attempts = async move {
        let first = attempt.run().await.outcome;
        is_filled.recv().expect("the backlog is full");
        (first, attempt.run().await.outcome)
    };
    let local = tokio::task::LocalSet::new();
    let outcomes =
        local.run_until(async { tokio::task::spawn_local(attempts).await.expect("no panic") });
    assert_eq!(outcomes.await, (Outcome::Success, Outcome::Success));
}
