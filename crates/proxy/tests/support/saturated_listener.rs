//! A listener whose backlog is full, so that connections to it cannot be established until the test
//! empties the backlog.

use super::byte_counter::ByteCounter;
use super::tcp_table::{table_address, tcp_connections, TcpState};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A connection on which nothing arrives for this time is regarded as idle.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// The backlog is regarded as full when a connection is not established within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A listener whose backlog is full.
pub struct SaturatedListener {
    listener: TcpListener,
    /// The connections that fill the backlog.
    queued: Vec<TcpStream>,
}

impl SaturatedListener {
    /// Starts a listener with the smallest backlog.
    pub fn start() -> SaturatedListener {
        SaturatedListener::with_backlog(0)
    }

    /// Starts a listener with the given backlog. After [`SaturatedListener::accept_queued`],
    /// `backlog` + 1 connections can be established at the same time.
    pub fn with_backlog(backlog: i32) -> SaturatedListener {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any_port.into()).unwrap();
        socket.listen(backlog).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let queued =
            std::iter::from_fn(|| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok())
                .take(100)
                .collect();
        SaturatedListener { listener, queued }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Whether a connection to the listener is waiting to be established.
    pub fn has_pending_connect(&self) -> bool {
        self.connections_in(TcpState::SynSent) > 0
    }

    /// How many connections to the listener are in the given state.
    pub fn connections_in(&self, state: TcpState) -> usize {
        let address = table_address(self.address());
        tcp_connections()
            .iter()
            .filter(|connection| connection.remote_address == address)
            .filter(|connection| connection.state == state.code())
            .count()
    }

    /// Empties the backlog without reading anything, so that waiting connections are established.
    pub fn accept_queued(&mut self) {
        self.queued.clear();
        self.listener.set_nonblocking(true).unwrap();
        while self.listener.accept().is_ok() {}
        self.listener.set_nonblocking(false).unwrap();
    }

    /// Accepts all connections from now on and returns the number of bytes that the proxy has sent
    /// on them.
    pub fn count_received_bytes(self) -> usize {
        self.into_byte_counter(IDLE_TIMEOUT).finish()
    }

    /// Accepts all connections from now on and starts to count the bytes that arrive on them, as
    /// [`ByteCounter::start`] describes.
    pub fn into_byte_counter(self, idle_timeout: Duration) -> ByteCounter {
        drop(self.queued);
        ByteCounter::start(self.listener, idle_timeout)
    }
}
