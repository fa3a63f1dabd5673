//! One attempt to have a request served by a backend, from the choice of a connection to the
//! outcome.

use crate::backend_connection::{BackendConnection, ExchangeError};
use crate::backend_response::AttemptResult;
use crate::clock::MICROS_PER_MILLISECOND;
use crate::connection_log::CloseReason;
use crate::connection_pool::{ConnectError, ConnectionPool, ReusedConnection};
use crate::forwarded_request::{ForwardedRequest, TIME_LEFT_HEADER};
use crate::log_target;
use crate::message::{AttemptId, DriverEvent};
use crate::tracked_stream::StreamProgress;
use crate::upstream::Upstream;
use brookstack_balancer::{
    HoldEnd, Micros, Outcome, ResponseArrival, ResponseDoubt, ResponseHold, ResponseJudgement, Time,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use tokio::sync::mpsc;

mod send_progress;

pub use send_progress::SendProgress;

/// A response that is held back is decided on this long before the deadline of its request, so that
/// the client gets its answer in time.
const RESPONSE_TIME: Micros = Micros(10_000);

/// The time limits of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// The time before which the first byte must be sent, or `None` if there is no such limit.
    /// After that time the attempt is not safe: the endpoint list may lack that the backend was
    /// removed, or backends may have forgotten the request's idempotency key.
    pub send_by: Option<Time>,
    /// The deadline of the request, from which the time left in the forwarded header is computed.
    /// The driver aborts the attempt at this time.
    pub deadline: Time,
}

/// One attempt to have a request served by a backend.
pub struct Attempt {
    /// The identifier of the attempt.
    pub id: AttemptId,
    /// The pool that provides the connection and gets it back.
    pub pool: Rc<ConnectionPool>,
    /// The backend's process that the request is sent to.
    pub upstream: Rc<Upstream>,
    /// The request to send.
    pub request: Rc<ForwardedRequest>,
    /// The time limits of the attempt.
    pub deadlines: AttemptDeadlines,
    /// How much of the request has been sent, shared with the driver.
    pub progress: Rc<SendProgress>,
    /// The channel to the driver.
    pub events: mpsc::UnboundedSender<DriverEvent>,
}

/// A connection that an attempt may use.
struct AcquiredConnection {
    connection: BackendConnection,
    idle_since: Time,
    is_new: bool,
}

impl Attempt {
    /// Runs the attempt until it has an outcome. Dropping the future closes the connection.
    pub async fn run(&self) -> AttemptResult {
        loop {
            let acquired = match self.acquire_connection().await {
                Ok(acquired) => acquired,
                Err(error) => return Outcome::from(error).into(),
            };
            if let Some(reason) = self.reason_not_to_send() {
                acquired.connection.close(reason);
                return Outcome::NotSent.into();
            }
            if (self.request.client_disconnected)() {
                self.pool
                    .put_back(&self.upstream, acquired.idle_since, acquired.connection);
                return Outcome::NotSent.into();
            }
            if let Some(result) = self.send(acquired).await {
                return result;
            }
        }
    }

    /// Takes a connection from the pool, or opens a new one if the pool has none. If an idle
    /// connection may be reused before the new one is established, takes that.
    async fn acquire_connection(&self) -> Result<AcquiredConnection, ConnectError> {
        if let Some(acquired) = self.take_idle().await {
            return Ok(acquired);
        }
        let mut connect = std::pin::pin!(self.pool.connect(&self.upstream.target));
        while let Some(rested_at) = self.pool.next_rested_at(&self.upstream) {
            tokio::select! {
                biased;
                connected = &mut connect => return self.new_connection(connected),
                () = tokio::time::sleep_until(self.pool.clock.instant(rested_at)) => {}
            }
            if let Some(acquired) = self.take_idle().await {
                return Ok(acquired);
            }
        }
        self.new_connection(connect.await)
    }

