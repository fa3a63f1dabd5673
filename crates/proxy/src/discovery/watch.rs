//! Watches the endpoint list by long polling. The proxy makes calls to discovery one after the
//! other. A call for the complete list specifies no wait. A call for the changes after a version
//! specifies a wait, and discovery holds it open until the list changes or the wait ends.
//!
//! The list comes either from a central service that all proxies poll, or from a local agent that
//! pushes changes. In both cases a proxy counts as notified of a change soon after the service or
//! agent had the change. From then on the proxy is expected to act on the change, whether or not it
//! has received it. The time limits in this module ensure that the proxy has received the change by
//! then, or knows that its list is not confirmed.

mod agent;

use super::client::{self, Answer, DiscoveryError};
use super::endpoint_list::{EndpointList, ResolvedEndpoint};
use super::watch_log;
use super::watch_wait::WatchWait;
use crate::message::{DiscoveryAnswer, DriverEvent};
use brookstack_balancer::{DiscoveryMode, EndpointUpdate, Micros};
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;

/// The wait of a call that the balancer requests. Discovery answers such a call at once, also if
/// the list has not changed: only an answer shows that the list is current. Without a wait in the
/// call, discovery would send the complete list.
const POLL_WAIT: Duration = Duration::from_millis(1);
/// The time after the end of its wait at which an unanswered call times out. The service ends a
/// wait with millisecond precision, so a response that has not arrived by then will not arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// The time limit of a call that is answered at once. The service answers or fails such a call
/// within this time, including the time that the call spends in the service's queue.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Why a call of the watch returned no list.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] DiscoveryError),
    /// The call was not answered within its time limit.
    #[error("no response within the time limit")]
    TimedOut,
}

impl WatchError {
    /// The update that reports this error to the balancer.
    fn endpoint_update(&self) -> EndpointUpdate {
        match self {
            WatchError::Failed(DiscoveryError::AnswerSpoilt { begun_at, .. }) => {
                EndpointUpdate::AnswerSpoilt {
                    begun_before: micros_since(*begun_at),
                }
            }
            WatchError::Failed(_) => EndpointUpdate::WatchFailed,
            WatchError::TimedOut => EndpointUpdate::WatchTimedOut,
        }
    }
}

fn micros_since(at: Instant) -> Micros {
    Micros(at.elapsed().as_micros() as u64)
}

/// What a call is for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallKind {
    /// To learn the present list.
    Poll,
    /// To learn of the next change, after an answer.
    Watch,
}

/// Watches the endpoint list and sends each change to the driver.
pub struct EndpointWatcher {
    /// Whether a local agent pushes changes, or the central service is polled. The first call to
    /// the service and each call after a failure wait until the balancer requests a poll.
    pub mode: DiscoveryMode,
    /// The version of the proxy's current list. If `None`, the next call requests the complete
    /// list.
    pub version: Option<u64>,
    /// Notified when the balancer requests a poll.
    pub poll_requested: Rc<Notify>,
    /// The channel to the driver for lists and failures.
    pub events: mpsc::UnboundedSender<DriverEvent>,
    /// The size limit of a list, in bytes.
    pub max_list_bytes: usize,
    /// Whether the balancer waits for a complete answer: this process has had none from the agent
    /// or service, or the last one of an agent was spoilt.
    pub needs_confirmation: bool,
    /// The random number generator for the waits. Its seed must differ between proxies.
    pub random: Pcg32,
    /// The wait of the next watch on the central service.
    pub watch_wait: WatchWait,
    /// When the list was last complete, by an answer to this process.
    pub confirmed_at: Option<Instant>,
}

