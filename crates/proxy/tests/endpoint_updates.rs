//! Updates of the endpoint list: which backends get requests after an update, and what the proxy
//! does when an update is invalid or missing.

mod support;

use serde_json::json;
use support::*;

#[test]
fn a_draining_or_removed_backend_gets_no_new_requests() {
    let a = FakeBackend::responding_ok("a");
    let b = FakeBackend::responding_ok("b");
    let (proxy, discovery) = start_proxy_with(&[("a", &a), ("b", &b)]);
    wait_until("both backends have served", || {
        send_request(&proxy, &request("read", 7000));
        a.request_count() > 0 && b.request_count() > 0
    });
    discovery.apply_delta(&[draining("a", a.address)]);
    wait_until("all connections to a are closed", || {
        has_no_open_connections(&a)
    });
    let before = a.request_count();
    assert_all_served_by(&proxy, b"b");
    discovery.apply_delta(&[ready("a", a.address), removed("b", b.address)]);
    wait_until("all connections to b are closed", || {
        has_no_open_connections(&b)
    });
    assert_all_served_by(&proxy, b"a");
    assert!(a.request_count() >= before + 20);
    discovery.apply_snapshot(&[ready("b", b.address)]);
    wait_until("all connections to a are closed again", || {
        has_no_open_connections(&a)
    });
    assert_all_served_by(&proxy, b"b");
}

fn has_no_open_connections(backend: &FakeBackend) -> bool {
    backend.connections_closed() == backend.connections_opened()
}

fn assert_all_served_by(proxy: &ProxyProcess, backend_body: &[u8]) {
    for _ in 0..20 {
        let response = send_request(proxy, &request("read", 7000));
        assert_eq!(response.body, backend_body);
    }
}

/// A backend may start draining while the proxy waits for a connection to it to be established. The
/// proxy must then not send a single byte on the connection.
#[test]
fn a_backend_that_drains_during_the_connect_gets_no_request() {
    let backend = SaturatedListener::start();
    let address = backend.address();
    let discovery = FakeDiscovery::start();
    let mut config = proxy_config(discovery.address, &[ready("a", address)]);
    config["settings"]["limits"]["dial_timeout_us"] = json!(20_000_000);
    let proxy = ProxyProcess::start(&config);
    let mut client = Client::connect_and_send(proxy.address, &request("pay", 30_000));
    wait_until("the proxy connects to the backend", || {
        backend.has_pending_connect()
    });
    discovery.apply_delta(&[draining("a", address)]);
    let counter = backend.into_byte_counter(TEST_TIMEOUT);
    assert_eq!(client.read_status(), Some(503));
    assert_eq!(counter.finish(), 0, "bytes sent to the draining backend");
}

#[test]
fn a_malformed_endpoint_list_is_rejected_and_the_previous_one_stays_in_use() {
    let backend = FakeBackend::responding_ok("x");
    let (proxy, discovery) = start_proxy_with(&[("a", &backend)]);
    let incomplete = json!({"index": 9, "snapshot": true, "endpoints": [{"name": "b"}]});
    for body in [
        incomplete.to_string(),
        "[]".into(),
        "no json".into(),
        r#"{"index":1,"snapshot":true}"#.into(),
    ] {
        discovery.apply_body(&body);
        let response = send_request(&proxy, &request("read", 7000));
        assert_eq!(response.status(), 200, "after {body}");
    }
    discovery.apply_snapshot(&[draining("a", backend.address)]);
    wait_until("the valid list after the malformed ones is applied", || {
        proxy.readiness_status() == 503
    });
}

/// If an agent falls silent, the proxy keeps serving with the endpoint list that the agent has
/// sent, and polls again.
#[test]
fn the_proxy_serves_and_polls_again_if_its_agent_falls_silent() {
    let backend = FakeBackend::responding_ok("x");
    let discovery = FaultyDiscovery::start();
    let endpoints = [ready("a", backend.address)];
    let proxy = ProxyProcess::start(&proxy_config(discovery.address, &endpoints));
    wait_until("the agent has answered", || discovery.answers_written() > 1);
    discovery.change(DiscoveryBehavior::FallsSilent, &[]);
    let calls = discovery.calls();
    // The first of these calls may be the watch that was open.
    wait_until("the proxy polls again", || discovery.calls() >= calls + 3);
    assert_reads_succeed(&proxy, 1);
    assert_eq!(proxy.readiness_status(), 200);
}

/// In the mode `subscribe`, the proxy polls only when the balancer requests it. The balancer must
/// request a poll at the start and again after each failed poll.
#[test]
fn the_proxy_polls_again_after_a_failed_poll() {
    let backend = FakeBackend::responding_ok("x");
    let discovery = FakeDiscovery::start();
    let mut config = proxy_config(discovery.address, &[draining("a", free_address())]);
    config["settings"]["discovery"] = json!("subscribe");
    let proxy = ProxyProcess::spawn(&config);
    discovery.apply_body("no list");
    assert_eq!(proxy.readiness_status(), 503);
    discovery.apply_snapshot(&[ready("a", backend.address)]);
    proxy.wait_until_ready();
    assert_reads_succeed(&proxy, 1);
}
