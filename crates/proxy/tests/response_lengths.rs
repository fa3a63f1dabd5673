//! Responses with bytes behind their announced end. A length that is too short and a good response
//! that noise follows look the same, so neither is forwarded, nor is its promise believed.

mod support;

use support::*;

/// The time that a client gives the proxy for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 1_000;

/// Which response of its connection is the one that bytes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// The first one.
    First,
    /// One after a usual response and the rest of the connection.
    Later,
}

/// What a client got for a request, and how often the request was sent.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    status: u16,
    attempts: usize,
}

/// The outcome of a request of this class to a backend that responds to it with `response` and keeps
/// the connection open.
fn outcome_of(class: &str, response: &str, position: Position) -> Outcome {
    let text = response.to_string();
    let backend = FakeBackend::start(move |request| {
        if request.start_line_contains("/doubtful") {
            Reply::Respond(text.clone())
        } else {
            ok_response("usual")
        }
    });
    let discovery = FakeDiscovery::start();
    let endpoints = [ready("a", backend.address)];
    let proxy = ProxyProcess::start(&proxy_config(discovery.address, &endpoints));
    if position == Position::Later {
        let usual = send_request(&proxy, &request(class, TIME_LEFT_MS));
        assert_eq!(usual.status(), 200);
        std::thread::sleep(CONNECTION_REST);
    }
    let doubtful = request(class, TIME_LEFT_MS).replace("/a?", "/doubtful?");
    let response = send_request(&proxy, &doubtful);
    assert_eq!(backend.connections_opened(), 1);
    let requests = backend.requests();
    let is_doubtful = |request: &&HttpMessage| request.start_line_contains("/doubtful");
    Outcome {
        status: response.status(),
        attempts: requests.iter().filter(is_doubtful).count(),
    }
}

/// Responses that more bytes follow in the same write.
const SHORT_RESPONSES: [(&str, &str); 8] = [
    (
        "too short a length",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n0123456789",
    ),
    (
        "a length of 0",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n0123456789",
    ),
    (
        "one more byte",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n01234\n",
    ),
    (
        "noise behind the last chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n\r\n56789",
    ),
    (
        "another response",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n01234\
         HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n56789",
    ),
    (
        "too short a length, the last response of its connection",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\n0123456789",
    ),
    (
        "noise behind the last chunk, the last response of its connection",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n\
         5\r\n01234\r\n0\r\n\r\n56789",
    ),
    (
        "too short a length in HTTP/1.0",
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n0123456789",
    ),
];

/// A response whose length is half of that of its body, which takes several reads.
fn long_response(header: &str) -> String {
    const BODY_BYTES: usize = 64 << 10;
    let body = "x".repeat(BODY_BYTES);
    let length = BODY_BYTES / 2;
    format!("HTTP/1.1 200 OK\r\n{header}Content-Length: {length}\r\n\r\n{body}")
}

/// The names of the responses that are forwarded, or not treated like those of a request that has
/// failed after one attempt, with the outcomes.
fn wrong_outcomes(position: Position) -> Vec<(&'static str, Outcome)> {
    let long_responses = [
        ("64 KiB", long_response("")),
        (
            "64 KiB, the last response of its connection",
            long_response("Connection: close\r\n"),
        ),
    ];
    let short_responses = SHORT_RESPONSES.map(|(name, text)| (name, text.to_string()));
    let responses = short_responses.into_iter().chain(long_responses);
    let outcomes = responses.map(|(name, text)| (name, outcome_of("pay", &text, position)));
    let failed = Outcome {
        status: 502,
        attempts: 1,
    };
    outcomes.filter(|(_, outcome)| *outcome != failed).collect()
}

/// Guards against a response that is cut off at too short a length and forwarded as a whole one
/// (review case 1), on a connection that has carried a response before.
#[test]
fn a_later_response_on_a_connection_is_not_forwarded_if_bytes_follow_it() {
    assert_eq!(wrong_outcomes(Position::Later), []);
}

/// Guards against a response that is cut off at too short a length and forwarded as a whole one
/// (review case 1), on a new connection.
#[test]
fn the_first_response_on_a_connection_is_not_forwarded_if_bytes_follow_it() {
    assert_eq!(wrong_outcomes(Position::First), []);
}
