//! Watches what arrives on the connections to backends, for the decisions on their reuse and for
//! the log.

use crate::clock::Clock;
use crate::connection_log::{CloseReason, ConnectionLog, ConnectionRecord};
use brookstack_balancer::{
    ConnectionReuse, HoldEnd, ResponseArrival, ResponseDoubt, ResponseHold, ResponseJudgement,
    Time, UnsolicitedBytes, UnsolicitedKind,
};
use std::cell::RefCell;

/// What all connections to backends report to.
pub struct ConnectionMonitor {
    clock: Clock,
    log: ConnectionLog,
    reuse: RefCell<ConnectionReuse>,
}

impl ConnectionMonitor {
    /// Creates a monitor to which nothing was reported.
    pub fn new(clock: Clock) -> ConnectionMonitor {
        ConnectionMonitor {
            clock,
            log: ConnectionLog::new(clock),
            reuse: RefCell::default(),
        }
    }

    /// Whether connections are kept after a response.
    pub fn keeps_connections(&self) -> bool {
        self.reuse.borrow().keeps_connections(self.clock.now())
    }

    /// Whether the connection may carry another request now.
    pub fn may_reuse(&self, connection: &ConnectionRecord) -> bool {
        let now = self.clock.now();
        self.reuse.borrow().may_reuse(now, connection.last_response)
    }

    /// When the connection may carry another request, if it has had a response.
    pub fn reusable_from(&self, connection: &ConnectionRecord) -> Option<Time> {
        let now = self.clock.now();
        let last_response = connection.last_response?;
        Some(self.reuse.borrow().reusable_from(now, last_response))
    }

    /// Judges a response that has arrived.
    pub fn judge(&self, arrival: &ResponseArrival) -> ResponseJudgement {
        self.reuse.borrow_mut().judge(self.clock.now(), arrival)
    }

    /// Judges a response that was held back: why it must not be believed, `None` if it may be.
    pub fn judge_held(
        &self,
        arrival: &ResponseArrival,
        hold: ResponseHold,
        end: HoldEnd,
    ) -> Option<ResponseDoubt> {
        let now = self.clock.now();
        self.reuse.borrow_mut().judge_held(now, arrival, hold, end)
    }

    /// Reports bytes that no request asked for. `came_late` tells whether a look behind the last
    /// response had found nothing.
    pub fn report_unsolicited(
        &self,
        connection: &ConnectionRecord,
        kind: UnsolicitedKind,
        came_late: bool,
    ) {
        let now = self.clock.now();
        self.log.write_unsolicited(connection, kind);
        let (Some(first_response_at), Some(last_response)) =
            (connection.first_response_at, connection.last_response)
        else {
            return;
        };
        let bytes = UnsolicitedBytes {
            process: connection.process,
            came_late,
            since_first_response: now - first_response_at,
            since_last_response: now - last_response.at,
            kind,
        };
        self.reuse.borrow_mut().record_unsolicited(now, bytes);
    }

    /// Reports that a connection is closed.
    pub fn report_close(&self, connection: &ConnectionRecord, reason: CloseReason) {
        self.log.write_close(connection, reason);
    }
}
