//! A stand-in for discovery. It serves the same endpoint list on two addresses for each proxy, and
//! injects the discovery fault of the plan.

use super::http::{Message, MessageReader};
use super::plan::{BackendFault, DiscoveryFault, Plan, Span, PROXIES};
use super::records::{ListChange, ListWrite, Recorder, RunClock};
use crate::failure::Failure;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The number of discovery addresses that a proxy can be moved between.
pub const ADDRESSES_PER_PROXY: usize = 2;
/// The range of the time that a call waits in the queue of an overloaded service, s.
const QUEUE_SECS: std::ops::Range<f64> = 0.5..3.0;
/// An overloaded service answers a call with status 503 after it has waited for this time, s.
const QUEUE_TIMEOUT_SECS: f64 = 2.0;
/// The delay after which discovery lists a process that has ended as gone, and a new one as ready,
/// s.
const LISTING_DELAY_SECS: f64 = 0.3;
/// The zones. Backends are assigned to them in turn.
pub const ZONES: [&str; 2] = ["east", "west"];

/// The part of an endpoint list entry that changes during a run.
#[derive(Clone)]
struct Entry {
    status: &'static str,
    started_at_ms: u64,
}

/// All versions of the endpoint list.
struct Versions {
    /// The entries of each version, by version and backend.
    by_version: Vec<Vec<Entry>>,
    /// The newest version that was written to each proxy.
    last_written: [usize; PROXIES],
}

/// The stand-in for discovery. All clones share its state.
#[derive(Clone)]
pub struct Discovery {
    addresses: Arc<Vec<[SocketAddr; PROXIES]>>,
    versions: Arc<Mutex<Versions>>,
    version: watch::Sender<usize>,
    fault: Option<(DiscoveryFault, Span)>,
    seed: u64,
    /// The number of connections accepted so far.
    connections: Arc<AtomicU64>,
    clock: RunClock,
    recorder: Recorder,
}

