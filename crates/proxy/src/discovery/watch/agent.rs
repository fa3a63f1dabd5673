//! The watch on a local agent that pushes changes.
//!
//! What the agent has counts as notified at once, whether or not a call is open. So no call is
//! waited for alone: while calls are silent, a further one is made beside them every
//! [`CALL_INTERVAL`], on a connection of its own. Whatever hangs, the proxy has the list soon after
//! the agent answers again.

use super::{
    watch_log, Answer, CallKind, EndpointUpdate, EndpointWatcher, WatchError, ANSWER_TIMEOUT,
    POLL_WAIT,
};
use crate::discovery::client;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// For how long the agent may hold a call open if the list does not change.
const AGENT_WAIT: Duration = Duration::from_millis(150);
/// A call is silent if it has no answer this long after the end of its wait.
const SILENCE_AFTER_WAIT: Duration = Duration::from_millis(50);
/// The time between two calls while calls are silent or fail.
const CALL_INTERVAL: Duration = Duration::from_millis(150);
/// The shortest time between two calls, also if the agent holds none of them open.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(20);
/// The largest number of calls that are open at the same time.
const MAX_OPEN_CALLS: usize = 4;

/// A call without an answer.
struct OpenCall {
    started: Instant,
    /// Whether it requests the complete list, not the changes after a version.
    is_for_complete_list: bool,
    result: Pin<Box<dyn Future<Output = Result<Answer, WatchError>>>>,
}

/// The result of a call.
struct CallResult {
    started: Instant,
    result: Result<Answer, WatchError>,
}

/// The open calls, the oldest one first.
#[derive(Default)]
struct OpenCalls(Vec<OpenCall>);

impl OpenCalls {
    /// Adds a call. If there are too many, the oldest one is kept, since a slow agent may be about
    /// to answer it, and the next one is closed.
    fn add(&mut self, call: OpenCall) {
        if self.0.len() >= MAX_OPEN_CALLS {
            self.0.remove(1);
        }
        self.0.push(call);
    }

    /// Becomes ready when a call has a result, which is taken out. Of several the newest call
    /// counts, so that an answer to an older one never replaces a newer list.
    fn poll_result(&mut self, cx: &mut Context) -> Poll<CallResult> {
        for index in (0..self.0.len()).rev() {
            let call = &mut self.0[index];
            if let Poll::Ready(result) = call.result.as_mut().poll(cx) {
                let started = self.0.remove(index).started;
                return Poll::Ready(CallResult { started, result });
            }
        }
        Poll::Pending
    }
}

impl EndpointWatcher {
    /// Watches the list of an agent.
    pub(super) async fn watch_agent(&mut self, address: SocketAddr) -> Infallible {
        let mut calls = OpenCalls::default();
        let mut next_call_at = Instant::now();
        loop {
            tokio::select! {
                biased;
                call = poll_fn(|cx| calls.poll_result(cx)) => {
                    next_call_at = self.handle_result(call, address, &mut calls, next_call_at);
                }
                () = tokio::time::sleep_until(next_call_at) => {
                    next_call_at = self.start_call(address, &mut calls);
                }
            }
        }
    }

    /// Starts a call. Returns when the next one is due if this one stays silent.
    fn start_call(&self, address: SocketAddr, calls: &mut OpenCalls) -> Instant {
        let is_watch = calls.0.is_empty() && self.version.is_some();
        let (wait, interval) = if is_watch {
            (AGENT_WAIT, AGENT_WAIT + SILENCE_AFTER_WAIT)
        } else {
            (POLL_WAIT, CALL_INTERVAL)
        };
        watch_log::write_start(self.version, wait);
        let path = self.path(wait);
        let max_list_bytes = self.max_list_bytes;
        let answer = async move { client::get_list(address, &path, max_list_bytes).await };
        let limited = tokio::time::timeout(ANSWER_TIMEOUT, answer);
        let started = Instant::now();
        calls.add(OpenCall {
            started,
            is_for_complete_list: self.version.is_none(),
            result: Box::pin(async move {
                let answer = limited.await.map_err(|_| WatchError::TimedOut)?;
                Ok(answer?)
            }),
        });
        started + interval
    }

    /// Handles the result of a call. Returns when the next call is due.
    fn handle_result(
        &mut self,
        call: CallResult,
        address: SocketAddr,
        calls: &mut OpenCalls,
        next_call_at: Instant,
    ) -> Instant {
        let elapsed = call.started.elapsed();
        match call.result {
            Ok(answer) => {
                watch_log::write_list(&answer.list, elapsed, answer.service_time);
                calls.0.clear();
                self.report_answer(answer, CallKind::Watch);
                call.started + MIN_CALL_INTERVAL.max(elapsed)
            }
            Err(error) => {
                watch_log::write_failure(&error, address, self.version, elapsed);
                self.handle_agent_failure(&error, calls);
                next_call_at
            }
        }
    }

    /// Prepares further calls after a failed one.
    fn handle_agent_failure(&mut self, error: &WatchError, calls: &mut OpenCalls) {
        let update = error.endpoint_update();
        if update == EndpointUpdate::WatchTimedOut {
            return; // others have been made beside it
        }
        // The agent may have restarted and count versions from the start again, so the changes
        // after a version may not be complete.
        self.version = None;
        calls.0.retain(|call| call.is_for_complete_list);
        if matches!(update, EndpointUpdate::AnswerSpoilt { .. }) {
            self.needs_confirmation = true;
            self.send(update, Vec::new());
        }
    }
}
