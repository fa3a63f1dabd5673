//! After a client has closed its connection, its request is not sent to a backend. Each test pauses
//! the proxy while two things arrive: first the event that makes the proxy send the request, and
//! then the client's close. When the proxy continues, it finds both at the same time.

mod support;

use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use support::*;

const CLASSES: [&str; 3] = ["read", "vote", "pay"];

const DISCONNECT_CASES: [DisconnectCase; 4] = [
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
        cancellation_allowed: false,
        close_mode: CloseMode::Fin,
        pipelined: "GET /read",
    },
];

fn config_for(case: DisconnectCase, discovery: &FakeDiscovery, endpoint: Value) -> Value {
    let mut config = proxy_config(discovery.address, &[endpoint]);
    config["settings"]["limits"]["cancel"] = json!(case.cancellation_allowed);
    config
}

/// Connects clients that each send a request, with the classes in turn.
fn connect_clients(proxy: &ProxyProcess, count: usize, pipelined: &str) -> Vec<Client> {
    (0..count)
        .map(|number| {
            let class = CLASSES[number % CLASSES.len()];
            let text = request(class, 8_000) + pipelined;
            Client::connect_and_send(proxy.address, &text)
        })
        .collect()
}

/// Starts backends that reply to a [`held_request`] with `reply` after the gate has opened, and
/// respond to all other requests immediately.
fn start_holding_backends(count: usize, reply: fn() -> Reply) -> (Vec<FakeBackend>, GateOpener) {
    let (opener, gate) = ResponseGate::closed();
    let start = |_| {
        let gate = gate.clone();
        FakeBackend::start(move |request| {
            if !is_held(request) {
                return ok_response("x");
            }
            gate.wait();
            reply()
        })
    };
    ((0..count).map(start).collect(), opener)
}

/// A request to which the backends of [`start_holding_backends`] respond when the gate opens.
fn held_request(class: &str) -> String {
    request(class, 8_000).replace("/a?", "/held?")
}

fn is_held(request: &HttpMessage) -> bool {
    request.start_line_contains("/held")
}

/// How many held requests the backend has received.
fn held_request_count(backend: &FakeBackend) -> usize {
    let requests = backend.requests();
    requests.iter().filter(|request| is_held(request)).count()
}

fn total_held_requests(backends: &[FakeBackend]) -> usize {
    backends.iter().map(held_request_count).sum()
}

/// Waits until the proxy serves a new request, by which time it has handled everything that arrived
/// before that request. New requests that the balancer rejects meanwhile are not sent to a backend,
/// so a test counts exactly one.
fn wait_until_served_again(proxy: &ProxyProcess) {
    wait_until("a request is served", || {
        send_request(proxy, &request("pay", 8_000)).status() == 200
    });
}

#[test]
fn a_request_is_not_sent_if_its_client_closes_as_the_backend_connection_is_established() {
    for case in DISCONNECT_CASES {
        let mut backend = SaturatedListener::with_backlog(8);
        let discovery = FakeDiscovery::start();
        let mut config = config_for(case, &discovery, ready("a", backend.address()));
        config["settings"]["limits"]["dial_timeout_us"] = json!(60_000_000);
        let proxy = ProxyProcess::start(&config);
        let clients = connect_clients(&proxy, 3, case.pipelined);
        wait_until("the proxy connects to the backend", || {
            backend.connections_in(TcpState::SynSent) == 3
        });
        proxy.pause();
        backend.accept_queued();
        wait_until("the connections are established", || {
            backend.connections_in(TcpState::Established) == 3
        });
        close_all(clients, case.close_mode);
        proxy.resume();
        proxy.wait_until_ready();
        assert_eq!(
            backend.count_received_bytes(),
            0,
            "bytes sent to the backend: {case:?}"
        );
    }
}

/// Two hundred clients close at the same time as the backend that their requests wait for becomes
/// ready.
#[test]
fn a_queued_request_is_not_sent_if_its_client_closes_as_a_backend_becomes_ready() {
    for case in DISCONNECT_CASES {
        let backend = FakeBackend::responding_ok("x");
        let ready_list = [ready("a", backend.address)];
        let discovery = FakeDiscovery::start();
        let config = config_for(case, &discovery, draining("a", backend.address));
        let proxy = ProxyProcess::spawn(&config);
        proxy.wait_until_unavailable();
        discovery.hold_watches();
        let mut clients = connect_clients(&proxy, 199, case.pipelined);
        let last_request = request("pay", 8_000);
        let last_text = last_request.clone() + case.pipelined;
        clients.push(Client::connect_and_send(proxy.address, &last_text));
        wait_until("the last request is queued", || {
            proxy.is_pending(&last_request)
        });
        proxy.pause();
        discovery.write_snapshot(&ready_list);
        close_all(clients, case.close_mode);
        proxy.resume();
        wait_until("the proxy is ready", || {
            discovery.publish_snapshot(&ready_list); // the poll may have timed out during the pause
            proxy.readiness_status() == 200
        });
        wait_until_served_again(&proxy);
        assert_eq!(
            backend.request_count(),
            1,
            "requests of closed clients were sent: {case:?}"
        );
    }
}

