//! Case: idle clients take all connections while usual clients write their requests in pieces.

use crate::backend::{sound_response, Work};
use crate::client::{closes, Class, Connection, Request};
use crate::deployment::{self, Deployment};
use crate::proxy::{free_address, wait_until_ready, Proxy, ProxyConfig, COLOMBO_FREIGHT};
use crate::record::Record;
use crate::Verdict;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROXIES: usize = 2;
const CLIENTS: usize = 12;
const RUN_TIME: Duration = Duration::from_secs(20);
/// The descriptors of a proxy, the least that the pages name.
const SOCKETS: u32 = 256;
/// The time between two requests of a client.
const INTERVAL: Duration = Duration::from_millis(400);
/// The time between the two pieces of a request.
const PIECE_GAP: Duration = Duration::from_millis(100);
/// A first piece had arrived if the connection was still open this long after it was written: client
/// and proxy are on one machine.
const ARRIVED_AFTER: Duration = Duration::from_millis(10);
/// How many idle clients stand before each proxy, and the time in which they come at first. A client
/// whose connection the proxy ends comes back after the same time.
const IDLE_CLIENTS: u32 = 300;
const IDLE_PERIOD: Duration = Duration::from_secs(5);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Answered(u16),
    /// The proxy ended the connection after it had part of the request, with no answer.
    Lost,
    /// The proxy ended the connection before or as the request came, and the second sending failed
    /// as well, on a new connection that was shut.
    ShutUnread,
    /// The client's time was up.
    NoAnswer,
}

struct Outcome {
    id: String,
    class: Class,
    end: End,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let work = Work::default();
    let respond = Arc::new(|_: &_, body: &[u8]| sound_response(body));
    let Deployment { discovery, .. } = deployment::start(COLOMBO_FREIGHT.zones, &work, record, respond);
    let mut proxies = Vec::new();
    let mut addresses = Vec::new();
    for number in 0..PROXIES {
        let listen = free_address();
        let config = ProxyConfig {
            site: COLOMBO_FREIGHT,
            number,
            count: PROXIES,
            listen,
            discovery: discovery.address,
            known: discovery.list(),
            sockets: SOCKETS,
            memory_mb: 128,
        };
        proxies.push(Proxy::start(&config, record));
        addresses.push(listen);
    }
    if !addresses.iter().all(|address| wait_until_ready(*address)) {
        return Verdict::CouldNotRun("a proxy is not ready".into());
    }
    std::thread::sleep(Duration::from_millis(500));
    let end = Instant::now() + RUN_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let proxy = addresses[client % PROXIES];
            let record = record.clone();
            std::thread::spawn(move || {
                std::thread::sleep(INTERVAL * client as u32 / CLIENTS as u32);
                run_client(client, proxy, end, &record)
            })
        })
        .collect();
    if has_trouble {
        std::thread::sleep(Duration::from_secs(2));
        for proxy in &addresses {
            record.line(format!("{IDLE_CLIENTS} idle clients begin to come to {proxy}"));
            let proxy = *proxy;
            std::thread::spawn(move || keep_idle_clients(proxy, end));
        }
    }
    let outcomes: Vec<Outcome> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    if proxies.iter_mut().any(Proxy::has_exited) {
        return Verdict::Broken("a proxy has exited".into());
    }
    judge(&outcomes, &work, record)
}

/// Keeps idle clients before a proxy, which connect and say nothing.
fn keep_idle_clients(proxy: SocketAddr, end: Instant) {
    let pause = IDLE_PERIOD / IDLE_CLIENTS;
    let mut idle: Vec<Option<TcpStream>> = (0..IDLE_CLIENTS).map(|_| None).collect();
    while Instant::now() < end {
        for slot in &mut idle {
            let is_open = slot.as_ref().is_some_and(is_open);
            if !is_open {
                *slot = TcpStream::connect_timeout(&proxy, Duration::from_secs(1)).ok();
            }
            std::thread::sleep(pause);
        }
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    stream
        .peek(&mut [0])
        .is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

fn run_client(client: usize, proxy: SocketAddr, end: Instant, record: &Record) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut connection: Option<Connection> = None;
    let mut next = Instant::now();
    while next < end {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += INTERVAL;
        let class = if outcomes.len() % 2 == 0 {
            Class::LoadConfirm
        } else {
            Class::SlotHold
        };
        let request = Request::new(class);
        connection = connection.filter(|open| !open.has_ended());
        let mut end = send(&mut connection, proxy, &request);
        if end == End::ShutUnread {
            // The close crossed a request that the proxy had not read.
            record.line(format!("c{client} sends {} again on a new connection", request.id));
            connection = None;
            end = send(&mut connection, proxy, &request);
        }
        record.line(format!("c{client} {} ({}): {end:?}", request.id, class.name()));
        outcomes.push(Outcome {
            id: request.id,
            class,
            end,
        });
    }
    outcomes
}

/// Sends a request in two pieces and reads the answer.
fn send(connection: &mut Option<Connection>, proxy: SocketAddr, request: &Request) -> End {
    let Some(mut open) = connection.take().or_else(|| Connection::open(proxy).ok()) else {
        return End::ShutUnread;
    };
    let was_used = open.answered > 0;
    let until = Instant::now() + request.class.time_left() + Duration::from_millis(550);
    let (first, rest) = request.body.split_at(request.body.len() / 2);
    if open.write(&[&request.head[..], first].concat()).is_err() {
        return End::ShutUnread;
    }
    std::thread::sleep(ARRIVED_AFTER);
    let ended_at_once = open.has_ended();
    std::thread::sleep(PIECE_GAP - ARRIVED_AFTER);
    let is_written = open.write(rest).is_ok();
    match open.read_answer(until) {
        Ok(Some(answer)) => {
            if !closes(&answer) {
                *connection = Some(open);
            }
            End::Answered(answer.status())
        }
        Err(error)
            if matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            End::NoAnswer
        }
        // Only a connection that had carried an answered request counts, and only a close that came
        // when the first piece had arrived.
        _ if was_used && is_written && !ended_at_once => End::Lost,
        _ => End::ShutUnread,
    }
}

fn judge(outcomes: &[Outcome], work: &Work, record: &Record) -> Verdict {
    let count = |end: fn(End) -> bool| outcomes.iter().filter(|outcome| end(outcome.end)).count();
    let served = count(|end| end == End::Answered(200));
    let attempts = work.attempts();
    record.result(format!(
        "{} requests: {served} answered with 200, {} otherwise, {} shut unread, {} lost, {} without an answer",
        outcomes.len(),
        count(|end| matches!(end, End::Answered(status) if status != 200)),
        count(|end| end == End::ShutUnread),
        count(|end| end == End::Lost),
        count(|end| end == End::NoAnswer),
    ));
    let lost: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.end == End::Lost).collect();
    for outcome in lost.iter().take(5) {
        let attempts = attempts.iter().filter(|attempt| attempt.id == outcome.id).count();
        record.result(format!(
            "{} ({}): connection ended between its pieces, {attempts} attempts at backends",
            outcome.id,
            outcome.class.name()
        ));
    }
    if served == 0 {
        return Verdict::CouldNotRun("nothing was served".into());
    }
    if lost.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "{} requests got no answer: the proxy ended their connections itself",
            lost.len()
        ))
    }
}
