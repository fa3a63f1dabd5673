//! Backends and paths that send more than one response to a request: each client must get the
//! response to its own request, and no response may be believed for a request that it does not
//! answer.

mod support;

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use support::*;

/// For how long clients send requests.
const TRAFFIC_DURATION: Duration = Duration::from_secs(4);
/// The time that a client gives the proxy for a request, in milliseconds.
const TIME_LEFT_MS: u64 = 2_000;
/// By how much two attempts may overlap at the backends, since the proxy closes one connection and
/// writes to another at the same time: the 50 ms by which limits are longer on sockets.
const OVERLAP_SLACK: Duration = Duration::from_millis(50);

/// Backends and their clients.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    backend_count: usize,
    /// How many of the backends have the behavior; the others behave well.
    faulty_count: usize,
    behavior: BackendBehavior,
    requests_per_s: u32,
}

impl Case {
    /// Six faulty backends and 120 requests a second.
    fn new(name: &'static str, unsolicited: UnsolicitedResponse) -> Case {
        Case {
            name,
            backend_count: 6,
            faulty_count: 6,
            behavior: BackendBehavior {
                unsolicited,
                rejects_half: false,
            },
            requests_per_s: 120,
        }
    }

    fn rejecting_half(mut self) -> Case {
        self.behavior.rejects_half = true;
        self
    }
}

/// How often each rule was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Violations {
    /// A client got status 200 with a body that no backend made for its request.
    wrong_response: usize,
    /// A request that may not be repeated anywhere was rejected, although a backend had begun it.
    rejected_after_begun: usize,
    /// A non-idempotent request was begun by backends more than once.
    run_again: usize,
    /// Two attempts of one request were in flight at the same time.
    concurrent_attempts: usize,
}

impl Violations {
    fn total(self) -> usize {
        self.wrong_response + self.rejected_after_begun + self.run_again + self.concurrent_attempts
    }
}

fn millis(lag: u64) -> Duration {
    Duration::from_millis(lag)
}

/// What clients and backends saw in the run of a case.
struct Observations {
    start: Instant,
    exchanges: Vec<Exchange>,
    executions: Vec<Execution>,
}

impl Observations {
    /// Counts the violations in requests that were answered `after` the start or later.
    fn violations(&self, after: Duration) -> Violations {
        let is_counted = |exchange: &&Exchange| exchange.answered_at >= self.start + after;
        let counted: Vec<&Exchange> = self.exchanges.iter().filter(is_counted).collect();
        assert!(!counted.is_empty(), "no traffic");
        count_violations(&counted, &self.executions)
    }
}

/// Runs the cases, a few at the same time. The tests of this file run one after the other, so that
/// the backends are not held up.
fn run_all(cases: &[Case]) -> Vec<Observations> {
    const CONCURRENT_CASES: usize = 3;
    static RUNNING: Mutex<()> = Mutex::new(());
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let concurrent = cases.chunks(CONCURRENT_CASES);
    concurrent.flat_map(run_concurrently).collect()
}

fn run_concurrently(cases: &[Case]) -> Vec<Observations> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = cases
            .iter()
            .map(|case| scope.spawn(move || run(*case)))
            .collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    })
}

fn run(case: Case) -> Observations {
    let log = ExecutionLog::default();
    let well_behaved = BackendBehavior {
        unsolicited: UnsolicitedResponse::None,
        rejects_half: false,
    };
    let endpoints: Vec<Value> = (0..case.backend_count)
        .map(|index| {
            let is_faulty = index < case.faulty_count;
            let behavior = if is_faulty {
                case.behavior
            } else {
                well_behaved
            };
            ready(
                &format!("s{index}"),
                start_recording_backend(behavior, &log),
            )
        })
        .collect();
    let discovery = FakeDiscovery::start();
    let mut config = proxy_config(discovery.address, &endpoints);
    config["settings"]["limits"]["parallel_tries"] = json!(false);
    let proxy = ProxyProcess::start(&config);
    let start = Instant::now();
    let exchanges = send_traffic(
        proxy.address,
        case.requests_per_s,
        TRAFFIC_DURATION,
        TIME_LEFT_MS,
    );
    Observations {
        start,
        exchanges,
        executions: log.executions(),
    }
}

/// The cases with more than `allowed` violations in requests that were answered `after` the start
/// or later.
fn failed_cases(
    cases: &[Case],
    observed: &[Observations],
    after: Duration,
    allowed: usize,
) -> Vec<(&'static str, Violations)> {
    let violations = observed.iter().map(|observed| observed.violations(after));
    let named = cases.iter().map(|case| case.name).zip(violations);
    named.filter(|case| case.1.total() > allowed).collect()
}

