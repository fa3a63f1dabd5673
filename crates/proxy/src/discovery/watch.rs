//! The watch on the endpoint list: one call to discovery after the other, which the service holds
//! open until there are changes or the wait that the call allows is over (long polling).

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

/// The wait of a call to the local agent that pushes lists. Calls cost the agent nothing, and a
/// short wait notices soon that it has become unresponsive.
const PUSH_WAIT: Duration = Duration::from_secs(4);
/// The wait of a call to the one service that all proxies poll, in seconds. Each call costs the
/// service work. The waits differ by chance: a change restarts all watches together, and if the
/// service then becomes unresponsive, all of them would have to be opened again together right
/// after their waits.
const POLL_WAIT_SECONDS: Range<f64> = 15.0..25.0;
/// How long after its wait a call is given up. The service ends a wait to the millisecond, so that
/// a response that is this late does not come. The proxy counts as notified of what it missed 2 s
/// after the wait: the next call has to go out and be answered before that.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// The time limit of a call that gets the complete list. The service answers or fails it by itself
/// within this time, the time in its queue included.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(3500);
/// The first pause after a failed call to the agent. The proxy counts as notified of what the agent
/// has from the moment the agent is back, so that a call has to come well within the grace after
/// that.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause after failed calls to the agent.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// Why a call of the watch brought no list.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] DiscoveryError),
    /// The call was out for all of its time without an answer.
    #[error("no answer in time")]
    TimedOut,
}

impl WatchError {
    /// How the balancer is notified of it.
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
    /// The version of the list at hand; without one the next call gets the complete list.
    pub version: Option<u64>,
    /// Notified when the balancer requests a poll.
    pub poll_requested: Rc<Notify>,
    /// Where lists and failures go.
    pub events: mpsc::UnboundedSender<DriverEvent>,
    /// A list may have so many bytes.
    pub max_list_bytes: usize,
    /// For waits that differ from those of other proxies.
    pub random: Pcg32,
}

impl EndpointWatcher {
    /// Watches without end, always at the address sent last. Another address drops the call that is
    /// out, its connection, the pause after a failure and the version, which means something to the
    /// old service alone.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        if self.is_push() {
            // The proxy counts as notified of what the agent has from the first moment. The version
            // of the cached list may come from an agent that has restarted since, which would then
            // wait for changes that it already has.
            self.version = None;
        }
        // Pushed lists are watched from the start, others once the balancer requests a poll.
        let mut poll_at_once = self.is_push();
        loop {
            let address = *addresses.borrow_and_update();
            tokio::select! {
                never = self.watch(address, poll_at_once) => match never {},
                changed = addresses.changed() => {
                    if changed.is_err() {
                        return; // the program ends
                    }
                    // The proxy soon counts as notified of what the new service has, whatever pause
                    // the failures of the old one called for.
                    self.version = None;
                    poll_at_once = true;
                }
            }
        }
    }

    /// Watches at one address. After an answer the next call goes out at once, so that no change
    /// falls between two calls.
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
        // Changes with a version below the one at hand come from a service that counts from the
        // start again: what else it has is only in its complete list.
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
        let _ = self.events.send(event); // fails only as the program ends
    }

    /// How long the service may hold the next call open.
    fn next_wait(&mut self) -> Duration {
        if self.is_push() {
            return PUSH_WAIT;
        }
        let fraction = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        let spread = POLL_WAIT_SECONDS.end - POLL_WAIT_SECONDS.start;
        let seconds = POLL_WAIT_SECONDS.start + spread * fraction;
        Duration::from_millis((seconds * 1000.0) as u64)
    }

    /// Makes one call, within its time limit: a service that never answers must not block the
    /// watch. A request to poll that comes meanwhile is served by this call: kept for later, it
    /// would cut short the pause that the balancer wants after a failure.
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

    /// Gets the changes since the version at hand, or the complete list, on the open connection or
    /// a new one.
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
