//! Forwarding of requests to backends and of responses to clients, up to the request's deadline.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use support::*;

#[test]
fn a_request_is_forwarded_with_less_time_left_and_its_response_unchanged() {
    let backend = FakeBackend::responding_ok("the answer");
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let sent = request("vote", 7000);
    let response = send_request(&proxy, &sent);
    assert_eq!(response.status(), 200);
    assert_eq!(response.body, b"the answer");
    let requests = backend.requests();
    let [received] = &requests[..] else {
        panic!("expected one attempt, got {}", requests.len())
    };
    assert_eq!(received.start_line, "POST /vote/a?b=c HTTP/1.1");
    let id = received.header("x-correlation-id").unwrap();
    assert!(sent.contains(&format!("X-Correlation-Id: {id}\r\n")));
    assert_eq!(received.header("idempotency-key"), Some("k1"));
    assert_eq!(received.body, b"body");
    let time_left = received.header("x-time-left-ms").unwrap();
    let time_left: u64 = time_left.parse().unwrap();
    assert!(
        time_left < 7000,
        "the time left was not counted down: {time_left}"
    );
}

/// A successful response is forwarded even if unknown headers or 1xx responses come with it. If
/// bytes follow it, its length is in doubt, so it is not forwarded. The bytes must not be forwarded
/// as the response to another request.
#[test]
fn bytes_after_a_response_are_not_forwarded_as_another_response() {
    const REQUESTS: usize = 72;
    // Between two failures there are enough good responses, so that the backend is not ejected.
    const PERIOD: usize = 12;
    const FOLLOWED_BY_RESPONSE: usize = 0;
    const FOLLOWED_BY_NOISE: usize = 6;
    let next_number = AtomicUsize::new(0);
    let backend = FakeBackend::start(move |_| {
        let number = next_number.fetch_add(1, Ordering::SeqCst);
        let ok_with_headers = |headers: &str| {
            format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: 2\r\n\r\n{number:02}")
        };
        Reply::Respond(match number % PERIOD {
            FOLLOWED_BY_RESPONSE => ok_with_headers("") + &ok_with_headers(""),
            FOLLOWED_BY_NOISE => ok_with_headers("") + "noise\r\n\r\n",
            2 | 8 => ok_with_headers("X-Backend-Load: TEXT =,=\r\n"),
            3 | 9 => {
                let informational = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n\
                                     HTTP/1.1 102 Processing\r\n\r\n";
                informational.to_string() + &ok_with_headers("")
            }
            _ => ok_with_headers(""),
        })
    });
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    for number in 0..REQUESTS {
        let response = send_request(&proxy, &request("pay", 7000));
        let is_followed_by_bytes =
            matches!(number % PERIOD, FOLLOWED_BY_RESPONSE | FOLLOWED_BY_NOISE);
        if is_followed_by_bytes {
            assert_eq!(response.status(), 502);
            assert_eq!(response.body, b"failed");
        } else {
            assert_eq!(response.status(), 200);
            assert_eq!(response.body, format!("{number:02}").into_bytes());
        }
    }
    assert_eq!(backend.request_count(), REQUESTS);
}

/// The request itself is invalid, so every backend would answer it with the same error. The
/// response is forwarded, the request is not retried, and the error does not count against the
/// backend.
#[test]
fn a_client_error_of_a_backend_is_forwarded_without_a_retry() {
    let backend = FakeBackend::start(|request| match request.header("x-bad") {
        Some(_) => {
            Reply::Respond("HTTP/1.1 400 Bad Request\r\nContent-Length: 3\r\n\r\nbad".into())
        }
        None => ok_response("x"),
    });
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    assert_reads_succeed(&proxy, 10); // adds to the retry budget
    for _ in 0..10 {
        let bad_request = request("read", 7000).replace("Host:", "X-Bad: 1\r\nHost:");
        let response = send_request(&proxy, &bad_request);
        assert_eq!(response.status(), 400);
        assert_eq!(response.body, b"bad");
    }
    assert_eq!(backend.request_count(), 20);
    assert_reads_succeed(&proxy, 1);
}

#[test]
fn an_attempt_is_cancelled_when_its_client_disconnects() {
    let backend = FakeBackend::unresponsive();
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let client = Client::connect_and_send(proxy.address, &request("pay", 60_000));
    wait_until("the attempt is sent", || backend.request_count() == 1);
    drop(client);
    wait_until("the attempt's connection is closed", || {
        backend.connections_closed() == 1
    });
}

/// At the deadline the attempt ends as timed out, and the balancer decides on the response. The
/// proxy's own fallback, which fails a request that the balancer has not answered, must not be
/// used, even for a request with less time left than a tick.
#[test]
fn the_balancer_decides_on_the_response_at_the_deadline() {
    let backend = FakeBackend::unresponsive();
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let response = send_request(&proxy, &request("pay", 500));
    assert_eq!(response.status(), 502);
    wait_until("the attempt's connection is closed", || {
        backend.connections_closed() == 1
    });
    for time_left_ms in (0..16).cycle().take(160) {
        let status = send_request(&proxy, &request("read", time_left_ms)).status();
        assert!(matches!(status, 502 | 503), "{status}");
    }
    let log = proxy.log();
    assert!(
        !log.contains("did not respond to request"),
        "the proxy used its fallback: {log}"
    );
}

/// While no backend is ready, the balancer queues a request as long as it could still be answered
/// in time, and then rejects it.
#[test]
fn a_rejection_has_a_retry_after_header() {
    let discovery = FakeDiscovery::start();
    let backend = FakeBackend::responding_ok("x");
    let endpoints = [draining("a", backend.address)];
    let proxy = ProxyProcess::spawn(&proxy_config(discovery.address, &endpoints));
    proxy.wait_until_unavailable();
    let response = send_request(&proxy, &request("read", 100));
    assert_eq!(response.status(), 503);
    let retry_after = response.header("retry-after").unwrap();
    assert!(retry_after.parse::<u32>().unwrap() > 0);
    assert_eq!(backend.request_count(), 0);
}
