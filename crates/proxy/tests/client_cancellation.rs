//! A client's close ends the processing of its request at each stage: the connect to a backend, the
//! attempt, the wait in the queue and the wait for a retry. The tests bring a request to a stage by
//! a connection that cannot be established yet, by a backend that does not respond, or by checking
//! that the request is pending.

mod support;

use serde_json::json;
use support::*;

/// The connect timeout, in microseconds. It is longer than any test takes.
const ONE_MINUTE_US: u64 = 60_000_000;
/// The time that requests have left, in milliseconds. It is longer than any test takes.
const TEN_MINUTES_MS: u64 = 600_000;

const CLOSES_DURING_CONNECT: [DisconnectCase; 5] = [
    DisconnectCase {
        cancellation_allowed: true,
        close_mode: CloseMode::Fin,
        pipelined: "",
    },
    DisconnectCase {
        cancellation_allowed: false,
        close_mode: CloseMode::Fin,
        pipelined: "",
    },
    DisconnectCase {
        cancellation_allowed: false,
        close_mode: CloseMode::Reset,
        pipelined: "",
    },
    DisconnectCase {
        cancellation_allowed: true,
        close_mode: CloseMode::Fin,
        pipelined: "GET ",
    },
    DisconnectCase {
        cancellation_allowed: false,
        close_mode: CloseMode::Fin,
        pipelined: "GET ",
    },
];

#[test]
fn a_request_is_not_sent_if_its_client_closes_during_the_connect() {
    for case in CLOSES_DURING_CONNECT {
        assert_not_sent_after_close_during_connect(case);
    }
}

fn assert_not_sent_after_close_during_connect(case: DisconnectCase) {
    let backend = SaturatedListener::start();
    let discovery = FakeDiscovery::start();
    let endpoints = [ready("a", backend.address())];
    let mut config = proxy_config_without_deadlines(&discovery, &endpoints);
    config["settings"]["limits"]["dial_timeout_us"] = json!(ONE_MINUTE_US);
    config["settings"]["limits"]["cancel"] = json!(case.cancellation_allowed);
    let proxy = ProxyProcess::start(&config);
    let text = request("pay", TEN_MINUTES_MS) + case.pipelined;
    let client = Client::connect_and_send(proxy.address, &text);
    wait_until("the proxy connects to the backend", || {
        backend.has_pending_connect()
    });
    client.close(case.close_mode);
    wait_until("the connect is abandoned", || {
        !backend.has_pending_connect()
    });
    assert_eq!(
        backend.count_received_bytes(),
        0,
        "bytes sent to the backend: {case:?}"
    );
}

/// The proxy must notice a client's close even if the client has sent far more bytes before it than
/// the proxy reads ahead.
#[test]
fn an_attempt_is_cancelled_if_its_client_closes_after_pipelined_requests() {
    let backend = FakeBackend::unresponsive();
    let discovery = FakeDiscovery::start();
    let endpoints = [ready("a", backend.address)];
    let proxy = ProxyProcess::start(&proxy_config_without_deadlines(&discovery, &endpoints));
    for pipelined_count in [1, 100, 4000] {
        let before = backend.connections_closed();
        let pipelined = request("read", TEN_MINUTES_MS).repeat(pipelined_count);
        let text = request("pay", TEN_MINUTES_MS) + &pipelined;
        let client = Client::connect_and_send(proxy.address, &text);
        wait_until("the attempt is sent", || {
            backend.connections_opened() == before + 1 && backend.request_count() == before + 1
        });
        client.close(CloseMode::Fin);
        wait_until("the attempt's connection is closed", || {
            backend.connections_closed() == before + 1
        });
    }
    assert_eq!(
        backend.request_count(),
        3,
        "a pipelined request was forwarded"
    );
}

#[test]
fn a_queued_request_is_dropped_if_its_client_closes() {
    for cancellation_allowed in [true, false] {
        assert_dropped_from_queue_after_close(cancellation_allowed);
    }
}

fn assert_dropped_from_queue_after_close(cancellation_allowed: bool) {
    let backend = FakeBackend::responding_ok("x");
    let discovery = FakeDiscovery::start();
    let endpoints = [draining("a", backend.address)];
    let mut config = proxy_config_without_deadlines(&discovery, &endpoints);
    config["settings"]["limits"]["cancel"] = json!(cancellation_allowed);
    let proxy = ProxyProcess::spawn(&config);
    proxy.wait_until_unavailable();
    for pipelined in ["", "GET "] {
        let text = request("pay", TEN_MINUTES_MS);
        let client = Client::connect_and_send(proxy.address, &(text.clone() + pipelined));
        wait_until("the request is queued", || proxy.is_pending(&text));
        client.close(CloseMode::Fin);
        wait_until("the request is dropped", || !proxy.is_pending(&text));
    }
    discovery.apply_delta(&[ready("a", backend.address)]);
    proxy.wait_until_ready();
    let response = send_request(&proxy, &request("pay", 7000));
    assert_eq!(response.status(), 200);
    assert_eq!(
        backend.request_count(),
        1,
        "a dropped request was sent, cancellation allowed: {cancellation_allowed}"
    );
}

#[test]
fn a_rejected_attempt_is_not_retried_if_its_client_closes_before_the_retry() {
    let rejecting = FakeBackend::start(|_| rejected_response());
    let other = FakeBackend::responding_ok("x");
    let discovery = FakeDiscovery::start();
    let endpoints = [ready("a", rejecting.address)];
    let proxy = ProxyProcess::start(&proxy_config_without_deadlines(&discovery, &endpoints));
    let text = request("pay", TEN_MINUTES_MS);
    let client = Client::connect_and_send(proxy.address, &text);
    wait_until("the first attempt is sent", || {
        rejecting.request_count() == 1
    });
    assert!(
        proxy.is_pending(&text),
        "the request ended instead of waiting for another backend"
    );
    client.close(CloseMode::Fin);
    wait_until("the request is dropped", || !proxy.is_pending(&text));
    discovery.apply_snapshot(&[ready("b", other.address)]);
    let response = send_request(&proxy, &request("pay", 7000));
    assert_eq!(response.status(), 200);
    assert_eq!(
        other.request_count(),
        1,
        "the request of the closed client was retried"
    );
}
