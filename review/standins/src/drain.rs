//! What the cases on draining backends share: the traffic, and the check of the rule.

use crate::backend::{Backend, Work};
use crate::client::{closes, Class, Connection, Request, CLASSES};
use crate::deployment::backend_name;
use crate::record::Record;
use crate::Verdict;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The backends that drain: three of nine.
pub const DRAINING: [usize; 3] = [1, 4, 7];
const CLIENTS: usize = 36;
/// The time between two requests of a client.
const INTERVAL: Duration = Duration::from_millis(200);
/// `stop_sending_within_us`, and the 50 ms by which limits are longer on sockets.
const GRACE: Duration = Duration::from_millis(550);

/// A request of a client and its answer.
pub struct Outcome {
    id: String,
    class: Class,
    proxy: usize,
    status: Option<u16>,
}

/// Clients that send requests until the end of the case.
pub struct Traffic {
    /// Whether the front sends clients to a proxy.
    is_open: Arc<Vec<AtomicBool>>,
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<Outcome>>>,
}

impl Traffic {
    pub fn start(addresses: &[SocketAddr], record: &Record) -> Traffic {
        let is_open: Arc<Vec<AtomicBool>> = Arc::new(addresses.iter().map(|_| AtomicBool::new(true)).collect());
        let is_over = Arc::new(AtomicBool::new(false));
        let clients = (0..CLIENTS).map(|client| {
            let number = client % addresses.len();
            let turn = client / addresses.len();
            let (proxy, record) = (addresses[number], record.clone());
            let (is_open, is_over) = (is_open.clone(), is_over.clone());
            std::thread::spawn(move || {
                std::thread::sleep(INTERVAL * client as u32 / CLIENTS as u32);
                run_client(client, turn, number, proxy, &is_open, &is_over, &record)
            })
        });
        Traffic {
            clients: clients.collect(),
            is_open,
            is_over,
        }
    }

    pub fn set_open(&self, proxy: usize, is_open: bool) {
        self.is_open[proxy].store(is_open, Ordering::SeqCst);
    }

    pub fn end(self) -> Vec<Outcome> {
        self.is_over.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .flat_map(|client| client.join().unwrap())
            .collect()
    }
}

/// Ends the processes of the draining backends, half a second apart, from `end_at` on.
pub fn end_drained(backends: &[Backend], mut end_at: Instant) {
    for index in DRAINING {
        std::thread::sleep(end_at.saturating_duration_since(Instant::now()));
        backends[index].end();
        end_at += Duration::from_millis(500);
    }
}

fn run_client(
    client: usize,
    turn: usize,
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
        let request = Request::new(CLASSES[(turn + outcomes.len()) % CLASSES.len()]);
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

pub fn judge(outcomes: &[Outcome], work: &Work, told_at: &[Instant], record: &Record) -> Verdict {
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
    for number in 0..told_at.len() {
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
