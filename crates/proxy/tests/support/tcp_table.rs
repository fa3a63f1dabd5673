//! Reads the system's table of TCP connections, `/proc/net/tcp`.

use std::net::SocketAddr;

/// State of a connection in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TcpState {
    /// The handshake is complete.
    Established,
    /// The handshake has begun. The listener's backlog has not taken the connection yet.
    SynSent,
}

impl TcpState {
    /// The code that the table uses for the state.
    pub fn code(self) -> &'static str {
        match self {
            TcpState::Established => "01",
            TcpState::SynSent => "02",
        }
    }
}

/// The address 127.0.0.1 with the port of `address`, in the table's hexadecimal format.
pub fn table_address(address: SocketAddr) -> String {
    format!("0100007F:{:04X}", address.port())
}

/// A line of the table, with its fields in the table's format.
#[derive(PartialEq, Eq, Hash)]
pub struct TcpConnection {
    pub local_address: String,
    pub remote_address: String,
    pub state: String,
}

/// Reads all IPv4 connections and listeners of the system.
pub fn tcp_connections() -> Vec<TcpConnection> {
    std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .lines()
        .map(parse_line)
        .collect()
}

fn parse_line(line: &str) -> TcpConnection {
    let mut fields = line.split_whitespace().skip(1).map(String::from);
    let mut next = || fields.next().unwrap_or_default();
    TcpConnection {
        local_address: next(),
        remote_address: next(),
        state: next(),
    }
}
