//! Which requests the proxy rejects as invalid without forwarding them.

mod support;

use support::*;

/// The proxy answers each invalid request, forwards nothing of it and closes the connection. If it
/// went on reading, it could parse the remainder of an invalid request as another request.
#[test]
fn invalid_requests_are_rejected_and_their_connection_is_closed() {
    let backend = FakeBackend::responding_ok("x");
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    for case in invalid_requests() {
        let mut client = Client::connect(proxy.address);
        client.send(&(case.text.clone() + &request("read", 7000)));
        let excerpt = &case.text[..case.text.len().min(300)];
        assert_eq!(client.read_status(), Some(case.status), "{excerpt}");
        assert!(
            client.wait_for_close(),
            "the connection stays open after {excerpt}"
        );
    }
    assert_eq!(
        backend.request_count(),
        0,
        "an invalid request or the one after it was forwarded"
    );
    // The largest time left, `u64::MAX` milliseconds, is valid.
    let response = send_request(&proxy, &request("read", u64::MAX));
    assert_eq!(response.status(), 200);
    assert_reads_succeed(&proxy, 1);
}

/// A request that the proxy rejects, and the status of its response.
struct InvalidRequest {
    text: String,
    status: u16,
}

impl InvalidRequest {
    fn new(status: u16, text: impl Into<String>) -> InvalidRequest {
        let text = text.into();
        InvalidRequest { text, status }
    }
}

