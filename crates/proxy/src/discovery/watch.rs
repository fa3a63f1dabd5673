//! The watch on the endpoint list, by long polling: the proxy makes one call to discovery after the
//! other, and the service holds each call open until the list changes or until the wait is over
//! that the call asks for.
//!
//! A list comes from one of two sources: a central service that all proxies poll, or a local agent
//! that pushes changes. In both cases a proxy counts as notified of a change soon after the source
//! had the change and could be reached. From then on the proxy is expected to act on the change,
//! whether it has received the change or not. The times in this module are chosen so that it has.

use super::client::{DiscoveryConnection, DiscoveryError};
use super::endpoint_list::{EndpointList, ResolvedEndpoint};
use crate::message::DriverEvent;
use brookstack_balancer::{DiscoveryMode, EndpointUpdate};
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};

/// The wait of a call to the local agent. Calls cost the agent nothing, and with a short wait the
/// proxy soon notices that the agent has become unresponsive.
const PUSH_WAIT: Duration = Duration::from_secs(4);
/// The range of the wait of a call to the central service, in seconds. The wait is long because
/// each call costs the service work. It is drawn at random because a change of the list makes all
/// proxies start their next call at the same moment. With equal waits these calls would also end
/// at the same moment, and the service would get all of the calls that follow at once.
const POLL_WAIT_SECONDS: Range<f64> = 15.0..25.0;
/// The time after the end of its wait at which an unanswered call is given up. The service ends a
/// wait to the millisecond, so a response that is later than this will not come. The proxy counts
/// as notified of the changes that it missed 2 s after the end of the wait. The next call must have
/// been made and answered by then.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// The time limit of a call that gets the complete list. The service answers such a call within
/// this time or fails it, including the time that the call spends in the service's queue.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(3500);
/// The first pause after a failed call to the agent. It is short because the proxy counts as
/// notified of what the agent has soon after the agent is back.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause after failed calls to the agent.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// Why a call of the watch brought no list.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] DiscoveryError),
    /// The call was not answered within its time limit.
    #[error("no answer in time")]
    TimedOut,
}

impl WatchError {
    /// The update that tells the balancer of it.
    fn endpoint_update(&self) -> EndpointUpdate {
        match self {
            WatchError::Failed(_) => EndpointUpdate::WatchFailed,
            WatchError::TimedOut => EndpointUpdate::WatchTimedOut,
        }
    }
}

/// The growing pause between calls that fail.
struct Backoff {
    next: Duration,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff { next: MIN_BACKOFF }
    }

    async fn pause(&mut self) {
        tokio::time::sleep(self.next).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }
}

/// Watches the endpoint list and hands each change to the driver.
pub struct EndpointWatcher {
    /// Who decides when discovery is called.
    pub mode: DiscoveryMode,
    /// The version of the list that the proxy holds; if `None`, the next call gets the complete
    /// list.
    pub version: Option<u64>,
    /// Notified when the balancer requests a poll.
    pub poll_requested: Rc<Notify>,
    /// Where lists and failures go.
    pub events: mpsc::UnboundedSender<DriverEvent>,
    /// The largest list that is read, in bytes.
    pub max_list_bytes: usize,
    /// Draws waits that differ from those of other proxies.
    pub random: Pcg32,
}

