//! Case: backends send spoilt answers whose length does not fit.

use crate::backend::{sound_response, Attempt, Response, Work};
use crate::client::{closes, Class, Connection, Request, CLASSES};
use crate::deployment::{self, Deployment};
use crate::proxy::{free_address, wait_until_ready, Proxy, ProxyConfig, COLOMBO_FREIGHT};
use crate::record::Record;
use crate::Verdict;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROXIES: usize = 2;
const CLIENTS: usize = 12;
const RUN_TIME: Duration = Duration::from_secs(20);
/// The time between two requests of a client.
const INTERVAL: Duration = Duration::from_millis(300);
/// One of so many answers is spoilt.
const SPOILT_EVERY: u64 = 10;

/// An answer whose `Content-Length` is half the length of its body.
fn short_length(body: &[u8]) -> Response {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len() / 2).into_bytes();
    bytes.extend_from_slice(body);
    Response { bytes, ends_use: true }
}

/// What a client got for a request.
struct Answer {
    id: String,
    class: Class,
    /// `None` if none came in time.
    status: Option<u16>,
    body: Vec<u8>,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let work = Work::default();
    let answers_made = AtomicU64::new(0);
    let spoilt: Arc<Mutex<HashMap<String, Attempt>>> = Arc::default();
    let spoilt_seen = spoilt.clone();
    let spoilt_record = record.clone();
    let respond = move |attempt: &Attempt, body: &[u8]| {
        let number = answers_made.fetch_add(1, Ordering::Relaxed);
        if !has_trouble || number % SPOILT_EVERY != SPOILT_EVERY - 1 {
            return sound_response(body);
        }
        spoilt.lock().unwrap().insert(attempt.id.clone(), attempt.clone());
        spoilt_record.line(format!("{} spoils its answer to {}", attempt.backend, attempt.id));
        short_length(body)
    };
    let Deployment { discovery, .. } = deployment::start(COLOMBO_FREIGHT.zones, &work, record, Arc::new(respond));
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
            sockets: 512,
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
    let answers: Vec<Answer> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    if proxies.iter_mut().any(Proxy::has_exited) {
        return Verdict::Broken("a proxy has exited".into());
    }
    let spoilt = spoilt_seen.lock().unwrap().clone();
    judge(&answers, &work, &spoilt, record)
}

fn run_client(client: usize, proxy: SocketAddr, end: Instant, record: &Record) -> Vec<Answer> {
    let mut answers = Vec::new();
    let mut connection: Option<Connection> = None;
    let mut next = Instant::now();
    while next < end {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += INTERVAL;
        let request = Request::new(CLASSES[(client + answers.len()) % CLASSES.len()]);
        let until = Instant::now() + request.class.time_left() + Duration::from_millis(550);
        record.line(format!("c{client} sends {} ({})", request.id, request.class.name()));
        connection = connection.filter(|open| !open.has_ended());
        let answer = connection
            .take()
            .or_else(|| Connection::open(proxy).ok())
            .and_then(|mut open| {
                open.write(&request.bytes()).ok()?;
                let answer = open.read_answer(until).ok().flatten()?;
                if !closes(&answer) {
                    connection = Some(open);
                }
                Some(answer)
            });
        let status = answer.as_ref().map(|answer| answer.status());
        record.line(format!("c{client} gets {status:?} for {}", request.id));
        answers.push(Answer {
            id: request.id,
            class: request.class,
            status,
            body: answer.map_or_else(Vec::new, |answer| answer.body),
        });
    }
    answers
}

fn judge(answers: &[Answer], work: &Work, spoilt: &HashMap<String, Attempt>, record: &Record) -> Verdict {
    let served = answers.iter().filter(|answer| answer.status == Some(200));
    let wrong: Vec<&Answer> = served
        .clone()
        .filter(|answer| !work.has_made(&answer.id, &answer.body))
        .collect();
    record.result(format!(
        "{} requests, {} answered with 200, {} attempts got a spoilt answer",
        answers.len(),
        served.count(),
        spoilt.len()
    ));
    let number = |answer: &Answer| spoilt.get(&answer.id).map_or(0, |attempt| attempt.number);
    let on_new = wrong.iter().filter(|answer| number(answer) == 1).count();
    record.result(format!(
        "{} wrong answers with status 200: {on_new} on new connections to backends, {} on reused ones",
        wrong.len(),
        wrong.len() - on_new
    ));
    for answer in wrong.iter().take(5) {
        let number = number(answer);
        record.result(format!(
            "{} ({}), request {number} of its backend connection: status 200 with {} bytes: {:?}",
            answer.id,
            answer.class.name(),
            answer.body.len(),
            String::from_utf8_lossy(&answer.body)
        ));
    }
    if served_nothing(answers) {
        return Verdict::CouldNotRun("nothing was served".into());
    }
    if wrong.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "{} clients got status 200 with a body that no backend made for the request",
            wrong.len()
        ))
    }
}

fn served_nothing(answers: &[Answer]) -> bool {
    answers.iter().all(|answer| answer.status != Some(200))
}
