//! Recovery from an outage of discovery with few free descriptors. During the outage, idle clients
//! may take all connections that the proxy has for clients. When discovery is back, the proxy must
//! resume polling, connect to backends, answer the readiness check and accept new clients.

mod support;

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::*;

/// Limits on open descriptors, and the number that is open when clients hold all connections that
/// they can get.
#[derive(Clone, Copy)]
struct Limits {
    /// The limit in the proxy's configuration.
    configured: usize,
    /// The limit that the system enforces.
    enforced: usize,
    /// The number of open descriptors at which the proxy accepts a new client only if it closes
    /// another connection.
    open_when_saturated: usize,
}

const FEW_DESCRIPTORS: Limits = Limits {
    configured: 64,
    enforced: 64,
    open_when_saturated: 24,
};

const MANY_DESCRIPTORS: Limits = Limits {
    configured: 1024,
    enforced: 1024,
    open_when_saturated: 504,
};

/// The system's limit is lower than the configured one, from which the proxy computes how many
/// clients it accepts. No descriptor is therefore reserved, and the proxy's other connections
/// compete with those of clients for each descriptor.
const FEWER_THAN_CONFIGURED: Limits = Limits {
    configured: 1024,
    enforced: 64,
    open_when_saturated: 62,
};

/// Asserts that the proxy recovers from an outage of discovery while idle clients take all
/// connections that they can get.
fn assert_recovery_with_idle_clients(limits: Limits, discovery_mode: &str) {
    let old_backend = FakeBackend::responding_ok("old");
    let new_backend = FakeBackend::responding_ok("new");
    let discovery_address = free_address();
    let config = config_with(limits, discovery_mode, discovery_address, &old_backend);
    let proxy = ProxyProcess::spawn_with_descriptor_limit(&config, Some(limits.enforced));
    proxy.wait_until_ready();
    wait_until("a poll has failed", || {
        proxy.log().contains("call to discovery at ")
    });
    let stopped = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let clients = scope.spawn(|| keep_clients_connected(&proxy, 2 * limits.enforced, &stopped));
        wait_until("all connections for clients are in use", || {
            proxy.open_descriptors() >= limits.open_when_saturated
        });
        let discovery = FakeDiscovery::start_at(discovery_address);
        wait_until("the proxy polls discovery", || discovery.polls() > 0);
        discovery.apply_snapshot(&[ready("b", new_backend.address)]);
        proxy.wait_until_ready();
        let response = send_request(&proxy, &request("read", 8000));
        assert_eq!(
            response.body, b"new",
            "the new backend did not serve the new client"
        );
        let open = proxy.open_descriptors();
        assert!(
            open <= limits.enforced,
            "{open} open descriptors exceed the limit of {}",
            limits.enforced
        );
        stopped.store(true, Ordering::SeqCst);
        clients.join().unwrap();
    });
    if limits.configured == limits.enforced {
        let log = proxy.log();
        assert!(
            !log.contains("accepting a client connection failed"),
            "accepted over the limit: {log}"
        );
    }
}

fn config_with(
    limits: Limits,
    discovery_mode: &str,
    discovery: SocketAddr,
    backend: &FakeBackend,
) -> Value {
    let mut config = proxy_config(discovery, &[ready("a", backend.address)]);
    config["limits"]["sockets"] = json!(limits.configured);
    config["settings"]["discovery"] = json!(discovery_mode);
    config
}

/// Keeps `count` idle clients connected until `stopped` is set. Clients whose connections the proxy
/// closes connect again.
fn keep_clients_connected(proxy: &ProxyProcess, count: usize, stopped: &AtomicBool) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(20);
    let mut clients: Vec<Option<Client>> = (0..count).map(|n| connect_idle(proxy, n)).collect();
    while !stopped.load(Ordering::SeqCst) {
        for (n, client) in clients.iter_mut().enumerate() {
            if client.as_mut().is_none_or(Client::is_closed) {
                *client = connect_idle(proxy, n);
            }
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
}

/// Connects a client that becomes idle. Depending on `number`, it sends nothing, a part of a
/// request, or a complete request after whose response it stays connected.
fn connect_idle(proxy: &ProxyProcess, number: usize) -> Option<Client> {
    let text = match number % 4 {
        0 => String::new(),
        1 => "GET /read".into(),
        2 => request("pay", 7000)[..90].into(),
        _ => request("read", 7000),
    };
    let mut client = Client::try_connect(proxy.address).ok()?;
    client.send(&text);
    Some(client)
}

#[test]
fn the_proxy_recovers_with_few_descriptors_and_pushed_lists() {
    assert_recovery_with_idle_clients(FEW_DESCRIPTORS, "automatic");
}

#[test]
fn the_proxy_recovers_with_few_descriptors_and_polled_lists() {
    assert_recovery_with_idle_clients(FEW_DESCRIPTORS, "subscribe");
}

#[test]
fn the_proxy_recovers_with_many_descriptors_and_pushed_lists() {
    assert_recovery_with_idle_clients(MANY_DESCRIPTORS, "automatic");
}

#[test]
fn the_proxy_recovers_with_many_descriptors_and_polled_lists() {
    assert_recovery_with_idle_clients(MANY_DESCRIPTORS, "subscribe");
}

#[test]
fn the_proxy_recovers_with_fewer_descriptors_than_configured_and_pushed_lists() {
    assert_recovery_with_idle_clients(FEWER_THAN_CONFIGURED, "automatic");
}

#[test]
fn the_proxy_recovers_with_fewer_descriptors_than_configured_and_polled_lists() {
    assert_recovery_with_idle_clients(FEWER_THAN_CONFIGURED, "subscribe");
}

/// Connections that wait in the listener's backlog at SIGTERM are accepted only as others close. If
/// all were accepted at the same time, they would exceed the limit.
#[test]
fn sigterm_accepts_the_backlog_within_the_descriptor_limit() {
    const DESCRIPTOR_LIMIT: usize = 64;
    let (opener, gate) = ResponseGate::closed();
    let backend = FakeBackend::start(move |_| {
        gate.wait();
        ok_response("x")
    });
    let discovery = FakeDiscovery::start();
    let mut config = proxy_config(discovery.address, &[ready("a", backend.address)]);
    config["limits"]["sockets"] = json!(DESCRIPTOR_LIMIT);
    let mut proxy = ProxyProcess::start(&config);
    let connect = |text: &str| Client::connect_and_send(proxy.address, text);
    // Each of these clients waits for a response, so that the proxy does not close its connection
    // in favour of a new one.
    let mut waiting: Vec<Client> = (0..16).map(|_| connect(&request("read", 8000))).collect();
    wait_until("an attempt is sent", || backend.request_count() > 0);
    let idle: Vec<Client> = (0..100).map(|_| connect("")).collect();
    let mut last = connect(&request("read", 8000));
    proxy.terminate();
    let start = Instant::now();
    let mut max_open = 0;
    wait_until("the proxy accepts no more", || {
        max_open = max_open.max(proxy.open_descriptors());
        start.elapsed().as_millis() > 800
    });
    assert!(
        max_open <= DESCRIPTOR_LIMIT,
        "{max_open} open descriptors exceed the limit of {DESCRIPTOR_LIMIT}"
    );
    opener.open();
    drop(idle);
    for client in waiting.iter_mut().chain([&mut last]) {
        let status = client.read_status();
        assert!(
            status.is_some_and(|status| status != 502),
            "a client with a pending request got the status {status:?}"
        );
    }
    assert!(proxy.wait_for_exit().success());
}
