//! Case: proxies are killed in a release while backends drain, and discovery is down into its start.

use crate::backend::{sound_response, Work};
use crate::client::{closes, Class, Connection, Request, CLASSES};
use crate::deployment::{self, backend_name, Deployment};
use crate::proxy::{free_address, wait_until_ready, Proxy, ProxyConfig, QUAY_ORDERS};
use crate::record::Record;
use crate::Verdict;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROXIES: usize = 3;
/// The proxies that are killed: two of three.
const KILLED: [usize; 2] = [0, 1];
/// The backends that drain: three of nine.
const DRAINING: [usize; 3] = [1, 4, 7];
const CLIENTS: usize = 36;
const INTERVAL: Duration = Duration::from_millis(200);
/// How long a killed proxy stays down.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(8);
/// How long the backends drain before their processes end.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// `stop_sending_within_us`, and the 50 ms by which limits are longer on sockets.
const GRACE: Duration = Duration::from_millis(550);

struct Outcome {
    id: String,
    class: Class,
    proxy: usize,
    status: Option<u16>,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let work = Work::default();
    let respond = Arc::new(|_: &_, body: &[u8]| sound_response(body));
    let Deployment { discovery, backends } = deployment::start(QUAY_ORDERS.zones, &work, record, respond);
    let config = |number: usize, listen: SocketAddr, known: &str| ProxyConfig {
        site: QUAY_ORDERS,
        number,
        count: PROXIES,
        listen,
        discovery: discovery.address,
        known: known.to_string(),
        sockets: 512,
        memory_mb: 128,
    };
    let first_list = discovery.list();
    let addresses: Vec<SocketAddr> = (0..PROXIES).map(|_| free_address()).collect();
    let mut proxies: Vec<Option<Proxy>> = (0..PROXIES)
        .map(|number| Some(Proxy::start(&config(number, addresses[number], &first_list), record)))
        .collect();
    if !addresses.iter().all(|address| wait_until_ready(*address)) {
        return Verdict::CouldNotRun("a proxy is not ready".into());
    }
    std::thread::sleep(Duration::from_millis(500));
    // The front takes a proxy in once it is ready.
    let is_open: Arc<Vec<AtomicBool>> = Arc::new((0..PROXIES).map(|_| AtomicBool::new(true)).collect());
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let number = client % PROXIES;
            let (proxy, record) = (addresses[number], record.clone());
            let (is_open, is_over) = (is_open.clone(), is_over.clone());
            std::thread::spawn(move || {
                std::thread::sleep(INTERVAL * client as u32 / CLIENTS as u32);
                run_client(client, number, proxy, &is_open, &is_over, &record)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));

    // The list that the killed proxies had last.
    let known = discovery.list();
    if has_trouble {
        for number in KILLED {
            is_open[number].store(false, Ordering::SeqCst);
            proxies[number].take().unwrap().kill();
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    for index in DRAINING {
        discovery.set_status(&backend_name(index), "draining");
    }
    let drained_at = Instant::now();
    // When each proxy counts as told that the backends drain.
    let mut told_at = [drained_at; PROXIES];
    std::thread::sleep(Duration::from_millis(300));
    if has_trouble {
        discovery.set_down(true);
        let back_at = Instant::now() + OUTAGE;
        std::thread::sleep(DOWN_TIME - Duration::from_millis(600));
        for number in KILLED {
            let config = config(number, addresses[number], &known);
            proxies[number] = Some(Proxy::start(&config, record));
        }
        for number in KILLED {
            if !wait_until_ready(addresses[number]) {
                return Verdict::CouldNotRun("a restarted proxy is not ready".into());
            }
            // A new process counts as told from its first moment; the time when it is ready is later.
            told_at[number] = Instant::now();
            is_open[number].store(true, Ordering::SeqCst);
            record.line(format!("n{number} is ready"));
        }
        end_drained(&backends, drained_at);
        std::thread::sleep(back_at.saturating_duration_since(Instant::now()));
        discovery.set_down(false);
    } else {
        end_drained(&backends, drained_at);
    }
    std::thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    let outcomes: Vec<Outcome> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    if proxies.iter_mut().flatten().any(Proxy::has_exited) {
        return Verdict::Broken("a proxy has exited".into());
    }
    judge(&outcomes, &work, &told_at, record)
}

/// Ends the processes of the draining backends, half a second apart, when they have drained.
fn end_drained(backends: &[crate::backend::Backend], drained_at: Instant) {
    let mut end_at = drained_at + DRAIN_TIME;
    for index in DRAINING {
        std::thread::sleep(end_at.saturating_duration_since(Instant::now()));
        backends[index].end();
        end_at += Duration::from_millis(500);
    }
}

fn run_client(
    client: usize,
    number: usize,
    proxy: SocketAddr,
    is_open: &[AtomicBool],
    is_over: &AtomicBool,
    record: &Record,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut connection: Option<Connection> = None;
    let mut next = Instant::now();
    while !is_over.load(Ordering::SeqCst) {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += INTERVAL;
        if !is_open[number].load(Ordering::SeqCst) {
            connection = None;
            continue;
        }
        let request = Request::new(CLASSES[(client / PROXIES + outcomes.len()) % CLASSES.len()]);
        let until = Instant::now() + request.class.time_left() + Duration::from_millis(550);
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
        let status = answer.map(|answer| answer.status());
        record.line(format!(
            "c{client} gets {status:?} for {} ({}) from n{number}",
            request.id,
            request.class.name()
        ));
        outcomes.push(Outcome {
            id: request.id,
            class: request.class,
            proxy: number,
            status,
        });
    }
    outcomes
}

fn judge(outcomes: &[Outcome], work: &Work, told_at: &[Instant; PROXIES], record: &Record) -> Verdict {
    let by_id: HashMap<&str, &Outcome> = outcomes.iter().map(|outcome| (&outcome.id[..], outcome)).collect();
    let draining = DRAINING.map(backend_name);
    let attempts = work.attempts();
    let late: Vec<_> = attempts
        .iter()
        .filter(|attempt| draining.contains(&attempt.backend))
        .filter_map(|attempt| Some((attempt, *by_id.get(&attempt.id[..])?)))
        .filter(|(attempt, outcome)| attempt.first_byte_at > told_at[outcome.proxy] + GRACE)
        .collect();
    let served = outcomes.iter().filter(|outcome| outcome.status == Some(200)).count();
    record.result(format!("{} requests, {served} answered with 200", outcomes.len()));
    for number in 0..PROXIES {
        let mine = late.iter().filter(|(_, outcome)| outcome.proxy == number);
        let delays = mine.map(|(attempt, _)| (attempt.first_byte_at - told_at[number]).as_millis());
        record.result(format!(
            "n{number}: {} attempts at draining backends over 550 ms after it was told, the last {} ms after",
            delays.clone().count(),
            delays.max().unwrap_or(0)
        ));
    }
    let lost = late.iter().filter(|(_, outcome)| outcome.status != Some(200));
    let lost_confirms = lost.clone().filter(|(_, outcome)| outcome.class == Class::LoadConfirm);
    record.result(format!(
        "of these requests {} were not served, {} of them load-confirm",
        lost.count(),
        lost_confirms.count()
    ));
    if served == 0 {
        return Verdict::CouldNotRun("nothing was served".into());
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "{} attempts were sent to draining backends too late",
            late.len()
        ))
    }
}