fn count_violations(exchanges: &[&Exchange], executions: &[Execution]) -> Violations {
    let mut by_id: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for execution in executions {
        by_id.entry(&execution.id).or_default().push(execution);
    }
    let mut violations = Violations::default();
    for exchange in exchanges {
        let executions = by_id
            .get(exchange.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        let begun = executions.iter().filter(|one| !one.was_rejected).count();
        let is_idempotent = exchange.class == "read";
        let status = exchange.response.as_ref().map_or(0, HttpMessage::status);
        let is_rejected = matches!(status, 429 | 503);
        violations.wrong_response += usize::from(status == 200 && !exchange.has_own_response());
        violations.rejected_after_begun += usize::from(is_rejected && !is_idempotent && begun > 0);
        violations.run_again += usize::from(exchange.class == "pay" && begun > 1);
        violations.concurrent_attempts += usize::from(overlap(executions));
    }
    violations
}

/// Whether an attempt began while an earlier one was in flight. The attempts are in the order in
/// which they were received.
fn overlap(executions: &[&Execution]) -> bool {
    executions.windows(2).any(|pair| {
        let ended_at = pair[0].ended_at;
        ended_at.is_none_or(|ended_at| pair[1].received_at + OVERLAP_SLACK < ended_at)
    })
}

/// Guards against a second response that is taken for the response to the next request on the
/// connection (incident 2f3e96): clients got responses to other requests, and requests that had
/// begun were rejected, sent again or sent twice at once.
#[test]
fn a_second_response_that_comes_within_60_ms_is_never_taken_for_another_response() {
    let repeated = |lag| UnsolicitedResponse::Repeated { lag: millis(lag) };
    let rejection = |lag| UnsolicitedResponse::Rejection { lag: millis(lag) };
    let cases = [
        Case::new("none", UnsolicitedResponse::None),
        Case::new("none, half rejected", UnsolicitedResponse::None).rejecting_half(),
        Case::new("after 2 ms", repeated(2)),
        Case::new("after 20 ms", repeated(20)),
        Case::new("after 60 ms", repeated(60)),
        Case::new("after 20 ms, half rejected", repeated(20)).rejecting_half(),
        Case::new("after 60 ms, half rejected", repeated(60)).rejecting_half(),
        Case::new("rejection after 20 ms", rejection(20)),
        Case::new("rejection after 60 ms", rejection(60)),
        Case {
            faulty_count: 1,
            ..Case::new("after 20 ms, one of six backends", repeated(20))
        },
        Case {
            backend_count: 1,
            faulty_count: 1,
            ..Case::new("after 20 ms, one backend", repeated(20))
        },
        Case {
            requests_per_s: 600,
            ..Case::new("after 60 ms, 600 requests/s", repeated(60))
        },
    ];
    let observed = run_all(&cases);
    assert_eq!(failed_cases(&cases, &observed, Duration::ZERO, 0), []);
}

/// Guards against second responses that come later than a connection rests (incident 2f3e96): what
/// is learnt from the first of them has to keep the others from being taken for another response.
#[test]
fn later_second_responses_are_taken_for_another_response_three_times_at_most() {
    const MAX_VIOLATIONS_UNTIL_LEARNT: usize = 3;
    const LEARNT_AFTER: Duration = Duration::from_secs(1);
    let repeated = |lag| UnsolicitedResponse::Repeated { lag: millis(lag) };
    let rejection = |lag| UnsolicitedResponse::Rejection { lag: millis(lag) };
    let cases = [
        Case::new("after 100 ms", repeated(100)),
        Case::new("after 400 ms", repeated(400)),
        Case::new("rejection after 100 ms", rejection(100)),
        Case::new("rejection after 400 ms", rejection(400)),
        Case::new("after 400 ms, half rejected", repeated(400)).rejecting_half(),
        Case::new("second delivery", UnsolicitedResponse::SecondDelivery),
    ];
    let observed = run_all(&cases);
    let allowed = MAX_VIOLATIONS_UNTIL_LEARNT;
    assert_eq!(failed_cases(&cases, &observed, Duration::ZERO, allowed), []);
    assert_eq!(failed_cases(&cases, &observed, LEARNT_AFTER, 0), []);
}

/// Starts a backend that responds to each request with a body of its own. Before its response to a
/// request whose path contains `copy`, it sends the previous response on the connection again.
fn start_copying_backend() -> (SocketAddr, ExecutionCount) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let copies = ExecutionCount::default();
    let counter = copies.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let counter = counter.clone();
            std::thread::spawn(move || send_copies(stream, &counter));
        }
    });
    (address, copies)
}

/// How many requests whose path contains `copy` were received.
type ExecutionCount = Arc<AtomicUsize>;

fn send_copies(mut stream: TcpStream, requests_with_copy: &AtomicUsize) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut previous = String::new();
    while let Some(request) = read_http_message(&mut reader) {
        let body = response_body(request.header("x-correlation-id").unwrap());
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        if request.start_line_contains("copy") {
            requests_with_copy.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(previous.as_bytes());
            std::thread::sleep(millis(20));
        }
        let _ = stream.write_all(response.as_bytes());
        previous = response;
    }
}

/// Guards against a late copy of a response that is taken for the response to the next request on
/// its connection (incident 2f3e96), however long the connection has rested.
#[test]
fn a_late_copy_of_a_response_is_not_forwarded_where_responses_usually_differ() {
    const USUAL_REQUESTS: usize = 150;
    for (class, expected_status) in [("read", 503), ("pay", 502)] {
        let (address, requests_with_copy) = start_copying_backend();
        let discovery = FakeDiscovery::start();
        let proxy = ProxyProcess::start(&proxy_config(discovery.address, &[ready("a", address)]));
        for _ in 0..USUAL_REQUESTS {
            let usual = send_request(&proxy, &request(class, TIME_LEFT_MS));
            assert_eq!(usual.status(), 200);
        }
        std::thread::sleep(CONNECTION_REST);
        let with_copy = request(class, TIME_LEFT_MS).replace("/a?", "/copy?");
        let response = send_request(&proxy, &with_copy);
        let received = requests_with_copy.load(Ordering::SeqCst);
        assert_eq!((class, response.status()), (class, expected_status));
        assert_eq!((class, received), (class, 1));
    }
}