fn invalid_requests() -> Vec<InvalidRequest> {
    [
        invalid_classes(),
        invalid_times_left(),
        invalid_ids(),
        invalid_idempotency_keys(),
        invalid_content_lengths(),
        invalid_transfer_encodings(),
        invalid_heads(),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn read_request() -> String {
    request("read", 7000)
}

fn pay_request() -> String {
    request("pay", 7000)
}

/// A request of the class `read` with an additional header.
fn read_request_with(header: &str) -> String {
    read_request().replace("\r\nHost", &format!("\r\n{header}\r\nHost"))
}

/// A request of the class `pay` with the given headers instead of its Content-Length of 4.
fn pay_request_with(headers: &str) -> String {
    pay_request().replace("Content-Length: 4", headers)
}

fn invalid_classes() -> Vec<InvalidRequest> {
    let read = read_request();
    let unknown_class = read.replace("X-Service-Class: read", "X-Service-Class: none");
    vec![
        InvalidRequest::new(400, read.replace("X-Service-Class: read\r\n", "")),
        InvalidRequest::new(400, unknown_class),
        InvalidRequest::new(400, read_request_with("X-Service-Class: read")),
        InvalidRequest::new(400, read.replace("/read/", "/pay/")),
        InvalidRequest::new(400, read.replace("GET", "POST")),
        InvalidRequest::new(400, pay_request().replace("POST", "GET")),
    ]
}

fn invalid_times_left() -> Vec<InvalidRequest> {
    let read = read_request();
    let too_large = read.replace("7000", "99999999999999999999999");
    let invalid_hint = read.replace("7000", "7000\r\nX-Weight-Hint: 1e3");
    vec![
        InvalidRequest::new(400, read.replace("X-Time-Left-Ms: 7000\r\n", "")),
        InvalidRequest::new(400, read_request_with("X-Time-Left-Ms: 1")),
        InvalidRequest::new(400, read.replace("7000", "-1")),
        InvalidRequest::new(400, read.replace("7000", "soon")),
        InvalidRequest::new(400, too_large),
        InvalidRequest::new(400, invalid_hint),
    ]
}

fn invalid_ids() -> Vec<InvalidRequest> {
    let read = read_request();
    let id = read
        .lines()
        .find(|line| line.starts_with("X-Correlation-Id"))
        .unwrap();
    let too_long = format!("X-Correlation-Id: {}", "x".repeat(129));
    let duplicate = format!("\r\n{id}\r\nHost");
    vec![
        InvalidRequest::new(400, read.replace(&format!("{id}\r\n"), "")),
        InvalidRequest::new(400, read.replace(id, "X-Correlation-Id: ")),
        InvalidRequest::new(400, read.replace(id, "X-Correlation-Id: \u{e9}")),
        InvalidRequest::new(400, read.replace(id, &too_long)),
        InvalidRequest::new(400, read.replace("\r\nHost", &duplicate)),
    ]
}

fn invalid_idempotency_keys() -> Vec<InvalidRequest> {
    let unexpected = pay_request().replace("X-Time", "Idempotency-Key: k\r\nX-Time");
    let vote = request("vote", 7000);
    let missing = vote.replace("Idempotency-Key: k1\r\n", "");
    let duplicate = vote.replace(
        "Idempotency-Key: k1",
        "Idempotency-Key: k1\r\nIdempotency-Key: k2",
    );
    vec![
        InvalidRequest::new(400, unexpected),
        InvalidRequest::new(400, missing),
        InvalidRequest::new(400, duplicate),
    ]
}

fn invalid_content_lengths() -> Vec<InvalidRequest> {
    const MAX_BODY: usize = 64 << 10;
    let long_body = "x".repeat(MAX_BODY + 1);
    let with_long_body = pay_request_with(&format!("Content-Length: {}", long_body.len()))
        .replace("body", &long_body);
    vec![
        InvalidRequest::new(400, pay_request_with("Content-Length: -4")),
        InvalidRequest::new(
            400,
            pay_request_with("Content-Length: 4\r\nContent-Length: 5"),
        ),
        InvalidRequest::new(413, pay_request_with("Content-Length: 60000000")),
        InvalidRequest::new(413, with_long_body),
    ]
}

/// A request with both a Content-Length and a Transfer-Encoding allows request smuggling: two
/// readers that each use a different one of these headers disagree about where the body ends, and
/// one of them parses a part of the body as another request.
fn invalid_transfer_encodings() -> Vec<InvalidRequest> {
    let chunked_after_length = "Content-Length: 4\r\nTransfer-Encoding: chunked";
    let chunked_before_length = "Transfer-Encoding: chunked\r\nContent-Length: 4";
    let chunked =
        pay_request_with("Transfer-Encoding: chunked").replace("body", "4\r\nbody\r\n0\r\n\r\n");
    vec![
        InvalidRequest::new(411, pay_request_with(chunked_after_length)),
        InvalidRequest::new(411, pay_request_with(chunked_before_length)),
        InvalidRequest::new(411, chunked),
        InvalidRequest::new(400, pay_request_with("Transfer-Encoding: gzip")),
    ]
}

fn invalid_heads() -> Vec<InvalidRequest> {
    let without_host = read_request().replace("Host: backend.local\r\n", "");
    let padding = "X-Pad: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n".repeat(10_000);
    vec![
        InvalidRequest::new(400, without_host),
        InvalidRequest::new(400, "nonsense\r\n\r\n"),
        InvalidRequest::new(431, format!("GET /read/a HTTP/1.1\r\n{padding}")),
    ]
}

/// If two requests have the same id, the second is rejected and the first is answered as usual.
#[test]
fn a_request_with_the_id_of_a_pending_request_is_rejected() {
    let (opener, gate) = ResponseGate::closed();
    let backend = FakeBackend::start(move |_| {
        gate.wait();
        ok_response("x")
    });
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let text = request("read", 7000);
    let mut first = Client::connect_and_send(proxy.address, &text);
    wait_until("the first request is sent", || backend.request_count() == 1);
    let mut second = Client::connect_and_send(proxy.address, &text);
    assert_eq!(second.read_status(), Some(409));
    assert!(second.wait_for_close());
    opener.open();
    assert_eq!(first.read_status(), Some(200));
    assert_eq!(backend.request_count(), 1);
    first.send(&text);
    assert_eq!(
        first.read_status(),
        Some(200),
        "the id was rejected although its first request has been answered"
    );
}
