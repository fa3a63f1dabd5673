//! A stand-in for discovery: the whole list, and watches on its changes.

use crate::http::read_message;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub machine: &'static str,
    pub group: u32,
    pub status: &'static str,
    /// The version with which the entry changed last.
    version: u64,
}

impl Entry {
    pub fn ready(name: String, address: SocketAddr, zone: &'static str, machine: &'static str, group: u32) -> Entry {
        Entry {
            name,
            address,
            zone,
            machine,
            group,
            status: "ready",
            version: 1,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"{}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.zone, self.machine, self.group, self.status
        )
    }
}

struct State {
    version: u64,
    entries: Vec<Entry>,
    /// While discovery is down it is silent: calls that meet it then are never answered.
    is_down: bool,
}

impl State {
    fn json(&self, after: Option<u64>) -> String {
        let is_wanted = |entry: &&Entry| match after {
            Some(after) => entry.version > after,
            None => entry.status != "gone",
        };
        let entries: Vec<String> = self.entries.iter().filter(is_wanted).map(Entry::json).collect();
        format!(
            r#"{{"index":{},"snapshot":{},"endpoints":[{}]}}"#,
            self.version,
            after.is_none(),
            entries.join(",")
        )
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                version: 1,
                entries,
                is_down: false,
            }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let discovery = Discovery {
            address,
            shared: shared.clone(),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        discovery
    }

    /// The whole list, as a configuration holds it under `known`.
    pub fn list(&self) -> String {
        self.shared.state.lock().unwrap().json(None)
    }

    pub fn set_status(&self, name: &str, status: &'static str) {
        let mut state = self.shared.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let mut entries = state.entries.iter_mut();
        let entry = entries.find(|entry| entry.name == name).unwrap();
        entry.status = status;
        entry.version = version;
        self.shared
            .record
            .line(format!("discovery has version {version}: {name} is {status}"));
        self.shared.changed.notify_all();
    }

    pub fn set_down(&self, is_down: bool) {
        self.shared.state.lock().unwrap().is_down = is_down;
        self.shared.record.line(if is_down {
            "discovery goes down"
        } else {
            "discovery is back"
        });
        self.shared.changed.notify_all();
    }
}

fn query_number(target: &str, name: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name)?.1.parse().ok()
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Ok(Some(request)) = read_message(&mut reader) {
        let target = request.target().to_string();
        let Some(body) = answer(&target, shared) else {
            // The call has fallen silent. Its connection stays open until the proxy closes it.
            let _ = std::io::copy(&mut reader, &mut std::io::sink());
            return;
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// The body of the answer to a call, `None` if the call meets discovery while it is down.
fn answer(target: &str, shared: &Shared) -> Option<String> {
    let after = query_number(target, "after");
    let wait = Duration::from_millis(query_number(target, "wait_ms").unwrap_or(0));
    let until = Instant::now() + wait;
    let mut state = shared.state.lock().unwrap();
    loop {
        if state.is_down {
            return None;
        }
        let left = until.saturating_duration_since(Instant::now());
        let is_due = after.is_none_or(|after| state.version > after) || left.is_zero();
        if is_due {
            let after = after.filter(|after| *after <= state.version);
            return Some(state.json(after));
        }
        state = shared.changed.wait_timeout(state, left).unwrap().0;
    }
}
