//! Responses whose announced length is too short, and the rest of whose body comes some time after
//! the announced end. No client may take such a response for a whole one, as far as the proxy can
//! know: a response without any body is suspicious by itself, any other once such a rest was seen.

mod support;

use serde_json::json;
use std::time::{Duration, Instant};
use support::*;

/// The time that a client gives the proxy for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 2_000;
/// For how long clients send requests.
const TRAFFIC_DURATION: Duration = Duration::from_secs(4);
/// How many requests clients send in a second.
const REQUESTS_PER_S: u32 = 120;
/// The time after which the proxy must have learnt from the rests that it has seen.
const LEARNT_AFTER: Duration = Duration::from_secs(1);
/// The slack of time limits on sockets.
const SLACK: Duration = Duration::from_millis(50);

/// The head of a response that announces no body.
const EMPTY_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// The heads of responses that announce no body, in all forms.
const EMPTY_RESPONSES: [(&str, &str); 4] = [
    ("a length of 0", EMPTY_RESPONSE),
    (
        "a length of 0, the last response of its connection",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    ),
    (
        "a length of 0 in HTTP/1.0",
        "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    ),
    (
        "no chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
];

fn millis(lag: u64) -> Duration {
    Duration::from_millis(lag)
}

/// Backends of which some have a behavior, and what clients and backends saw.
struct Run {
    start: Instant,
    exchanges: Vec<Exchange>,
    executions: Vec<Execution>,
}

impl Run {
    /// Sends traffic to six backends, of which the first `faulty_count` have the behavior.
    fn of(faulty_count: usize, unsolicited: UnsolicitedResponse) -> Run {
        const BACKEND_COUNT: usize = 6;
        let log = ExecutionLog::default();
        let start_backend = |index| {
            let behavior = BackendBehavior {
                unsolicited: if index < faulty_count {
                    unsolicited
                } else {
                    UnsolicitedResponse::None
                },
                rejects_half: false,
            };
            let address = start_recording_backend(behavior, &log);
            ready(&format!("s{index}"), address)
        };
        let endpoints: Vec<_> = (0..BACKEND_COUNT).map(start_backend).collect();
        let discovery = FakeDiscovery::start();
        let mut config = proxy_config(discovery.address, &endpoints);
        config["settings"]["limits"]["parallel_tries"] = json!(false);
        let proxy = ProxyProcess::start(&config);
        let start = Instant::now();
        let exchanges = send_traffic(
            proxy.address,
            REQUESTS_PER_S,
            TRAFFIC_DURATION,
            TIME_LEFT_MS,
        );
        Run {
            start,
            exchanges,
            executions: log.executions(),
        }
    }

    /// How many clients got a wrong response this long after the start or later.
    fn wrong_responses(&self, after: Duration) -> usize {
        let since = self.start + after;
        let counted = self.exchanges.iter();
        counted
            .filter(|exchange| exchange.answered_at >= since && exchange.has_wrong_response())
            .count()
    }

    /// The fraction of clients that got their own response.
    fn served(&self) -> f64 {
        let exchanges = self.exchanges.iter();
        let served = exchanges
            .filter(|exchange| exchange.status() == 200 && exchange.has_own_response())
            .count();
        served as f64 / self.exchanges.len() as f64
    }
}

/// Sends traffic to backends of which one in so many responses announces this part of its body, for
/// each lag.
fn run_late_rests(announced: AnnouncedPart, one_in: usize) -> Vec<(LagRange, Run)> {
    let runs = lags().into_iter().map(|lag| {
        let late_rest = UnsolicitedResponse::LateRest {
            announced,
            lag,
            one_in,
        };
        let run = Run::of(6, late_rest);
        assert!(!run.executions.is_empty(), "no traffic: {lag:?}");
        (lag, run)
    });
    runs.collect()
}

/// Lags of 2 to 150 ms: short ones, long ones, and all of them mixed.
fn lags() -> [LagRange; 4] {
    let always = |lag| LagRange::always(millis(lag));
    let mixed = LagRange {
        shortest: millis(2),
        longest: millis(150),
    };
    [always(2), always(20), always(150), mixed]
}

/// The lags with wrong responses, and how many.
fn wrong_responses(runs: &[(LagRange, Run)], after: Duration) -> Vec<(LagRange, usize)> {
    let counts = runs
        .iter()
        .map(|(lag, run)| (*lag, run.wrong_responses(after)));
    counts.filter(|(_, count)| *count > 0).collect()
}

/// The status that a client gets if a backend sends this head and, after the lag, a body.
fn status_with_late_body(head: &'static str, lag: Duration, is_first: bool) -> u16 {
    let backend = FakeBackend::start(move |request| {
        if request.start_line_contains("/late") {
            Reply::RespondInTwoParts {
                first: head.to_string(),
                pause: lag,
                second: "0123456789".to_string(),
            }
        } else {
            ok_response("usual")
        }
    });
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    if !is_first {
        let usual = send_request(&proxy, &request("pay", TIME_LEFT_MS));
        assert_eq!(usual.status(), 200);
        std::thread::sleep(CONNECTION_REST);
    }
    let late = request("pay", TIME_LEFT_MS).replace("/a?", "/late?");
    let status = send_request(&proxy, &late).status();
    assert_eq!(backend.connections_opened(), 1);
    status
}

/// Guards against a response without a body that is forwarded as a whole one while its body is on
/// the way (review case 6), on new connections and on used ones.
#[test]
fn a_response_without_a_body_is_not_forwarded_if_its_body_comes_late() {
    let mut forwarded = Vec::new();
    for (name, head) in EMPTY_RESPONSES {
        for lag in [2, 5, 50, 150] {
            for is_first in [true, false] {
                let status = status_with_late_body(head, millis(lag), is_first);
                if status != 502 {
                    forwarded.push((name, lag, is_first, status));
                }
            }
        }
    }
    assert_eq!(forwarded, []);
}

/// Guards against the same in traffic, where the first such response counts as well (review case
/// 6).
#[test]
fn no_response_in_traffic_is_forwarded_without_its_late_body() {
    let runs = run_late_rests(AnnouncedPart::None, 1);
    assert_eq!(wrong_responses(&runs, Duration::ZERO), []);
}

/// Guards against responses that are forwarded as whole ones although rests were seen to come late
/// (the class of review case 6).
#[test]
fn once_a_late_rest_was_seen_no_half_response_is_forwarded() {
    let runs = run_late_rests(AnnouncedPart::Half, 1);
    assert_eq!(wrong_responses(&runs, LEARNT_AFTER), []);
}

/// Guards against the same if the rest is so short that it could begin another response.
#[test]
fn once_a_late_byte_was_seen_no_response_without_its_last_byte_is_forwarded() {
    let runs = run_late_rests(AnnouncedPart::AllButOneByte, 1);
    assert_eq!(wrong_responses(&runs, LEARNT_AFTER), []);
}

/// Guards against late rests that are not noticed because the connection is not kept for another
/// request.
#[test]
fn a_late_rest_is_learnt_from_in_all_forms_of_responses() {
    const FORMS: [(&str, &str); 4] = [
        (
            "a length",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n01234",
        ),
        (
            "the last response of its connection",
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\n01234",
        ),
        (
            "HTTP/1.0",
            "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n01234",
        ),
        (
            "chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n\r\n",
        ),
    ];
    for (name, first) in FORMS {
        let backend = FakeBackend::start(move |_| Reply::RespondInTwoParts {
            first: first.to_string(),
            pause: millis(20),
            second: "56789".to_string(),
        });
        let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
        let unknown = send_request(&proxy, &request("pay", TIME_LEFT_MS));
        assert_eq!((name, unknown.status()), (name, 200));
        std::thread::sleep(CONNECTION_REST);
        let learnt = send_request(&proxy, &request("pay", TIME_LEFT_MS));
        assert_eq!((name, learnt.status()), (name, 502));
    }
}

/// Guards against late rests that are noticed only where every response has one.
#[test]
fn sound_responses_are_served_while_one_in_ten_has_a_late_rest() {
    const MIN_SERVED: f64 = 0.5;
    let runs = run_late_rests(AnnouncedPart::Half, 10);
    assert_eq!(wrong_responses(&runs, LEARNT_AFTER), []);
    for (lag, run) in runs {
        assert!(run.served() >= MIN_SERVED, "{lag:?}: {}", run.served());
    }
}

/// Guards against a backend whose late rests are forgotten, or cost the others their service.
#[test]
fn late_rests_of_one_backend_leave_the_others_in_service() {
    const SOUND_PART: f64 = 5.0 / 6.0;
    let late_rest = UnsolicitedResponse::LateRest {
        announced: AnnouncedPart::Half,
        lag: LagRange::always(millis(20)),
        one_in: 1,
    };
    let run = Run::of(1, late_rest);
    assert_eq!(run.wrong_responses(LEARNT_AFTER), 0);
    assert!(run.served() >= SOUND_PART, "{}", run.served());
}

/// Guards against sound responses that fail because they come in pieces.
#[test]
fn sound_responses_in_pieces_are_all_forwarded() {
    let in_pieces = UnsolicitedResponse::NoneInPieces { pause: millis(5) };
    let run = Run::of(6, in_pieces);
    assert!(run.served() >= 1.0, "{}", run.served());
}

/// Guards against a backend that ends before it has sent its body, and whose response is taken for
/// one without a body because its connection is closed in order (soak, seed 349).
#[test]
fn a_response_without_a_body_is_not_forwarded_if_its_connection_ends_unannounced() {
    for pause in [0, 20] {
        let backend = FakeBackend::start(move |_| Reply::RespondAndCloseLater {
            text: EMPTY_RESPONSE.to_string(),
            pause: millis(pause),
        });
        let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
        let response = send_request(&proxy, &request("pay", TIME_LEFT_MS));
        assert_eq!((pause, response.status()), (pause, 502));
    }
}

/// Guards against backends that close their connections after each response, and are never served.
#[test]
fn a_response_without_a_body_is_forwarded_at_once_if_its_connection_ends_as_announced() {
    for (name, head) in &EMPTY_RESPONSES[1..3] {
        let backend = FakeBackend::start(|_| Reply::RespondAndClose(head.to_string()));
        let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
        let sent_at = Instant::now();
        let response = send_request(&proxy, &request("pay", TIME_LEFT_MS));
        let elapsed = sent_at.elapsed();
        assert_eq!((*name, response.status()), (*name, 200));
        assert!(elapsed < millis(150), "{name}: {elapsed:?}");
    }
}

/// Guards against backends that answer without a body and are never served.
#[test]
fn a_response_without_a_body_is_forwarded_if_nothing_follows_it() {
    for (name, head) in EMPTY_RESPONSES {
        let backend = FakeBackend::start(move |_| Reply::Respond(head.to_string()));
        let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
        let response = send_request(&proxy, &request("pay", TIME_LEFT_MS));
        assert_eq!((name, response.status()), (name, 200));
        assert!(response.body.is_empty(), "{name}");
    }
}

/// Guards against a response that waits for what may follow it for longer than its client does, or
/// that is forwarded because the time was too short to see what follows.
#[test]
fn a_response_without_a_body_is_answered_in_time_if_the_client_cannot_wait() {
    let backend = FakeBackend::start(|_| Reply::Respond(EMPTY_RESPONSE.to_string()));
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    for time_left_ms in [40, 100, 150] {
        let sent_at = Instant::now();
        let response = send_request(&proxy, &request("pay", time_left_ms));
        let elapsed = sent_at.elapsed();
        assert_eq!((time_left_ms, response.status()), (time_left_ms, 502));
        assert!(elapsed <= millis(time_left_ms) + SLACK, "{elapsed:?}");
    }
}

/// Guards against an attempt that goes on for a client that has left, while its response waits for
/// what may follow it.
#[test]
fn a_client_that_leaves_ends_the_wait_for_what_may_follow_its_response() {
    let backend = FakeBackend::start(|_| Reply::Respond(EMPTY_RESPONSE.to_string()));
    let (proxy, _discovery) = start_proxy_with(&[("a", &backend)]);
    let client = Client::connect_and_send(proxy.address, &request("read", TIME_LEFT_MS));
    wait_until("the backend has responded", || {
        backend.responses_written() == 1
    });
    client.close(CloseMode::Fin);
    let left_at = Instant::now();
    wait_until("the proxy has closed the connection", || {
        backend.connections_closed() == 1
    });
    let elapsed = left_at.elapsed();
    assert!(elapsed <= millis(100) + SLACK, "{elapsed:?}");
}