impl Discovery {
    /// Starts discovery for backends at these addresses. Returns its own addresses by proxy.
    pub async fn start(
        plan: &Plan,
        backends: Vec<[SocketAddr; PROXIES]>,
        clock: RunClock,
        recorder: &Recorder,
    ) -> Result<(Discovery, [[SocketAddr; ADDRESSES_PER_PROXY]; PROXIES]), Failure> {
        const STEP: &str = "starting the listener of discovery";
        let entry = Entry {
            status: "ready",
            started_at_ms: 0,
        };
        let first = vec![entry; backends.len()];
        let discovery = Discovery {
            addresses: Arc::new(backends),
            versions: Arc::new(Mutex::new(Versions {
                by_version: vec![first],
                last_written: [0; PROXIES],
            })),
            version: watch::Sender::new(0),
            fault: plan.discovery_fault,
            seed: plan.seed,
            connections: Arc::default(),
            clock,
            recorder: recorder.clone(),
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut own_addresses = [[any_port; ADDRESSES_PER_PROXY]; PROXIES];
        for (proxy, addresses) in own_addresses.iter_mut().enumerate() {
            for address in addresses {
                let listener = TcpListener::bind(any_port)
                    .await
                    .map_err(Failure::in_step(STEP))?;
                *address = listener.local_addr().map_err(Failure::in_step(STEP))?;
                tokio::spawn(discovery.clone().accept(listener, proxy));
            }
        }
        tokio::spawn(discovery.clone().apply_plan(plan.clone()));
        Ok((discovery, own_addresses))
    }

    /// The full list in the version that was last written to a proxy. The configuration of the
    /// proxy's next process contains it.
    pub fn known_list(&self, proxy: usize) -> Value {
        let version = self.versions().last_written[proxy];
        self.snapshot(proxy, version)
    }

    fn versions(&self) -> std::sync::MutexGuard<'_, Versions> {
        self.versions
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Adds a version of the list whenever a backend drains, ends or starts again.
    async fn apply_plan(self, plan: Plan) {
        let mut changes: Vec<(f64, usize, &'static str)> = Vec::new();
        for planned in &plan.backend_faults {
            let (backend, span) = (planned.backend, planned.span);
            match planned.fault {
                BackendFault::Drains => {
                    changes.push((span.from, backend, "draining"));
                    changes.push((span.to + LISTING_DELAY_SECS, backend, "gone"));
                }
                BackendFault::Vanishes => {
                    changes.push((span.from + LISTING_DELAY_SECS, backend, "gone"));
                    changes.push((span.to + LISTING_DELAY_SECS, backend, "ready"));
                }
                _ => {}
            }
        }
        changes.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, backend, status) in changes {
            self.clock.sleep_until(at).await;
            self.change(backend, status);
        }
    }

    fn change(&self, backend: usize, status: &'static str) {
        let version = {
            let mut versions = self.versions();
            let mut entries = versions.by_version[versions.by_version.len() - 1].clone();
            entries[backend].status = status;
            if status == "ready" {
                entries[backend].started_at_ms = unix_millis();
            }
            versions.by_version.push(entries);
            versions.by_version.len() - 1
        };
        self.recorder.lock().changes.push(ListChange {
            version,
            at: self.clock.now(),
            backend,
            is_ready: status == "ready",
        });
        self.version.send_replace(version);
    }

    async fn accept(self, listener: TcpListener, proxy: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().serve(stream, proxy));
        }
    }

    async fn serve(self, mut stream: TcpStream, proxy: usize) {
        let is_served = tokio::select! {
            () = self.serve_calls(&mut stream, proxy) => true,
            () = self.wait_until_down() => false,
        };
        if !is_served {
            let _ = stream.set_zero_linger();
        }
    }

    /// Waits until discovery is down: returns at the start of that fault, or immediately during it.
    /// Never returns otherwise.
    async fn wait_until_down(&self) {
        match self.fault {
            Some((DiscoveryFault::Down, span)) if self.clock.now() < span.to => {
                self.clock.sleep_until(span.from).await;
            }
            _ => std::future::pending().await,
        }
    }

    /// Waits until discovery falls silent: returns at the start of that fault, or immediately
    /// during it. Never returns otherwise.
    async fn wait_until_silent(&self) {
        match self.fault {
            Some((DiscoveryFault::Silent, span)) if self.clock.now() < span.to => {
                self.clock.sleep_until(span.from).await;
            }
            _ => std::future::pending().await,
        }
    }

    async fn serve_calls(&self, stream: &mut TcpStream, proxy: usize) {
        let mut reader = MessageReader::default();
        let connection = self.connections.fetch_add(1, Relaxed);
        let mut random = Pcg64Mcg::seed_from_u64(self.seed.wrapping_add(connection));
        while let Ok(call) = reader.read(stream).await {
            match self.active_fault() {
                Some((DiscoveryFault::Resetting, _)) => {
                    let _ = stream.set_zero_linger();
                    return;
                }
                Some((DiscoveryFault::Overloaded, _)) => {
                    let queued = random.random_range(QUEUE_SECS);
                    let wait = Duration::from_secs_f64(queued.min(QUEUE_TIMEOUT_SECS));
                    tokio::select! {
                        () = tokio::time::sleep(wait) => {}
                        () = wait_until_closed(stream) => return,
                    }
                    if queued > QUEUE_TIMEOUT_SECS {
                        let failure = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
                        let _ = stream.write_all(failure.as_bytes()).await;
                        continue;
                    }
                }
                _ => {}
            }
            if !self.answer(stream, &call, proxy).await {
                return;
            }
        }
    }

    fn active_fault(&self) -> Option<(DiscoveryFault, Span)> {
        self.fault
            .filter(|(_, span)| span.contains(self.clock.now()))
    }

    /// Answers a call when the list has changed or the call's wait time is over, but not while the
    /// fault `Stalled` is active. Returns whether the connection can be used for another call.
    async fn answer(&self, stream: &mut TcpStream, call: &Message, proxy: usize) -> bool {
        let after: Option<usize> = parameter(call.target(), "after");
        let is_open = tokio::select! {
            biased;
            () = wait_until_closed(stream) => false,
            () = self.wait_until_silent() => {
                wait_until_closed(stream).await;
                false
            }
            () = self.wait_for_change(call, after) => true,
        };
        if !is_open {
            return false;
        }
        let version = *self.version.borrow();
        let body = match after {
            Some(after) if after <= version => self.delta(proxy, after, version),
            _ => self.snapshot(proxy, version),
        };
        let body = body.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        // The proxy may act on the list before the write returns.
        let begun_at = self.clock.now();
        if stream.write_all((head + &body).as_bytes()).await.is_err() {
            return false;
        }
        self.record_write(proxy, version, begun_at);
        true
    }

    async fn wait_for_change(&self, call: &Message, after: Option<usize>) {
        if let Some(after) = after {
            let wait = parameter(call.target(), "wait_ms").unwrap_or(0);
            let mut version = self.version.subscribe();
            let changed = version.wait_for(|version| *version != after);
            let _ = tokio::time::timeout(Duration::from_millis(wait), changed).await;
        }
        if let Some((DiscoveryFault::Stalled, span)) = self.active_fault() {
            self.clock.sleep_until(span.to).await;
        }
    }

    fn record_write(&self, proxy: usize, version: usize, at: f64) {
        self.versions().last_written[proxy] = version;
        self.recorder
            .lock()
            .writes
            .push(ListWrite { proxy, version, at });
    }

    fn delta(&self, proxy: usize, after: usize, version: usize) -> Value {
        let versions = self.versions();
        let (old, new) = (&versions.by_version[after], &versions.by_version[version]);
        let changed = (0..new.len()).filter(|backend| {
            let (old, new) = (&old[*backend], &new[*backend]);
            old.status != new.status || old.started_at_ms != new.started_at_ms
        });
        let endpoints: Vec<Value> = changed
            .map(|backend| self.endpoint(proxy, backend, &new[backend]))
            .collect();
        json!({"index": version, "snapshot": false, "endpoints": endpoints})
    }

    /// The full list. A backend that is missing from it is gone.
    fn snapshot(&self, proxy: usize, version: usize) -> Value {
        let entries = self.versions().by_version[version].clone();
        let listed = entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.status != "gone");
        let endpoints: Vec<Value> = listed
            .map(|(backend, entry)| self.endpoint(proxy, backend, entry))
            .collect();
        json!({"index": version, "snapshot": true, "endpoints": endpoints})
    }

    fn endpoint(&self, proxy: usize, backend: usize, entry: &Entry) -> Value {
        json!({
            "name": format!("s-{backend}"),
            "address": self.addresses[backend][proxy].to_string(),
            "zone": ZONES[backend % ZONES.len()],
            "type": "m1",
            "group": cell(backend),
            "status": entry.status,
            "weight": 1.0,
            "since_ms": entry.started_at_ms,
        })
    }
}

/// Returns when the proxy has closed the connection. A list that is written after that would be
/// recorded as written to the proxy, although the proxy can't read it.
async fn wait_until_closed(stream: &TcpStream) {
    match stream.peek(&mut [0]).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}

/// The cell of a backend, which the endpoint list contains as `group`. Two backends of the same
/// zone form a cell.
pub fn cell(backend: usize) -> usize {
    backend / (2 * ZONES.len()) * ZONES.len() + backend % ZONES.len()
}

fn parameter<T: std::str::FromStr>(target: &str, name: &str) -> Option<T> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

fn unix_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
