//! A proxy with traffic, of whose backends one half changes in the endpoint list during a test.

use super::client::{request, Client};
use super::fake_backend::{ok_response, FakeBackend};
use super::faulty_discovery::{DiscoveryBehavior, FaultyDiscovery};
use super::proxy_process::ProxyProcess;
use super::settings::{endpoint, free_address, proxy_config, ready};
use super::wait::wait_until;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Requests are late from this long after the proxy counts as notified: 0.45 s, and 50 ms as on
/// other sockets.
pub const GRACE: Duration = Duration::from_millis(500);
/// Number of backends, half of which change during a test.
const BACKEND_COUNT: usize = 32;
/// The backends that change.
pub const CHANGED: Range<usize> = 0..BACKEND_COUNT / 2;
/// The backends that do not.
pub const UNCHANGED: Range<usize> = BACKEND_COUNT / 2..BACKEND_COUNT;
/// Number of clients that send requests one after another.
const CLIENT_COUNT: usize = 4;
/// The pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(120);

/// The latency objective of all classes. Ejections end and traffic shares are computed at this
/// interval.
const LATENCY_OBJECTIVE_US: u64 = 300_000;

/// When a backend received requests.
pub type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// A backend that serves all requests, at this address, and the times at which it received them.
pub fn start_backend(address: SocketAddr) -> (FakeBackend, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let backend = FakeBackend::start_at(address, move |_| {
        recorded.lock().unwrap().push(Instant::now());
        ok_response("x")
    });
    (backend, arrivals)
}

/// How many requests arrived from `from` to `until`.
pub fn count_between(arrivals: &Arrivals, from: Instant, until: Instant) -> usize {
    let arrivals = arrivals.lock().unwrap();
    let is_between = |at: &&Instant| (from..until).contains(*at);
    arrivals.iter().filter(is_between).count()
}

/// The number of proxies that most scenarios' proxy is told of.
const PROXY_COUNT: u32 = 300;

/// A proxy with traffic.
pub struct Scenario {
    /// Dropped after the clients have ended.
    _proxy: ProxyProcess,
    pub discovery: FaultyDiscovery,
    pub backends: Vec<(FakeBackend, Arrivals)>,
    clients: Vec<JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
}

impl Scenario {
    /// One of 300 proxies, with a watch that discovery has answered.
    pub fn start() -> Scenario {
        let scenario = Scenario::start_proxy(PROXY_COUNT, |_, _| {});
        establish_watch(&scenario.discovery, &scenario.entry(0, "ready"));
        scenario
    }

    /// A proxy with an agent that pushes the list. `prepare` gets the agent and the entries of the
    /// proxy's stored list before the proxy starts.
    pub fn start_with_prepared_agent(prepare: impl FnOnce(&FaultyDiscovery, &[Value])) -> Scenario {
        Scenario::start_proxy_in_mode("automatic", PROXY_COUNT, prepare)
    }

    /// A proxy with an agent that has answered it, which pushes the list.
    pub fn start_with_agent() -> Scenario {
        let scenario = Scenario::start_proxy_in_mode("automatic", PROXY_COUNT, |_, _| {});
        wait_until("the agent has answered the proxy", || {
            scenario.discovery.answers_written() > 1
        });
        scenario
    }

    /// One of `proxy_count` proxies. `prepare` gets discovery and the entries of the proxy's stored
    /// list before the proxy starts.
    pub fn start_proxy(
        proxy_count: u32,
        prepare: impl FnOnce(&FaultyDiscovery, &[Value]),
    ) -> Scenario {
        Scenario::start_proxy_in_mode("subscribe", proxy_count, prepare)
    }

    fn start_proxy_in_mode(
        discovery_mode: &str,
        proxy_count: u32,
        prepare: impl FnOnce(&FaultyDiscovery, &[Value]),
    ) -> Scenario {
        // A port of the ephemeral range could be taken by a connection before a backend that has
        // stopped starts again.
        let backends: Vec<_> = (0..BACKEND_COUNT)
            .map(|_| start_backend(free_address()))
            .collect();
        let discovery = FaultyDiscovery::start();
        let entries: Vec<Value> = (0..BACKEND_COUNT)
            .map(|index| ready(&name(index), backends[index].0.address))
            .collect();
        let mut config = proxy_config(discovery.address, &entries);
        config["settings"]["discovery"] = json!(discovery_mode);
        config["settings"]["group_size"] = json!(proxy_count);
        for class in config["settings"]["profiles"].as_array_mut().unwrap() {
            class["aim_us"] = json!(LATENCY_OBJECTIVE_US);
        }
        prepare(&discovery, &entries);
        let proxy = ProxyProcess::start(&config);
        let is_over = Arc::<AtomicBool>::default();
        let address = proxy.address;
        let start_client = |_| {
            let is_over = is_over.clone();
            std::thread::spawn(move || run_client(address, &is_over))
        };
        Scenario {
            _proxy: proxy,
            discovery,
            backends,
            clients: (0..CLIENT_COUNT).map(start_client).collect(),
            is_over,
        }
    }

    fn entry(&self, index: usize, status: &str) -> Value {
        endpoint(&name(index), self.backends[index].0.address, status, 0)
    }

    /// The entries of the backends that change during a test.
    pub fn changed_entries(&self, status: &str) -> Vec<Value> {
        CHANGED.map(|index| self.entry(index, status)).collect()
    }

    /// How many requests the backends with these numbers got from `from` to `until`.
    pub fn requests_to(&self, numbers: Range<usize>, from: Instant, until: Instant) -> usize {
        let arrivals = self.backends[numbers].iter().map(|(_, arrivals)| arrivals);
        arrivals.map(|at| count_between(at, from, until)).sum()
    }
}

impl Drop for Scenario {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

/// Answers a call of the proxy and waits for the next one, which is a watch.
fn establish_watch(discovery: &FaultyDiscovery, unchanged: &Value) {
    wait_until("the proxy polls discovery", || discovery.is_watched());
    discovery.change(DiscoveryBehavior::Answers, std::slice::from_ref(unchanged));
    wait_until("the proxy watches the list", || {
        discovery.answers_written() > 0 && discovery.is_watched()
    });
    // A watch that lasts this long is no answer that is about to be written.
    std::thread::sleep(Duration::from_millis(500));
    assert!(discovery.is_watched(), "the watch has ended");
}

fn name(index: usize) -> String {
    format!("s{index}")
}

fn run_client(proxy: SocketAddr, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let mut client = Client::connect_and_send(proxy, &request("read", 1_000));
        client.read_status();
        std::thread::sleep(CLIENT_PAUSE);
    }
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// The entry with another status.
pub fn with_status(entry: &Value, status: &str) -> Value {
    let mut entry = entry.clone();
    entry["status"] = json!(status);
    entry
}