impl EndpointWatcher {
    /// Watches the list at the address that was sent last, until the program ends. A new address
    /// cancels the current call or the pause after a failure. The version is dropped too, because
    /// it is valid only for the old service.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        if self.is_push() {
            // The agent may have restarted since it sent the cached list, and then it counts
            // versions from the start again. A call for the changes after the cached version would
            // be held open, and the agent would not send the changes that it has.
            self.version = None;
        }
        // The first call to an agent is made immediately, the first call to the central service
        // when the balancer requests a poll.
        let mut poll_immediately = self.is_push();
        loop {
            let address = *addresses.borrow_and_update();
            tokio::select! {
                never = self.watch(address, poll_immediately) => match never {},
                changed = addresses.changed() => {
                    if changed.is_err() {
                        return; // the program ends
                    }
                    // The new service is called immediately, even during a pause after a failure of
                    // the old one.
                    self.version = None;
                    self.needs_confirmation = true;
                    poll_immediately = true;
                    self.send(EndpointUpdate::SourceChanged, Vec::new());
                }
            }
        }
    }

    /// Watches the list at one address.
    async fn watch(&mut self, address: SocketAddr, poll_immediately: bool) -> Infallible {
        if self.is_push() {
            self.watch_agent(address).await
        } else {
            self.watch_service(address, poll_immediately).await
        }
    }

    /// Watches the list of the central service. After a response the next call is made immediately,
    /// as a watch, so that no change is missed between two calls. After a failure the balancer
    /// decides when to call again, and until when the current list may be used.
    async fn watch_service(
        &mut self,
        address: SocketAddr,
        mut poll_immediately: bool,
    ) -> Infallible {
        let mut kind = CallKind::Poll;
        loop {
            if !poll_immediately {
                self.poll_requested.notified().await;
            }
            let wait = self.next_wait(kind);
            watch_log::write_start(self.version, wait);
            let started = Instant::now();
            let result = self.poll(address, wait).await;
            if kind == CallKind::Watch {
                self.adjust_watch_wait(&result, wait, started.elapsed());
            }
            poll_immediately = result.is_ok();
            match result {
                Ok(answer) => {
                    watch_log::write_list(&answer.list, started.elapsed(), answer.service_time);
                    self.report_answer(answer, kind);
                    kind = CallKind::Watch;
                }
                Err(error) => {
                    watch_log::write_failure(&error, address, self.version, started.elapsed());
                    kind = CallKind::Poll;
                    self.send(error.endpoint_update(), Vec::new());
                }
            }
        }
    }

    /// Adjusts the wait of the next watch to how late this one was answered, if its wait is over.
    fn adjust_watch_wait(
        &mut self,
        result: &Result<Answer, WatchError>,
        wait: Duration,
        elapsed: Duration,
    ) {
        match (result, elapsed.checked_sub(wait)) {
            (Ok(_), Some(delay)) => self.watch_wait.record_answer(delay),
            (Err(WatchError::TimedOut), _) => self.watch_wait.record_busy(),
            _ => {}
        }
    }

    /// Whether an agent pushes changes. The balancer does not request polls then.
    fn is_push(&self) -> bool {
        self.mode == DiscoveryMode::Push
    }

    /// Reports an answer and its list to the driver, and records the version of the list.
    fn report_answer(&mut self, answer: Answer, kind: CallKind) {
        // A delta that is older than the current list comes from a service that has restarted and
        // counts versions from the start again. It does not show that the list is current, and the
        // next call requests the complete list.
        let list = &answer.list;
        let is_older = !list.is_snapshot && self.version.is_some_and(|last| list.version < last);
        if !is_older {
            self.confirmed_at = Some(answer.begun_at);
        }
        self.version = (!is_older).then_some(list.version);
        self.send_answer(&answer, kind);
        self.send_list(answer.list);
    }

    /// Sends a list to the driver.
    fn send_list(&mut self, list: EndpointList) {
        let update = if list.is_snapshot {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        // The balancer needs even an empty delta as the answer to a poll that it requested.
        let answers_poll = !self.is_push() || self.needs_confirmation;
        self.needs_confirmation = false;
        if list.is_snapshot || !list.endpoints.is_empty() || answers_poll {
            self.send(update, list.endpoints);
        }
    }

    fn send(&self, update: EndpointUpdate, endpoints: Vec<ResolvedEndpoint>) {
        let event = DriverEvent::EndpointsUpdated(update, endpoints);
        let _ = self.events.send(event); // fails only when the program ends
    }

    fn send_answer(&self, answer: &Answer, kind: CallKind) {
        let service_time = Micros(answer.service_time.as_micros() as u64);
        let event = DriverEvent::DiscoveryAnswered(DiscoveryAnswer {
            version: answer.list.version,
            service_time: (kind == CallKind::Poll).then_some(service_time),
            age: self.confirmed_at.map_or(Micros(u64::MAX), micros_since),
        });
        let _ = self.events.send(event); // fails only when the program ends
    }

    /// Returns the time for which the service may hold the next call open.
    fn next_wait(&mut self, kind: CallKind) -> Duration {
        if kind == CallKind::Poll {
            return POLL_WAIT;
        }
        let fraction = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        self.watch_wait.next(fraction)
    }

    /// Makes one call with a time limit, so that a service that never answers does not block the
    /// watch. The call also answers polls that the balancer requests while it is open. If such a
    /// request were kept for later, the next call after a failure would be made without the pause
    /// that the balancer wants.
    async fn poll(&self, address: SocketAddr, wait: Duration) -> Result<Answer, WatchError> {
        let path = self.path(wait);
        let response = client::get_list(address, &path, self.max_list_bytes);
        let call = tokio::time::timeout(self.time_limit(wait), response);
        tokio::pin!(call);
        loop {
            tokio::select! {
                biased;
                () = self.poll_requested.notified() => {}
                result = &mut call => return match result {
                    Ok(response) => Ok(response?),
                    Err(_) => Err(WatchError::TimedOut),
                },
            }
        }
    }

    fn time_limit(&self, wait: Duration) -> Duration {
        match self.version {
            Some(_) if wait > POLL_WAIT => wait + RESPONSE_GRACE,
            Some(_) | None => ANSWER_TIMEOUT,
        }
    }

    /// The path that requests the changes since the current version, or the complete list if there
    /// is no version.
    fn path(&self, wait: Duration) -> String {
        match self.version {
            Some(version) => format!("/api/targets?after={version}&wait_ms={}", wait.as_millis()),
            None => "/api/targets".to_string(),
        }
    }
}

#[cfg(test)]
mod tests;