/// The first attempt is rejected, and there is an idle connection to the other backend, on which
/// the proxy could send a retry immediately.
#[test]
fn a_request_is_not_retried_if_its_client_closes_as_the_first_attempt_is_rejected() {
    for case in DISCONNECT_CASES {
        for class in CLASSES {
            // If cancellation is allowed, the balancer cancels a late attempt in favour of a hedged
            // one, except for non-idempotent requests.
            if !case.cancellation_allowed || class == "pay" {
                assert_not_retried_after_close(case, class);
            }
        }
    }
}

fn assert_not_retried_after_close(case: DisconnectCase, class: &str) {
    let (backends, opener) = start_holding_backends(2, rejected_response);
    let discovery = FakeDiscovery::start();
    let endpoints = [
        ready("a", backends[0].address),
        ready("b", backends[1].address),
    ];
    let mut config = proxy_config_without_deadlines(&discovery, &endpoints);
    config["settings"]["limits"]["cancel"] = json!(case.cancellation_allowed);
    let proxy = ProxyProcess::start(&config);
    wait_until("both backends have a connection", || {
        assert_reads_succeed(&proxy, 1);
        backends
            .iter()
            .all(|backend| backend.connections_opened() > 0)
    });
    let text = held_request(class) + case.pipelined;
    let client = Client::connect_and_send(proxy.address, &text);
    wait_until("the first attempt is sent", || {
        total_held_requests(&backends) == 1
    });
    proxy.pause();
    opener.open();
    wait_until("the first attempt is rejected", || {
        backends
            .iter()
            .all(|backend| backend.responses_written() == backend.request_count())
    });
    client.close(case.close_mode);
    proxy.resume();
    wait_until("both backends have served another request", || {
        assert_reads_succeed(&proxy, 1);
        backends.iter().all(|backend| {
            let requests = backend.requests();
            requests.last().is_some_and(|request| !is_held(request))
        })
    });
    let sent = total_held_requests(&backends);
    assert_eq!(sent, 1, "the request was retried: {class}, {case:?}");
}

/// The client sends two complete requests on one connection and closes it while the backend answers
/// the first one.
#[test]
fn a_pipelined_request_is_not_sent_if_its_client_closes_as_the_one_before_it_is_answered() {
    for case in DISCONNECT_CASES {
        for class in CLASSES {
            let (backends, opener) = start_holding_backends(1, || ok_response("x"));
            let backend = &backends[0];
            let discovery = FakeDiscovery::start();
            let config = config_for(case, &discovery, ready("a", backend.address));
            let proxy = ProxyProcess::start(&config);
            assert_reads_succeed(&proxy, 1);
            let text = held_request("read") + &request(class, 8_000);
            let client = Client::connect_and_send(proxy.address, &text);
            wait_until("the first request is sent", || {
                held_request_count(backend) == 1
            });
            proxy.pause();
            opener.open();
            wait_until("the first request is answered", || {
                backend.responses_written() == 2
            });
            client.close(case.close_mode);
            proxy.resume();
            wait_until_served_again(&proxy);
            assert_eq!(
                backend.request_count(),
                3,
                "the pipelined request was sent: {class}, {case:?}"
            );
        }
    }
}

/// The remainder of a long body and the close arrive at the same time, on two hundred connections.
#[test]
fn a_request_is_not_sent_if_its_client_closes_as_its_body_becomes_complete() {
    for case in DISCONNECT_CASES {
        let backend = FakeBackend::responding_ok("x");
        let discovery = FakeDiscovery::start();
        let config = config_for(case, &discovery, ready("a", backend.address));
        let proxy = ProxyProcess::start(&config);
        assert_reads_succeed(&proxy, 1);
        let body = "x".repeat(40 << 10);
        let (first_half, second_half) = body.split_at(body.len() / 2);
        let next_client = AtomicUsize::new(0);
        let connect = || {
            let class = CLASSES[1 + next_client.fetch_add(1, Ordering::SeqCst) % 2];
            let content_length = format!("Content-Length: {}", body.len());
            let text = request(class, 8_000)
                .replace("Content-Length: 4", &content_length)
                .replace("\r\n\r\nbody", &format!("\r\n\r\n{first_half}"));
            Client::connect_and_send(proxy.address, &text)
        };
        let mut clients: Vec<Client> = (0..200).map(|_| connect()).collect();
        // The proxy accepts the connection of the readiness check after those of all clients.
        proxy.wait_until_ready();
        proxy.pause();
        for client in &mut clients {
            client.send(&(second_half.to_string() + case.pipelined));
        }
        close_all(clients, case.close_mode);
        proxy.resume();
        wait_until_served_again(&proxy);
        assert_eq!(
            backend.request_count(),
            2,
            "requests of closed clients were sent: {case:?}"
        );
    }
}
