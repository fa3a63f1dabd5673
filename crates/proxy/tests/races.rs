//! Races of attempts and retries with updates of the endpoint list and with the end of the window
//! of an idempotency key. The tests force each race with a connection that cannot be established
//! yet, a backend that delays its response, or an outage of discovery.

mod support;

use serde_json::json;
use std::time::{Duration, Instant};
use support::*;

/// The connect timeout, in microseconds. It is longer than any test takes.
const ONE_MINUTE_US: u64 = 60_000_000;
/// The time that requests have left, in milliseconds. It is longer than any test takes.
const TEN_MINUTES_MS: u64 = 600_000;

#[test]
fn a_backend_that_drains_or_is_removed_during_an_attempt_gets_no_retry() {
    for status in ["draining", "gone"] {
        assert_no_retry_on_backend_that_becomes(status);
    }
}

fn assert_no_retry_on_backend_that_becomes(status: &str) {
    let (opener, gate) = ResponseGate::closed();
    let start_rejecting = || {
        let gate = gate.clone();
        FakeBackend::start(move |_| {
            gate.wait();
            rejected_response()
        })
    };
    let a = start_rejecting();
    let b = start_rejecting();
    let discovery = FakeDiscovery::start();
    let endpoints = [ready("a", a.address), ready("b", b.address)];
    let mut config = proxy_config(discovery.address, &endpoints);
    config["settings"]["limits"]["parallel_tries"] = json!(false);
    config["settings"]["limits"]["cancel"] = json!(false);
    let proxy = ProxyProcess::start(&config);
    let mut client = Client::connect_and_send(proxy.address, &request("pay", 2000));
    wait_until("the first attempt is sent", || {
        a.request_count() + b.request_count() == 1
    });
    let (other_name, other) = if a.request_count() == 0 {
        ("a", &a)
    } else {
        ("b", &b)
    };
    discovery.apply_delta(&[endpoint(other_name, other.address, status, 0)]);
    opener.open();
    assert_eq!(
        client.read_status(),
        Some(503),
        "the response does not say that the request was not executed and may be retried"
    );
    assert_eq!(other.request_count(), 0, "{status}");
}

/// Discovery is down when the proxy starts, and a backend starts draining during the outage. When
/// discovery is back, the proxy must poll again and learn of the drain, whether lists are pushed or
/// polled, before it sends a single request to the backend.
#[test]
fn a_drain_during_a_discovery_outage_takes_effect_when_discovery_returns() {
    for mode in ["automatic", "subscribe"] {
        assert_drain_takes_effect_after_outage(mode);
    }
}

fn assert_drain_takes_effect_after_outage(discovery_mode: &str) {
    let a = FakeBackend::responding_ok("a");
    let b = FakeBackend::responding_ok("b");
    let discovery_address = free_address();
    let mut config = proxy_config(discovery_address, &[ready("a", a.address)]);
    config["settings"]["discovery"] = json!(discovery_mode);
    let proxy = ProxyProcess::start(&config);
    wait_until("a poll has failed", || {
        proxy.log().contains("call to discovery at ")
    });
    let discovery = FakeDiscovery::start_at(discovery_address);
    discovery.apply_snapshot(&[draining("a", a.address), ready("b", b.address)]);
    let response = send_request(&proxy, &request("read", 7000));
    assert_eq!(response.body, b"b", "{discovery_mode}");
    assert_eq!(
        a.request_count(),
        0,
        "requests to the draining backend: {discovery_mode}"
    );
}

/// Backends remember an idempotency key for a limited time, the key's window. A retry must not be
/// sent if its connection is established after the window has ended.
#[test]
fn a_retry_is_not_sent_if_the_key_window_ends_during_its_connect() {
    let (opener, gate) = ResponseGate::closed();
    let first = FakeBackend::start(move |request| {
        if !request.start_line.starts_with("POST") {
            return ok_response("x");
        }
        gate.wait();
        Reply::Respond("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".into())
    });
    let second = SaturatedListener::start();
    let discovery = FakeDiscovery::start();
    let endpoints = [ready("a", first.address)];
    let mut config = proxy_config_without_deadlines(&discovery, &endpoints);
    config["settings"]["limits"]["dial_timeout_us"] = json!(ONE_MINUTE_US);
    let proxy = ProxyProcess::start(&config);
    assert_reads_succeed(&proxy, 10); // adds to the retry budget
    let text = request("vote", TEN_MINUTES_MS);
    let mut client = Client::connect_and_send(proxy.address, &text);
    wait_until("the first attempt is sent", || first.request_count() == 11);
    let start = Instant::now();
    discovery.apply_delta(&[ready("b", second.address())]);
    opener.open();
    wait_until("the retry connects", || second.has_pending_connect());
    assert!(
        start.elapsed() < Duration::from_millis(1200),
        "the retry began only after the window had ended"
    );
    wait_until("the window has ended", || {
        start.elapsed() > Duration::from_millis(1250)
    });
    assert_eq!(
        second.count_received_bytes(),
        0,
        "bytes of the retry sent after the window"
    );
    assert_eq!(client.read_status(), Some(502));
}
