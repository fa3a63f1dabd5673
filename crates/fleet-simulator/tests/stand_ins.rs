//! Tests of the stand-ins for discovery, backends and clients, without a proxy between them.

use brookstack_fleet_simulator::real::backends::{Backends, Stamp};
use brookstack_fleet_simulator::real::client::RoundTrip;
use brookstack_fleet_simulator::real::discovery::Discovery;
use brookstack_fleet_simulator::real::load::{Load, NotServed};
use brookstack_fleet_simulator::real::stall::Stall;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response of discovery.
struct Response {
    body: Value,
    /// The length of the response in bytes, including its head.
    bytes: u64,
}

/// Calls discovery on a new connection.
fn call(to: SocketAddr, path: &str) -> Response {
    let mut stream = TcpStream::connect(to).expect("discovery listens");
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    .expect("written");
    let mut stream = BufReader::new(stream);
    let head = read_head(&mut stream);
    let mut body = vec![0; head.content_length];
    stream.read_exact(&mut body).expect("the complete body");
    // The stand-in counts the bytes before it closes the connection, but possibly after the client
    // has received them. The counts are therefore complete only when the connection has been
    // closed.
    let mut surplus = Vec::new();
    stream
        .read_to_end(&mut surplus)
        .expect("the end of the stream");
    assert!(surplus.is_empty(), "{surplus:?} after the response");
    Response {
        body: serde_json::from_slice(&body).expect("JSON"),
        bytes: (head.bytes + head.content_length) as u64,
    }
}

/// The head of a response.
#[derive(Default)]
struct Head {
    /// The length of the head in bytes.
    bytes: usize,
    /// The length of the body in bytes.
    content_length: usize,
}

fn read_head(stream: &mut impl BufRead) -> Head {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        head.bytes += stream.read_line(&mut line).expect("a head");
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            head.content_length = value.trim().parse().expect("a length");
        }
        if line == "\r\n" {
            return head;
        }
    }
}

/// Calls discovery without blocking the runtime that serves it.
async fn get(discovery: &Discovery, path: &'static str) -> Response {
    let to = discovery.address;
    tokio::task::spawn_blocking(move || call(to, path))
        .await
        .expect("a call")
}

/// A stand-in for discovery whose list has three endpoints.
async fn discovery_with_three_endpoints() -> Discovery {
    let endpoints = ["one", "two", "three"].map(|name| format!("{{\"name\":\"{name}\"}}"));
    Discovery::start(endpoints.to_vec()).await.expect("started")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn discovery_serves_the_complete_list_and_counts_its_bytes() {
    let discovery = discovery_with_three_endpoints().await;
    let Response { body, bytes } = get(&discovery, "/api/targets").await;
    assert_eq!(body["snapshot"], true);
    assert_eq!(body["index"].as_u64(), Some(1));
    assert_eq!(body["endpoints"].as_array().map(Vec::len), Some(3));
    assert_eq!(discovery.bytes(), bytes, "the bytes include heads");
    assert_eq!(discovery.calls(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_watch_without_a_change_gets_an_empty_response_when_its_wait_ends() {
    let discovery = discovery_with_three_endpoints().await;
    let sent_at = Instant::now();
    let response = get(&discovery, "/api/targets?after=1&wait_ms=200").await;
    assert!(sent_at.elapsed() >= Duration::from_millis(200));
    let empty = json!({"index": 1, "snapshot": false, "endpoints": []});
    assert_eq!(response.body, empty);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_watch_gets_a_change_and_then_a_pushed_snapshot() {
    let discovery = discovery_with_three_endpoints().await;
    let watcher = discovery.clone();
    let watch =
        tokio::spawn(async move { get(&watcher, "/api/targets?after=1&wait_ms=30000").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    discovery.change(1, "{\"name\":\"new\"}".into());
    let change = watch.await.expect("a call").body;
    let expected = json!({"index": 2, "snapshot": false, "endpoints": [{"name": "new"}]});
    assert_eq!(change, expected);

    discovery.push_snapshot();
    let response = get(&discovery, "/api/targets?after=2&wait_ms=30000").await;
    let snapshot = response.body;
    assert_eq!(snapshot["index"].as_u64(), Some(3));
    assert_eq!(snapshot["snapshot"].as_bool(), Some(true));
    assert_eq!(snapshot["endpoints"].as_array().map(Vec::len), Some(3));
    assert_eq!(snapshot["endpoints"][1]["name"], "new");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_reuse_connections_and_exclude_the_service_time() {
    let service_time = Duration::from_millis(20);
    let backends = Backends::start(1, service_time).await.expect("started");
    let mut load = Load::new(backends.address(7), 100.0, 0, 3).expect("a rate");
    let observations = load.run(Duration::from_secs(2)).await;
    // Requests that were sent shortly before the end have no response yet.
    let answered = observations.added_latency.len();
    assert!((140..=270).contains(&answered), "{answered} responses");
    assert_eq!(observations.not_served, NotServed::default());
    assert!(backends.requests() >= answered);
    assert!(
        backends.connections() <= answered / 4,
        "{} connections",
        backends.connections()
    );
    let median = Duration::from_micros(observations.added_latency.value_at_quantile(0.5));
    assert!(
        median < service_time / 2,
        "median added latency of {median:?} with a service time of {service_time:?}"
    );
    assert_eq!(observations.before_backend.len(), answered);
    assert_eq!(observations.after_backend.len(), answered);
}

#[test]
fn a_written_stamp_is_parsed_and_other_bodies_are_rejected() {
    let stamp = Stamp {
        received_at: Duration::from_micros(1_234_567),
        service_time: Duration::from_micros(5_021),
    };
    assert_eq!(Stamp::parse(stamp.to_text().as_bytes()), Some(stamp));
    for body in ["", "refused", "12", "12,", "12,x", ",5"] {
        assert_eq!(Stamp::parse(body.as_bytes()), None, "{body}");
    }
}

#[test]
fn a_stall_is_computed_from_the_longest_round_trip_around_each_event() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let round_trip = |at: u64, took: u64| RoundTrip {
        sent_at: start + ms(at),
        duration: ms(took),
    };
    let round_trips = [
        round_trip(0, 1),
        round_trip(95, 30),
        round_trip(300, 2),
        round_trip(1_000, 5),
        round_trip(1_600, 50),
        round_trip(3_000, 9),
    ];
    let events = [start + ms(100), start + ms(990), start + ms(2_950)];
    assert_eq!(
        Stall::of(&round_trips, &events),
        Stall {
            median_ms: 9.0,
            longest_ms: 30.0
        }
    );
    assert_eq!(
        Stall::of(&round_trips, &[]),
        Stall {
            median_ms: 0.0,
            longest_ms: 0.0
        }
    );
}