    async fn take_idle(&self) -> Option<AcquiredConnection> {
        let ReusedConnection {
            idle_since,
            connection,
        } = self.pool.take_idle(&self.upstream).await?;
        Some(AcquiredConnection {
            connection,
            idle_since,
            is_new: false,
        })
    }

    fn new_connection(
        &self,
        connected: Result<BackendConnection, ConnectError>,
    ) -> Result<AcquiredConnection, ConnectError> {
        Ok(AcquiredConnection {
            connection: connected?,
            idle_since: self.pool.clock.now(),
            is_new: true,
        })
    }

    /// Why the attempt must not be sent any more, if so. While the connection was established, the
    /// backend may have started to drain, or `send_by` may have passed.
    fn reason_not_to_send(&self) -> Option<CloseReason> {
        if !self.upstream.accepts_requests() {
            return Some(CloseReason::BackendNotAccepting);
        }
        let send_by = self.deadlines.send_by;
        let is_expired = send_by.is_some_and(|send_by| self.pool.clock.now() >= send_by);
        is_expired.then_some(CloseReason::AttemptExpired)
    }

    /// Sends the request on the connection. Returns `None` if a pooled connection was found to be
    /// unusable before the first byte was written, because the backend had closed it or had sent
    /// data after its last response. Nothing has been sent then, so the attempt can use another
    /// connection.
    async fn send(&self, acquired: AcquiredConnection) -> Option<AttemptResult> {
        let AcquiredConnection {
            mut connection,
            is_new,
            ..
        } = acquired;
        let now = self.pool.clock.now();
        self.log_sent(&connection, is_new, now);
        let time_left = self.deadlines.deadline - now;
        let time_left_millis = time_left.0 / MICROS_PER_MILLISECOND;
        let request = request_with_time_left(&self.request, time_left_millis);
        self.progress.track(connection.progress.clone());
        let response = match connection.exchange(request, self.request.class).await {
            Ok(response) => response,
            Err(error) => {
                self.log_failed_exchange(&error, &connection.progress);
                let outcome = outcome_without_response(&connection.progress, is_new);
                connection.close(CloseReason::ExchangeFailed);
                return outcome.map(AttemptResult::from);
            }
        };
        Some(self.conclude(connection, response, is_new).await)
    }

    /// Classifies the response, and keeps or closes the connection.
    async fn conclude(
        &self,
        mut connection: BackendConnection,
        response: Response<Bytes>,
        is_new: bool,
    ) -> AttemptResult {
        connection.look_behind_response().await;
        let status = response.status();
        let arrival = connection.response_arrival(&response);
        let mut result = AttemptResult::from_response(response);
        let doubt = self.judge(&mut connection, &arrival, &result).await;
        if let Some(doubt) = doubt {
            let outcome = outcome_of_doubted_response(doubt, &connection.progress);
            connection.close(CloseReason::ResponseDoubted);
            self.log_withheld_response(status, outcome, Some(doubt));
            return outcome.into();
        }
        if result.response.is_none() {
            self.log_withheld_response(status, result.outcome, None);
        }
        result.connection_rejected &= is_new;
        if connection.is_closed() {
            connection.close_unusable();
        } else {
            self.keep_or_close(connection);
        }
        result
    }

    /// Why the response must not be believed, `None` if it may be. It is held back first if that is
    /// necessary and the result relies on it.
    async fn judge(
        &self,
        connection: &mut BackendConnection,
        arrival: &ResponseArrival,
        result: &AttemptResult,
    ) -> Option<ResponseDoubt> {
        match self.pool.monitor.judge(arrival) {
            ResponseJudgement::Believed => None,
            ResponseJudgement::Doubted(doubt) => Some(doubt),
            ResponseJudgement::Held(_) if !result.relies_on_response() => None,
            ResponseJudgement::Held(hold) => {
                let _ = self.events.send(DriverEvent::ResponseHeld(self.id));
                let time_left = self.deadlines.deadline - (self.pool.clock.now() + RESPONSE_TIME);
                let end = connection
                    .wait_behind_response(hold.wait.min(time_left))
                    .await;
                self.log_hold(hold, end);
                self.pool.monitor.judge_held(arrival, hold, end)
            }
        }
    }

