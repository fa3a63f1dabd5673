//! Stand-ins for the usual clients: one request at a time on a connection, which they keep.

use crate::http::{read_message, Message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A class of requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Class {
    ManifestRead,
    SlotHold,
    LoadConfirm,
}

pub const CLASSES: [Class; 3] = [Class::ManifestRead, Class::SlotHold, Class::LoadConfirm];

impl Class {
    pub fn name(self) -> &'static str {
        match self {
            Class::ManifestRead => "manifest-read",
            Class::SlotHold => "slot-hold",
            Class::LoadConfirm => "load-confirm",
        }
    }

    /// How long the client waits: the deadline of the class.
    pub fn time_left(self) -> Duration {
        Duration::from_millis(match self {
            Class::SlotHold => 2_000,
            Class::ManifestRead | Class::LoadConfirm => 2_500,
        })
    }
}

/// A request as it is written to a proxy.
pub struct Request {
    pub id: String,
    pub class: Class,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

impl Request {
    /// A new request with an id of its own.
    pub fn new(class: Class) -> Request {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let name = class.name();
        let common = format!(
            "Host: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {name}\r\nCookie: key={:016x}\r\nX-Time-Left-Ms: {}\r\n",
            number % 600,
            class.time_left().as_millis()
        );
        let body = match class {
            Class::ManifestRead => Vec::new(),
            _ => format!("{{\"booking\":\"{id}\",\"sailing\":\"{}\"}}", "CMB-GAL ".repeat(20)).into_bytes(),
        };
        let head = match class {
            Class::ManifestRead => format!("GET /{name}/{number} HTTP/1.1\r\n{common}\r\n"),
            Class::SlotHold => format!(
                "POST /{name}/{number} HTTP/1.1\r\n{common}Idempotency-Key: {id}{id}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            ),
            Class::LoadConfirm => format!(
                "POST /{name}/{number} HTTP/1.1\r\n{common}Content-Length: {}\r\n\r\n",
                body.len()
            ),
        };
        Request {
            id,
            class,
            head: head.into_bytes(),
            body,
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        [&self.head[..], &self.body[..]].concat()
    }
}

/// A connection of a client to a proxy.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// How many requests on it were answered.
    pub answered: u64,
}

impl Connection {
    pub fn open(proxy: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&proxy, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Connection {
            stream,
            reader,
            answered: 0,
        })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the proxy has ended the connection already.
    pub fn has_ended(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Reads the answer to a request. `Ok(None)` if the connection ends without one, an error if it
    /// is not complete by then or the connection breaks.
    pub fn read_answer(&mut self, until: Instant) -> io::Result<Option<Message>> {
        let left = until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left))?;
        let answer = read_message(&mut self.reader)?;
        if answer.is_some() {
            self.answered += 1;
        }
        Ok(answer)
    }
}

/// Whether an answer says that the proxy closes the connection.
pub fn closes(answer: &Message) -> bool {
    let connection = answer.header("Connection");
    connection.is_some_and(|value| value.eq_ignore_ascii_case("close"))
}