impl EndpointWatcher {
    /// Watches until the program ends, always at the address that was sent last. A new address
    /// cancels the current call, its connection, and the pause after a failure. The version is
    /// dropped too, because it has a meaning only for the old service.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        if self.is_push() {
            // The version of the cached list may come from an agent that has restarted since, and
            // that counts versions from the start again. Asked for changes after that version, it
            // would hold the call open instead of sending what it has.
            self.version = None;
        }
        // An agent is called at once. The central service is called when the balancer requests it.
        let mut poll_at_once = self.is_push();
        loop {
            let address = *addresses.borrow_and_update();
            tokio::select! {
                never = self.watch(address, poll_at_once) => match never {},
                changed = addresses.changed() => {
                    if changed.is_err() {
                        return; // the program ends
                    }
                    // The new service is called at once, even during a pause that follows a
                    // failure of the old one.
                    self.version = None;
                    poll_at_once = true;
                }
            }
        }
    }

    /// Watches at one address. After an answer the next call is made at once, so that no change is
    /// missed between two calls.
    async fn watch(&mut self, address: SocketAddr, mut poll_at_once: bool) -> Infallible {
        let mut connection = None;
        let mut backoff = Backoff::new();
        loop {
            if !poll_at_once {
                self.poll_requested.notified().await;
            }
            let wait = self.next_wait();
            match self.poll(&mut connection, address, wait).await {
                Ok(list) => {
                    poll_at_once = true;
                    backoff = Backoff::new();
                    self.take_list(list);
                }
                Err(error) => {
                    tracing::warn!("discovery: {error}");
                    connection = None;
                    poll_at_once = self.is_push();
                    self.handle_failure(&error, &mut backoff).await;
                }
            }
        }
    }

    /// Prepares the next call after one that failed. The endpoint list at hand stays in use.
    async fn handle_failure(&mut self, error: &WatchError, backoff: &mut Backoff) {
        if self.is_push() {
            // An agent that has restarted may count versions from the start again. A complete list
            // costs an agent nothing, so the next call asks for one.
            self.version = None;
            backoff.pause().await;
        } else {
            self.send(error.endpoint_update(), Vec::new());
        }
    }

    /// Whether an agent pushes the lists, so that the balancer need not request polls.
    fn is_push(&self) -> bool {
        self.mode == DiscoveryMode::Push
    }

    /// Records the version of a list and hands the list to the driver.
    fn take_list(&mut self, list: EndpointList) {
        // A delta that is older than the held list comes from a service that has restarted and
        // counts versions from the start again. The next call then asks for its complete list.
        let is_older = !list.is_snapshot && self.version.is_some_and(|held| list.version < held);
        self.version = (!is_older).then_some(list.version);
        let update = if list.is_snapshot {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        // The balancer counts an empty delta as the answer to a poll that it requested.
        let answers_poll = !self.is_push();
        if list.is_snapshot || !list.endpoints.is_empty() || answers_poll {
            self.send(update, list.endpoints);
        }
    }

    fn send(&self, update: EndpointUpdate, endpoints: Vec<ResolvedEndpoint>) {
        let event = DriverEvent::EndpointsUpdated(update, endpoints);
        let _ = self.events.send(event); // fails only when the program ends
    }

    /// The time for which the service may hold the next call open.
    fn next_wait(&mut self) -> Duration {
        if self.is_push() {
            return PUSH_WAIT;
        }
        let fraction = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        let spread = POLL_WAIT_SECONDS.end - POLL_WAIT_SECONDS.start;
        let seconds = POLL_WAIT_SECONDS.start + spread * fraction;
        Duration::from_millis((seconds * 1000.0) as u64)
    }

    /// Makes one call within its time limit, so that a service that never answers does not block
    /// the watch. A poll that the balancer requests meanwhile is answered by this call too. If the
    /// request were kept, it would cut short the pause that the balancer wants after a failure.
    async fn poll(
        &self,
        connection: &mut Option<DiscoveryConnection>,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<EndpointList, WatchError> {
        let response = self.get_list(connection, address, wait);
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
            Some(_) => wait + RESPONSE_GRACE,
            None => SNAPSHOT_TIMEOUT,
        }
    }

    /// Gets the changes since the held version, or the complete list if no version is held. Uses
    /// the open connection if there is one, otherwise a new one.
    async fn get_list(
        &self,
        connection: &mut Option<DiscoveryConnection>,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<EndpointList, DiscoveryError> {
        let path = match self.version {
            Some(version) => format!("/api/targets?after={version}&wait_ms={}", wait.as_millis()),
            None => "/api/targets".to_string(),
        };
        let connection = match connection {
            Some(open) if !open.is_closed() => open,
            _ => connection.insert(DiscoveryConnection::open(address).await?),
        };
        connection.get(&path, self.max_list_bytes).await
    }
}

#[cfg(test)]
mod tests;
