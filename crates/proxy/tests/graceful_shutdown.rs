//! Graceful shutdown at SIGTERM: the proxy answers requests that were sent before the signal or
//! while it drains, and then exits with success.

mod support;

use std::time::{Duration, Instant};
use support::*;

fn wait_until_not_ready(proxy: &ProxyProcess) {
    wait_until("the proxy is not ready", || proxy.readiness_status() != 200);
}

fn assert_last_response_of_connection(response: &HttpMessage) {
    assert_eq!(response.status(), 200);
    assert_eq!(response.header("connection"), Some("close"));
}

#[test]
fn sigterm_completes_accepted_requests_and_exits_with_success() {
    let backend = FakeBackend::start(|request| {
        if request.start_line_contains("slow") {
            std::thread::sleep(Duration::from_millis(1500));
        }
        ok_response("x")
    });
    let (mut proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let mut idle = Client::connect_and_send(proxy.address, &request("read", 7000));
    assert_eq!(idle.read_status(), Some(200));
    let slow_request = request("read", 7000).replace("/a?", "/slow?");
    let mut slow = Client::connect_and_send(proxy.address, &slow_request);
    wait_until("the slow request is sent", || backend.request_count() == 2);
    proxy.terminate();
    wait_until_not_ready(&proxy);
    let response = slow
        .read_response()
        .expect("a response to the accepted request");
    assert_last_response_of_connection(&response);
    assert!(idle.wait_for_close());
    assert!(proxy.wait_for_exit().success());
}

/// The first request on an accepted connection may still be in transit when the listener closes.
#[test]
fn sigterm_waits_for_the_first_request_on_an_accepted_connection() {
    let backend = FakeBackend::responding_ok("x");
    let (mut proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let mut unused = Client::connect(proxy.address);
    proxy.terminate();
    wait_until("the listener is closed", || proxy.readiness_status() == 0);
    unused.send(&request("read", 7000));
    assert_eq!(unused.read_status(), Some(200));
    assert!(proxy.wait_for_exit().success());
}

/// A request of which a first part is sent, and the remainder when the test asks for it.
struct SplitRequest {
    client: Client,
    remainder: String,
}

impl SplitRequest {
    /// Sends the first `length` bytes of a request on a new connection.
    fn send_first(proxy: &ProxyProcess, text: &str, length: usize) -> SplitRequest {
        let (first, remainder) = text.split_at(length);
        SplitRequest {
            client: Client::connect_and_send(proxy.address, first),
            remainder: remainder.into(),
        }
    }

    /// Sends the remainder and returns the client.
    fn send_remainder(mut self) -> Client {
        self.client.send(&self.remainder);
        self.client
    }
}

/// Sends a `read` request with the given path instead of the usual one.
fn send_read_of(proxy: &ProxyProcess, path: &str) -> Client {
    let text = request("read", 7000).replace("/a?", path);
    Client::connect_and_send(proxy.address, &text)
}

/// At SIGTERM there are connections at each stage: unused, with a part of a head, with a part of a
/// body, with a request that the backend has not answered, with a response that the client has not
/// read, and idle. The requests on all of them are answered, and then the connections are closed.
#[test]
fn sigterm_answers_requests_at_every_stage() {
    let (opener, gate) = ResponseGate::closed();
    let backend = start_backend_with_held_and_large_responses(gate);
    let (mut proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let mut unused = Client::connect(proxy.address);
    let text = request("pay", 7000);
    let partial_head = SplitRequest::send_first(&proxy, &text, 40);
    let text = request("pay", 7000);
    let partial_body = SplitRequest::send_first(&proxy, &text, text.len() - 2);
    let held = send_read_of(&proxy, "/held?");
    wait_until("the held request is sent", || backend.request_count() == 1);
    let unread = send_read_of(&proxy, "/large?");
    wait_until("the large request is sent", || backend.request_count() == 2);
    let mut idle = Client::connect_and_send(proxy.address, &request("read", 7000));
    assert_eq!(idle.read_status(), Some(200));
    proxy.terminate();
    wait_until_not_ready(&proxy);
    idle.send(&request("read", 7000));
    let response = idle
        .read_response()
        .expect("a response while the connection is open");
    assert_last_response_of_connection(&response);
    let completed_clients = [partial_head.send_remainder(), partial_body.send_remainder()];
    unused.send(&request("read", 7000));
    opener.open();
    for mut client in completed_clients.into_iter().chain([unused, held, unread]) {
        assert_eq!(client.read_status(), Some(200));
        assert!(client.wait_for_close());
    }
    assert!(proxy.wait_for_exit().success());
}

/// Starts a backend that does not respond to requests for `/held` until the gate opens. Its
/// response to `/large` has 60 KiB.
fn start_backend_with_held_and_large_responses(gate: ResponseGate) -> FakeBackend {
    FakeBackend::start(move |request| {
        if request.start_line_contains("/held") {
            gate.wait();
        }
        let length = if request.start_line_contains("/large") {
            60 << 10
        } else {
            1
        };
        ok_response(&"x".repeat(length))
    })
}

/// The process may be killed 0.7 s after the longest deadline of a request that arrived before
/// SIGTERM. A deadline of more than 3 s counts as 3 s. Requests that arrive after SIGTERM must be
/// answered before that, and no connection may stay open on which more requests could arrive.
#[test]
fn requests_after_sigterm_are_answered_before_the_process_may_be_killed() {
    let backend = FakeBackend::unresponsive();
    let (mut proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let mut late = Client::connect(proxy.address);
    let mut unused = Client::connect(proxy.address);
    let start = Instant::now();
    proxy.terminate();
    wait_until_not_ready(&proxy);
    late.send(&request("pay", 8000));
    assert!(unused.wait_for_close(), "the unused connection stays open");
    let unused_closed_after = start.elapsed();
    assert_eq!(
        late.read_status(),
        Some(502),
        "the response does not say that the request may have been executed"
    );
    let late_answered_after = start.elapsed();
    assert!(
        late_answered_after < Duration::from_millis(3700),
        "the request after SIGTERM was answered only after {late_answered_after:?}"
    );
    assert!(
        unused_closed_after < Duration::from_millis(1500),
        "the unused connection was closed only after {unused_closed_after:?}"
    );
    assert!(proxy.wait_for_exit().success());
}

/// A proxy that is terminated before it has a backend still answers the requests that it receives.
#[test]
fn sigterm_before_the_first_endpoint_list_answers_requests_and_exits_with_success() {
    let discovery = FakeDiscovery::start();
    let mut proxy = ProxyProcess::spawn(&proxy_config(discovery.address, &[]));
    proxy.wait_until_unavailable();
    let mut unused = Client::connect(proxy.address);
    proxy.terminate();
    unused.send(&request("read", 300));
    assert_eq!(unused.read_status(), Some(503));
    assert!(proxy.wait_for_exit().success());
}
