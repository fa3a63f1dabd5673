//! Case 6: a backend announces a body of no bytes, and its body comes a moment later.

use review_standins_2::backend::{self, Answer};
use review_standins_2::client::{confirm_request, read_request, Connection};
use review_standins_2::discovery::{Discovery, Entry};
use review_standins_2::http::Message;
use review_standins_2::proxy::Proxy;
use review_standins_2::record::{has_trouble, Record, BROKEN, HELD};
use std::io::Write;
use std::net::TcpStream;
use std::process::exit;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const REQUESTS: u32 = 100;
const TIME_LEFT_MS: u64 = 2_000;
/// One of so many requests gets a spoilt answer.
const SPOILT_EVERY: u32 = 10;
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// The time between the two pieces in which every answer comes.
const TIME_BETWEEN_PIECES: Duration = Duration::from_millis(5);
/// The time between two requests.
const PAUSE: Duration = Duration::from_millis(20);

fn main() {
    let record = Record::create();
    let answer = answer(&record);
    let entries: Vec<Entry> = (0..4)
        .map(|number| Entry::ready(&format!("s-{number}"), backend::start(answer.clone())))
        .collect();
    let discovery = Discovery::start(entries.clone());
    let proxy = Proxy::start(&discovery, &entries);
    let wrong = (0..REQUESTS)
        .filter(|number| !gets_own_answer(&record, &proxy, *number))
        .count();
    record.announce(&format!(
        "{wrong} of {REQUESTS} requests served with a wrong body"
    ));
    drop(proxy);
    exit(if wrong > 0 { BROKEN } else { HELD });
}

/// The body that backends make for a request.
fn body_of(id: &str) -> String {
    format!("confirmation of {id}\n").repeat(20)
}

/// Answers in two pieces, the head and the body. Spoilt answers announce no body.
fn answer(record: &Record) -> Arc<Answer> {
    let record = record.clone();
    Arc::new(move |request: &Message, stream: &mut TcpStream| {
        let id = request.field("x-correlation-id");
        let body = body_of(id);
        let is_spoilt = has_trouble() && is_chosen(id);
        let length = if is_spoilt { 0 } else { body.len() };
        record.write(&format!("backend runs {id}, announces {length} bytes"));
        sleep(SERVICE_TIME);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        sleep(TIME_BETWEEN_PIECES);
        stream.write_all(body.as_bytes())
    })
}

fn is_chosen(id: &str) -> bool {
    u32::from_str_radix(id, 16).is_ok_and(|number| number % SPOILT_EVERY == 0)
}

/// Sends a request. Whether the client got the body that the backend made for it, or an answer that
/// is no success, or none that is whole.
fn gets_own_answer(record: &Record, proxy: &Proxy, number: u32) -> bool {
    let id = format!("{number:016x}");
    let request = if number % 2 == 0 {
        confirm_request(&id, TIME_LEFT_MS, b"booking")
    } else {
        read_request(&id, TIME_LEFT_MS)
    };
    let mut connection = Connection::open(proxy.address).expect("the proxy accepts");
    connection.send(&request).expect("the request is written");
    let is_right = match connection.read_response() {
        Ok(Some(response)) => {
            let length = response.body.len();
            record.write(&format!("{id}: {}, {length} bytes", response.start_line));
            response.second_word() != "200" || response.body == body_of(&id).as_bytes()
        }
        other => {
            record.write(&format!("{id}: no whole answer: {other:?}"));
            true
        }
    };
    if !is_right {
        record.announce(&format!(
            "{id}: served with a body that no backend made for it"
        ));
    }
    sleep(PAUSE);
    is_right
}
