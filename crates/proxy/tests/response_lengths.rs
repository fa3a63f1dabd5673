//! Responses whose length is in doubt: with bytes behind their announced end, since a length that
//! is too short and a good response that noise follows look the same, and with lengths that
//! contradict each other. None is forwarded, nor is its promise believed.

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

/// The outcome of a request of this class to a backend that responds to it with `respond`.
fn outcome_of(
    class: &str,
    position: Position,
    respond: impl Fn() -> Reply + Send + Sync + 'static,
) -> Outcome {
    let backend = FakeBackend::start(move |request| {
        if request.start_line_contains("/doubtful") {
            respond()
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
const SHORT_RESPONSES: [(&str, &str); 10] = [
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
    (
        "a promise that the request was not executed",
        "HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n0123456789",
    ),
    (
        "a client error",
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 5\r\n\r\n0123456789",
    ),
];

/// A response whose length is half of that of its body, which takes several reads.
fn long_response(header: &str) -> String {
    const BODY_BYTES: usize = 64 << 10;
    let body = "x".repeat(BODY_BYTES);
    let length = BODY_BYTES / 2;
    format!("HTTP/1.1 200 OK\r\n{header}Content-Length: {length}\r\n\r\n{body}")
}

/// Responses with two lengths that contradict each other, or with a transfer coding that the proxy
/// cannot decode. The backend closes the connection behind them.
const CONTRADICTORY_RESPONSES: [(&str, &str); 5] = [
    (
        "Content-Length above the length of the chunks",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n\
         5\r\n01234\r\n0\r\n\r\n",
    ),
    (
        "Content-Length under the length of the chunks",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n\
         5\r\n01234\r\n0\r\n\r\n",
    ),
    (
        "a truncated body with an unknown coding",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nTransfer-Encoding: gzip\r\n\r\n01234",
    ),
    (
        "an unknown coding",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n01234",
    ),
    (
        "an unknown coding in chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\n01234\r\n0\r\n\r\n",
    ),
];

/// The outcomes that are not those of a request that has failed after one attempt.
fn wrong_outcomes(
    outcomes: impl Iterator<Item = (&'static str, Outcome)>,
) -> Vec<(&'static str, Outcome)> {
    let failed = Outcome {
        status: 502,
        attempts: 1,
    };
    outcomes.filter(|(_, outcome)| *outcome != failed).collect()
}

/// The wrong outcomes of responses that more bytes follow.
fn wrong_outcomes_of_followed_responses(position: Position) -> Vec<(&'static str, Outcome)> {
    let long_responses = [
        ("64 KiB", long_response("")),
        (
            "64 KiB, the last response of its connection",
            long_response("Connection: close\r\n"),
        ),
    ];
    let short_responses = SHORT_RESPONSES.map(|(name, text)| (name, text.to_string()));
    let responses = short_responses.into_iter().chain(long_responses);
    wrong_outcomes(responses.map(|(name, text)| {
        let respond = move || Reply::Respond(text.clone());
        (name, outcome_of("pay", position, respond))
    }))
}

/// Guards against a response that is cut off at too short a length and forwarded as a whole one
/// (review case 1), on a connection that has carried a response before.
#[test]
fn a_later_response_on_a_connection_is_not_forwarded_if_bytes_follow_it() {
    assert_eq!(wrong_outcomes_of_followed_responses(Position::Later), []);
}

/// Guards against a response that is cut off at too short a length and forwarded as a whole one
/// (review case 1), on a new connection.
#[test]
fn the_first_response_on_a_connection_is_not_forwarded_if_bytes_follow_it() {
    assert_eq!(wrong_outcomes_of_followed_responses(Position::First), []);
}

/// Guards against a response that is cut off or not decoded and forwarded as a whole one, because
/// one of its two lengths, or a part of its transfer coding, is ignored.
#[test]
fn a_response_with_contradictory_lengths_or_an_unknown_coding_is_not_forwarded() {
    let outcomes = CONTRADICTORY_RESPONSES.into_iter().map(|(name, text)| {
        let respond = move || Reply::RespondAndClose(text.to_string());
        (name, outcome_of("pay", Position::First, respond))
    });
    assert_eq!(wrong_outcomes(outcomes), []);
}

/// Guards against a connection that is used again although it is in doubt where its last response
/// ends: what comes later would be taken for the response to the next request.
#[test]
fn a_connection_is_not_reused_after_a_response_with_contradictory_lengths() {
    let (_, contradictory) = CONTRADICTORY_RESPONSES[0];
    let backend = FakeBackend::start(move |request| {
        if request.start_line_contains("/doubtful") {
            Reply::Respond(contradictory.to_string())
        } else {
            ok_response("usual")
        }
    });
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let doubtful = request("pay", TIME_LEFT_MS).replace("/a?", "/doubtful?");
    assert_eq!(send_request(&proxy, &doubtful).status(), 502);
    std::thread::sleep(CONNECTION_REST);
    let usual = send_request(&proxy, &request("pay", TIME_LEFT_MS));
    assert_eq!(usual.status(), 200);
    assert_eq!(backend.connections_opened(), 2);
}

/// Guards against a check of lengths that is too strict: both say the same here.
#[test]
fn a_response_with_two_equal_lengths_is_forwarded() {
    const RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\
        Transfer-Encoding: Chunked\r\n\r\n5\r\n01234\r\n0\r\n\r\n";
    let respond = || Reply::Respond(RESPONSE.into());
    let expected = Outcome {
        status: 200,
        attempts: 1,
    };
    assert_eq!(outcome_of("pay", Position::First, respond), expected);
}
