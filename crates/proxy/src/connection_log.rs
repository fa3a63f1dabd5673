//! The log lines about connections to backends.

use crate::clock::{Clock, MICROS_PER_MILLISECOND};
use crate::log_target;
use brookstack_balancer::{BackendProcess, LastResponse, Micros, Time, UnsolicitedKind};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The shortest interval between two warnings.
const WARNING_INTERVAL: Micros = Micros(500_000);
/// The shortest interval between two lines about closed connections.
const CLOSE_INTERVAL: Micros = Micros(20_000);

/// Why a connection to a backend was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The attempt that used it was cancelled, or its time was over.
    AttemptAborted,
    /// Connections are not kept, because second responses were seen to take long.
    NotKept,
    /// The response on it was not believed.
    ResponseDoubted,
    /// The list or the idempotency key of its attempt expired while it was established.
    AttemptExpired,
    /// The exchange on it failed.
    ExchangeFailed,
    /// The backend closed it.
    ClosedByBackend,
    /// Bytes arrived that no request asked for.
    UnsolicitedBytes,
    /// It was idle for too long.
    IdleTimeout,
    /// There are more idle connections than the limit.
    IdleLimit,
    /// Its socket was needed for another connection.
    SocketNeeded,
    /// The backend accepts no new requests.
    BackendNotAccepting,
    /// Its memory was needed for a client's connection.
    MemoryNeeded,
    /// Its buffers have grown, and memory is scarce.
    BuffersGrown,
}

/// The history of one connection, for the log.
pub struct ConnectionRecord {
    /// The name of the backend.
    pub backend: Rc<str>,
    /// The process of the backend.
    pub process: BackendProcess,
    /// The address of the backend.
    pub address: SocketAddr,
    /// When the connection was established.
    pub established_at: Time,
    /// How many requests were sent on it, or begun to be sent.
    pub requests: u32,
    /// When the first response was read completely.
    pub first_response_at: Option<Time>,
    /// The last complete response.
    pub last_response: Option<LastResponse>,
}

/// A limit on the rate of lines of one kind.
struct RateLimit {
    interval: Micros,
    last_line_at: Cell<Option<Time>>,
    /// The number of lines that were dropped since the last one.
    dropped: Cell<u64>,
}

impl RateLimit {
    fn new(interval: Micros) -> RateLimit {
        RateLimit {
            interval,
            last_line_at: Cell::new(None),
            dropped: Cell::new(0),
        }
    }

    /// Whether a line may be written now. Returns the number of lines that were dropped before it,
    /// or `None` if this one is dropped too.
    fn allow(&self, now: Time) -> Option<u64> {
        let last_line_at = self.last_line_at.get();
        if last_line_at.is_some_and(|last| now - last < self.interval) {
            self.dropped.set(self.dropped.get() + 1);
            return None;
        }
        self.last_line_at.set(Some(now));
        Some(self.dropped.take())
    }
}

/// Writes lines about connections, with limits on their rates.
pub struct ConnectionLog {
    clock: Clock,
    warnings: RateLimit,
    closes: RateLimit,
}

impl ConnectionLog {
    /// Creates a log without lines.
    pub fn new(clock: Clock) -> ConnectionLog {
        ConnectionLog {
            clock,
            warnings: RateLimit::new(WARNING_INTERVAL),
            closes: RateLimit::new(CLOSE_INTERVAL),
        }
    }

    /// Writes a line for a connection that is closed.
    pub fn write_close(&self, connection: &ConnectionRecord, reason: CloseReason) {
        let now = self.clock.now();
        let Some(dropped) = self.closes.allow(now) else {
            return;
        };
        tracing::debug!(
            target: log_target::CONNECTION,
            backend = %connection.backend,
            ?reason,
            age_ms = millis(now - connection.established_at),
            requests = connection.requests,
            dropped,
            "backend connection closed"
        );
    }

    /// Writes a line for bytes that arrived although no request asked for them. The time since the
    /// last response shows how late a second response comes.
    pub fn write_unsolicited(&self, connection: &ConnectionRecord, kind: UnsolicitedKind) {
        let now = self.clock.now();
        let Some(dropped) = self.warnings.allow(now) else {
            return;
        };
        tracing::warn!(
            target: log_target::CONNECTION,
            backend = %connection.backend,
            address = %connection.address,
            since_response_ms = connection.last_response.map(|last| millis(now - last.at)),
            requests = connection.requests,
            ?kind,
            dropped,
            "bytes from a backend that no request asked for"
        );
    }
}

fn millis(span: Micros) -> u64 {
    span.0 / MICROS_PER_MILLISECOND
}