    /// Keeps a connection for another request, or only to watch it, unless its memory is needed.
    fn keep_or_close(&self, mut connection: BackendConnection) {
        if connection.may_keep_buffers() {
            let now = self.pool.clock.now();
            self.pool.put_back(&self.upstream, now, connection);
        } else {
            connection.close(CloseReason::BuffersGrown);
        }
    }

    fn log_sent(&self, connection: &BackendConnection, is_new: bool, now: Time) {
        tracing::trace!(
            target: log_target::CONNECTION,
            request = self.id.request.0,
            attempt = self.id.attempt.0,
            new_connection = is_new,
            connection_age_ms = (now - connection.record.established_at).0 / MICROS_PER_MILLISECOND,
            "attempt sent"
        );
    }

    fn log_hold(&self, hold: ResponseHold, end: HoldEnd) {
        tracing::trace!(
            target: log_target::CONNECTION,
            request = self.id.request.0,
            attempt = self.id.attempt.0,
            backend = %self.upstream.target.name,
            wait_ms = hold.wait.0 / MICROS_PER_MILLISECOND,
            ?end,
            "response held back"
        );
    }

    fn log_failed_exchange(&self, error: &ExchangeError, progress: &StreamProgress) {
        tracing::debug!(
            target: log_target::CONNECTION,
            request = self.id.request.0,
            attempt = self.id.attempt.0,
            backend = %self.upstream.target.name,
            written_whole = progress.write_completed.get(),
            "exchange failed: {error}"
        );
    }

    /// Writes a line for a complete response that is not forwarded, because of its doubt or else of
    /// its outcome.
    fn log_withheld_response(
        &self,
        status: StatusCode,
        outcome: Outcome,
        doubt: Option<ResponseDoubt>,
    ) {
        tracing::debug!(
            target: log_target::CONNECTION,
            request = self.id.request.0,
            attempt = self.id.attempt.0,
            backend = %self.upstream.target.name,
            status = status.as_u16(),
            ?outcome,
            ?doubt,
            "response not forwarded"
        );
    }
}

/// The outcome of an exchange without a usable response, or `None` if nothing was written on a
/// pooled connection.
fn outcome_without_response(progress: &StreamProgress, is_new: bool) -> Option<Outcome> {
    if !is_new && !progress.write_started.get() {
        return None;
    }
    // Without the last byte of the request, the backend cannot have executed it.
    if !progress.write_completed.get() {
        return Some(Outcome::ConnectFailed);
    }
    if progress.connection_lost.get() {
        return Some(Outcome::Reset);
    }
    // The backend sent an unusable response, which counts against it like an error response.
    Some(Outcome::Error)
}

/// The outcome of an attempt whose response may answer another request.
fn outcome_of_doubted_response(doubt: ResponseDoubt, progress: &StreamProgress) -> Outcome {
    match doubt {
        // Without the last byte of the request, the backend cannot have executed it.
        ResponseDoubt::PrecededRequest if !progress.write_completed.get() => Outcome::ConnectFailed,
        ResponseDoubt::PrecededRequest
        | ResponseDoubt::FollowedByBytes
        | ResponseDoubt::ContradictoryLength => Outcome::Reset,
        // The response may well be the right one, so it does not count against the backend.
        ResponseDoubt::RestTooShort
        | ResponseDoubt::EqualsPrevious
        | ResponseDoubt::HoldCutShort => Outcome::Cancelled,
    }
}

fn request_with_time_left(
    forwarded: &ForwardedRequest,
    time_left_millis: u64,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.head.method().clone();
    *request.uri_mut() = forwarded.head.uri().clone();
    *request.headers_mut() = forwarded.head.headers().clone();
    request
        .headers_mut()
        .insert(TIME_LEFT_HEADER, HeaderValue::from(time_left_millis));
    request
}

#[cfg(test)]
mod tests;
