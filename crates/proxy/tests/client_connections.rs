//! Client connections: how long they may stay idle, and what the proxy does when there are too many
//! of them.

mod support;

use serde_json::json;
use std::time::{Duration, Instant};
use support::*;

/// The proxy soon closes the connections of clients that send nothing or only a part of a request.
#[test]
fn connections_without_a_complete_request_are_closed_soon() {
    let backend = FakeBackend::responding_ok("x");
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let text = request("pay", 7000);
    let without_last_byte = &text[..text.len() - 1];
    let start = Instant::now();
    let connect = |text: &str| Client::connect_and_send(proxy.address, text);
    let mut incomplete = ["", "\r\n", "GET /read", &text[..60]].map(connect);
    let mut without_body = connect(without_last_byte);
    let mut idle = connect(&request("read", 7000));
    assert_eq!(idle.read_status(), Some(200));
    assert_eq!(
        without_body.read_status(),
        Some(408),
        "wrong response to a request whose body stays incomplete"
    );
    for client in &mut incomplete {
        assert!(client.wait_for_close());
    }
    let elapsed = start.elapsed();
    assert!(
        elapsed < Duration::from_secs(4),
        "the connections were closed only after {elapsed:?}"
    );
    idle.send(&request("read", 7000));
    assert_eq!(
        idle.read_status(),
        Some(200),
        "a connection on which a request was answered was closed as early as the others"
    );
    assert!(idle.wait_for_close());
    assert_eq!(backend.request_count(), 2);
}

/// Neither clients that keep their connections open nor hundreds of clients that never send a
/// request prevent the proxy from serving a new client.
#[test]
fn a_new_client_is_served_when_all_connections_are_taken() {
    let backend = FakeBackend::responding_ok("x");
    let discovery = FakeDiscovery::start();
    let mut config = proxy_config(discovery.address, &[ready("a", backend.address)]);
    config["limits"]["sockets"] = json!(64);
    let proxy = ProxyProcess::start(&config);
    let mut idle = Vec::new();
    for _ in 0..60 {
        let mut client = Client::connect_and_send(proxy.address, &request("read", 7000));
        assert_eq!(client.read_status(), Some(200));
        idle.push(client);
    }
    let start = Instant::now();
    let _unused: Vec<Client> = (0..200).map(|_| Client::connect(proxy.address)).collect();
    assert_reads_succeed(&proxy, 1);
    let elapsed = start.elapsed();
    assert!(
        elapsed < Duration::from_secs(8),
        "the new client was served only after {elapsed:?}"
    );
}

/// A proxy that runs out of descriptors keeps running and serves again when descriptors are free.
#[test]
fn the_proxy_serves_again_after_running_out_of_descriptors() {
    let backend = FakeBackend::responding_ok("x");
    let discovery = FakeDiscovery::start();
    let config = proxy_config(discovery.address, &[ready("a", backend.address)]);
    let proxy = ProxyProcess::spawn_with_descriptor_limit(&config, Some(40));
    proxy.wait_until_ready();
    let clients: Vec<Client> = (0..60).map(|_| Client::connect(proxy.address)).collect();
    wait_until("an accept has failed", || {
        proxy.log().contains("accepting a client connection failed")
    });
    drop(clients);
    for _ in 0..5 {
        let response = send_request(&proxy, &request("read", 20_000));
        assert_eq!(response.status(), 200);
    }
}
