//! Client connections to the proxy, and the requests that they send.

use super::http_message::{read_http_message, HttpMessage};
use super::proxy_process::ProxyProcess;
use super::tcp_table::{table_address, tcp_connections, TcpConnection, TcpState};
use super::wait::{wait_until, TEST_TIMEOUT};
use std::collections::HashSet;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How a client ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// With a FIN, the regular close.
    Fin,
    /// With a reset.
    Reset,
}

/// How clients disconnect in a test case.
#[derive(Clone, Copy, Debug)]
pub struct DisconnectCase {
    /// Whether the balancer may cancel attempts.
    pub cancellation_allowed: bool,
    /// How the clients end their connections.
    pub close_mode: CloseMode,
    /// What the clients send after their request. The proxy does not process it before it has
    /// answered the request.
    pub pipelined: &'static str,
}

/// A client's connection to the proxy.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        Client::try_connect(address).unwrap()
    }

    pub fn try_connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        Ok(Client {
            stream: BufReader::new(stream),
        })
    }

    /// Connects and sends the given text.
    pub fn connect_and_send(address: SocketAddr, text: &str) -> Client {
        let mut client = Client::connect(address);
        client.send(text);
        client
    }

    /// Sends the given text. Ignores errors, because the proxy may have closed the connection.
    pub fn send(&mut self, text: &str) {
        let _ = self.stream.get_mut().write_all(text.as_bytes());
    }

    /// Reads a response; `None` if the connection ends before the response is complete.
    pub fn read_response(&mut self) -> Option<HttpMessage> {
        read_http_message(&mut self.stream)
    }

    /// Reads a response and returns its status; `None` if the connection ends before the response
    /// is complete.
    pub fn read_status(&mut self) -> Option<u16> {
        self.read_response().map(|response| response.status())
    }

    /// Whether the proxy has closed the connection. Does not wait, and discards all bytes that have
    /// arrived.
    pub fn is_closed(&mut self) -> bool {
        self.tcp_stream().set_nonblocking(true).unwrap();
        let mut buffer = [0; 4096];
        let is_closed = loop {
            match self.tcp_stream().read(&mut buffer) {
                Ok(1..) => {}
                Ok(0) => break true,
                Err(error) => break error.kind() != ErrorKind::WouldBlock,
            }
        };
        self.tcp_stream().set_nonblocking(false).unwrap();
        is_closed
    }

    /// Waits until the proxy closes the connection or sends a byte, and returns whether it has
    /// closed the connection. An error counts as a close, including the timeout of the read.
    pub fn wait_for_close(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0) | Err(_))
    }

    /// Closes the connection and waits until it is no longer established.
    pub fn close(self, mode: CloseMode) {
        close_all(vec![self], mode);
    }

    fn tcp_stream(&mut self) -> &TcpStream {
        self.stream.get_mut()
    }

    /// The line of the TCP table that stands for this connection while it is established.
    fn established_connection(&mut self) -> TcpConnection {
        TcpConnection {
            local_address: table_address(self.tcp_stream().local_addr().unwrap()),
            remote_address: table_address(self.tcp_stream().peer_addr().unwrap()),
            state: TcpState::Established.code().into(),
        }
    }
}

/// Closes connections and waits until they are no longer established. The wait is needed because a
/// process that another test starts holds copies of the sockets for a moment, and the system ends a
/// connection only when its last copy is closed.
pub fn close_all(mut clients: Vec<Client>, mode: CloseMode) {
    let mut closing = HashSet::new();
    for client in &mut clients {
        closing.insert(client.established_connection());
        if mode == CloseMode::Reset {
            socket2::SockRef::from(client.tcp_stream())
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    }
    drop(clients);
    wait_until("the connections have ended", || {
        !tcp_connections()
            .iter()
            .any(|connection| closing.contains(connection))
    });
}

/// A request of a class that the tests' settings define, with a unique id.
pub fn request(class: &str, time_left_ms: u64) -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let (method, class_headers) = match class {
        "read" => ("GET", ""),
        "vote" => ("POST", "Idempotency-Key: k1\r\nContent-Length: 4\r\n"),
        _ => ("POST", "Content-Length: 4\r\n"),
    };
    let body = if method == "GET" { "" } else { "body" };
    format!(
        "{method} /{class}/a?b=c HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {time_left_ms}\r\n{class_headers}\r\n{body}"
    )
}

/// Sends a request on a new connection and returns the response.
pub fn send_request(proxy: &ProxyProcess, request: &str) -> HttpMessage {
    Client::connect_and_send(proxy.address, request)
        .read_response()
        .expect("a complete response")
}

/// Sends requests of the class `read` one after another and asserts that each succeeds.
pub fn assert_reads_succeed(proxy: &ProxyProcess, count: usize) {
    for _ in 0..count {
        let response = send_request(proxy, &request("read", 7000));
        assert_eq!(response.status(), 200);
    }
}
