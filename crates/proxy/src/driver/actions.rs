//! Carries out the balancer's actions: starts and cancels attempts, responds to clients, sets
//! timers and the limit on idle connections, requests polls of discovery, and writes to the log.

use super::attempt_log;
use super::balancer_log;
use super::in_flight_attempt::{self, InFlightAttempt};
use super::Driver;
use crate::attempt::{Attempt, AttemptDeadlines, SendProgress};
use crate::connection_log::CloseReason;
use crate::message::{AttemptId, FinalResponse};
use crate::upstream::Upstream;
use brookstack_balancer::{Action, BackendId, RequestId, Time};
use std::rc::Rc;

impl Driver {
    /// Carries out one action that the balancer requested in the tick at `now`.
    pub(super) fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend } => self.dispatch(now, request, backend),
            Action::Reject { request } => {
                if let Some(pending) = self.pending.get_mut(request) {
                    self.rejection_log.write(request, pending);
                }
                let retry_after = self.balancer.retry_after();
                self.respond(request, FinalResponse::Rejected(retry_after));
            }
            Action::Fail { request } => self.respond(request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request, attempt };
                self.pending.cancel_attempt(id, now, &mut self.balancer);
            }
            Action::SetTimer { token, after } => self.balancer.set_timer(now + after, token),
            Action::LimitIdleConnections { max_idle } => self.pool.set_max_idle(max_idle as usize),
            Action::WatchEndpoints => self.poll_requested.notify_one(),
            Action::Log(event) => balancer_log::write(event, &self.upstreams),
        }
    }

    /// Sends a final response. Reads the clock instead of using the time of the tick, because a
    /// tick with many responses may take a while.
    pub(super) fn respond(&mut self, request: RequestId, response: FinalResponse) {
        let now = self.clock.now();
        self.pending
            .respond(request, response, now, &mut self.balancer);
    }

    /// Starts an attempt. If it may not be sent any more, reports that to the balancer instead.
    pub(super) fn dispatch(&mut self, now: Time, request: RequestId, backend: BackendId) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        let id = AttemptId {
            request,
            attempt: pending.next_attempt_number(),
        };
        // The balancer may have decided before it handled an event that settled the request, or by
        // which the backend started to drain or was removed.
        let settled = !pending.awaits_response();
        let may_send = !settled && pending.deadline > now;
        match self.upstreams.accepting(backend) {
            Some(upstream) if may_send => {
                self.free_socket_if_full();
                self.start_attempt(now, id, upstream);
            }
            Some(_) | None => {
                let not_sent = in_flight_attempt::not_sent(id, settled);
                self.balancer.report(not_sent);
            }
        }
    }

    /// If all sockets are in use, closes an idle connection to any backend, so that the next
    /// attempt can connect.
    fn free_socket_if_full(&self) {
        if !self.pool.is_full() {
            return;
        }
        if let Some(address) = self.pool.close_idle(1, CloseReason::SocketNeeded) {
            tracing::debug!(
                "all backend sockets are in use: closed an idle connection to {address} to free one"
            );
        }
    }

    fn start_attempt(&mut self, now: Time, id: AttemptId, upstream: Rc<Upstream>) {
        let Some(pending) = self.pending.get_mut(id.request) else {
            return;
        };
        let evidence = self.balancer.list_evidence(now);
        self.evidence_log.record_attempt(now);
        attempt_log::write_start(now, id, &upstream, self.list_version, evidence);
        let attempt = Attempt {
            id,
            pool: self.pool.clone(),
            upstream,
            request: pending.forwarded.clone(),
            deadlines: AttemptDeadlines {
                send_by: self.balancer.send_by(now, id.request),
                deadline: pending.deadline,
            },
            progress: Rc::new(SendProgress::default()),
            events: self.event_sender.clone(),
        };
        let in_flight = InFlightAttempt::start(now, attempt);
        pending.attempts.insert(id.attempt, in_flight);
    }
}
