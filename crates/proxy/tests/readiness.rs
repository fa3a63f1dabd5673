//! How soon a newly started proxy is ready, with discovery up, overloaded or down, and with a
//! cached endpoint list, an empty one or none.

mod support;

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::*;

/// The longest time that a started process may take to become ready.
const MAX_STARTUP: Duration = Duration::from_secs(10);
/// The discovery modes: with `automatic` a local agent pushes lists, with `subscribe` the proxy
/// polls a central service.
const DISCOVERY_MODES: [&str; 2] = ["automatic", "subscribe"];

/// The value of the key `known` in the configuration.
#[derive(Debug)]
enum KnownList {
    /// The configuration does not have the key.
    Absent,
    /// The configuration has the key with this value.
    Given(Value),
}

/// Values of the key `known` that give no backend.
fn lists_without_backends() -> [KnownList; 3] {
    [
        KnownList::Given(snapshot(0, &[])),
        KnownList::Given(Value::Null),
        KnownList::Absent,
    ]
}

fn snapshot(index: u64, endpoints: &[Value]) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": endpoints})
}

fn config_with(discovery: SocketAddr, mode: &str, known: KnownList) -> Value {
    let mut config = proxy_config(discovery, &[]);
    config["settings"]["discovery"] = json!(mode);
    match known {
        KnownList::Absent => drop(config.as_object_mut().unwrap().remove("known")),
        KnownList::Given(list) => config["known"] = list,
    }
    config
}

/// Waits until the proxy is ready and asserts that this takes less than [`MAX_STARTUP`].
fn assert_ready_soon(proxy: &ProxyProcess, since: Instant, case: &str) {
    proxy.wait_until_ready();
    let elapsed = since.elapsed();
    assert!(
        elapsed < MAX_STARTUP,
        "{case}: ready only after {elapsed:?}"
    );
}

#[test]
fn the_proxy_is_ready_soon_when_discovery_is_up() {
    let backend = FakeBackend::responding_ok("x");
    for mode in DISCOVERY_MODES {
        for known in lists_without_backends() {
            let case = format!("{mode}, {known:?}");
            let discovery = FakeDiscovery::start();
            discovery.publish_snapshot(&[ready("a", backend.address)]);
            let start = Instant::now();
            let proxy = ProxyProcess::spawn(&config_with(discovery.address, mode, known));
            assert_ready_soon(&proxy, start, &case);
            let response = send_request(&proxy, &request("read", 7000));
            assert_eq!(response.status(), 200, "{case}");
        }
    }
}

/// A cached list is enough both when discovery is down and when it accepts polls and never
/// responds.
#[test]
fn the_proxy_is_ready_soon_with_a_cached_endpoint_list_alone() {
    let backend = FakeBackend::responding_ok("x");
    let unresponsive_discovery = FaultyDiscovery::start();
    unresponsive_discovery.change(DiscoveryBehavior::FallsSilent, &[]);
    for mode in DISCOVERY_MODES {
        for discovery in [free_address(), unresponsive_discovery.address] {
            let known = KnownList::Given(snapshot(4, &[ready("a", backend.address)]));
            let start = Instant::now();
            let proxy = ProxyProcess::spawn(&config_with(discovery, mode, known));
            assert_ready_soon(&proxy, start, mode);
        }
    }
}

/// Without an endpoint list and without discovery the proxy can serve no request, and its readiness
/// check fails.
#[test]
fn without_an_endpoint_list_the_proxy_is_ready_soon_after_discovery_returns() {
    let backend = FakeBackend::responding_ok("x");
    for mode in DISCOVERY_MODES {
        for known in lists_without_backends() {
            let case = format!("{mode}, {known:?}");
            let address = free_address();
            let proxy = ProxyProcess::spawn(&config_with(address, mode, known));
            wait_until("some polls have failed", || {
                proxy.log().matches("call to discovery at ").count() >= 3
            });
            assert_eq!(proxy.readiness_status(), 503, "{case}");
            let discovery = FakeDiscovery::start_at(address);
            discovery.publish_snapshot(&[ready("a", backend.address)]);
            assert_ready_soon(&proxy, Instant::now(), &case);
        }
    }
}

/// An overloaded discovery service has a queue that is too long: it rejects polls after some time
/// in the queue, before it processes them.
#[test]
fn the_proxy_is_ready_soon_when_discovery_is_overloaded() {
    let backend = FakeBackend::responding_ok("x");
    for mode in DISCOVERY_MODES {
        for known in lists_without_backends() {
            let case = format!("{mode}, {known:?}");
            let discovery = overloaded_discovery(snapshot(1, &[ready("a", backend.address)]));
            let start = Instant::now();
            let proxy = ProxyProcess::spawn(&config_with(discovery.address, mode, known));
            assert_ready_soon(&proxy, start, &case);
            assert!(
                discovery.request_count() >= 3,
                "{case}: ready before the third poll"
            );
        }
    }
}

/// Starts a discovery service that rejects two polls after a wait in its queue, responds to the
/// third and leaves all others unanswered.
fn overloaded_discovery(list: Value) -> FakeBackend {
    const QUEUE_WAIT: Duration = Duration::from_millis(300);
    let polls = AtomicUsize::new(0);
    FakeBackend::start(move |_| match polls.fetch_add(1, Ordering::SeqCst) {
        0 | 1 => {
            std::thread::sleep(QUEUE_WAIT);
            Reply::RespondAndClose("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n".into())
        }
        2 => ok_response(&list.to_string()),
        _ => Reply::NoResponse,
    })
}

/// With a memory limit of 64 MB, the proxy accepts an indented list of 17,000 backends with long
/// names. It rejects a list that would take a larger part of the memory.
#[test]
fn a_long_endpoint_list_fits_into_the_memory_limit_and_a_longer_one_is_rejected() {
    const MAX_LIST_BYTES: usize = 8 << 20;
    let backend = FakeBackend::responding_ok("x");
    let fitting = indented_list(17_000, 4, backend.address);
    let too_long = indented_list(17_000, 8, backend.address);
    assert!(
        (7 << 20..MAX_LIST_BYTES).contains(&fitting.len()),
        "the list that must fit has {} bytes",
        fitting.len()
    );
    assert!(
        too_long.len() > MAX_LIST_BYTES,
        "the list that must be rejected has only {} bytes",
        too_long.len()
    );
    let discovery = FakeDiscovery::start();
    let known = KnownList::Given(Value::Null);
    let mut config = config_with(discovery.address, "automatic", known);
    config["limits"]["memory_mb"] = json!(64);
    let proxy = ProxyProcess::spawn(&config);
    discovery.apply_body(&too_long);
    wait_until("the longer list is rejected", || {
        proxy.log().contains("length limit exceeded")
    });
    assert_eq!(proxy.readiness_status(), 503);
    discovery.apply_body(&fitting);
    proxy.wait_until_ready();
    assert_reads_succeed(&proxy, 1);
}

/// A list of endpoints with long names in which each level is indented by `indentation` spaces.
fn indented_list(count: usize, indentation: usize, address: SocketAddr) -> String {
    const STARTED_AT_MS: u64 = 1_700_000_000_000;
    let long_suffix = "long".repeat(42);
    let endpoints: Vec<Value> = (0..count)
        .map(|number| {
            let name = format!("{number:05}-{long_suffix}");
            endpoint(&name, address, "ready", STARTED_AT_MS)
        })
        .collect();
    serde_json::to_string_pretty(&snapshot(3, &endpoints))
        .unwrap()
        .replace("  ", &" ".repeat(indentation))
}
