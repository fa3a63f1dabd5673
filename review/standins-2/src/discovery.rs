//! A sound discovery service: it answers the call for the whole list at once, and a watch when the
//! list has changed or the wait is over.

use crate::http::{read_message, response};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest wait of a watch, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    /// The name of the backend.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'static str,
    /// The number of its group.
    pub group: u32,
    /// `ready` or `draining`.
    pub status: &'static str,
}

impl Entry {
    /// A backend that has been ready for long, in zone `a` and group 1.
    pub fn ready(name: &str, address: SocketAddr) -> Entry {
        Entry {
            name: name.to_string(),
            address,
            zone: "a",
            group: 1,
            status: "ready",
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"m1\",\"group\":{},\
             \"status\":\"{}\",\"weight\":1.0,\"since_ms\":0}}",
            self.name, self.address, self.zone, self.group, self.status
        )
    }
}

/// The JSON of a whole list.
pub fn whole_list(index: u64, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(
        "{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{}]}}",
        entries.join(",")
    )
}

struct State {
    index: u64,
    entries: Vec<Entry>,
}

/// The list, shared with the threads that answer calls.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// How long it works on each call, in milliseconds.
    work_ms: Arc<AtomicU64>,
}

impl Discovery {
    /// Starts a service on a free port of the loopback address.
    pub fn start(entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let discovery = Discovery {
            address: listener.local_addr().expect("its address"),
            state: Arc::new((Mutex::new(State { index: 1, entries }), Condvar::new())),
            work_ms: Arc::default(),
        };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    /// Makes it work on each call for this long after the wait of the call is over.
    pub fn slow_down(&self, work: Duration) {
        self.work_ms
            .store(work.as_millis() as u64, Ordering::SeqCst);
    }

    /// Replaces the list.
    pub fn set(&self, entries: Vec<Entry>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the list is not poisoned");
        state.index += 1;
        state.entries = entries;
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(call)) = read_message(&mut reader) {
            let body = self.answer(call.second_word());
            if stream
                .write_all(&response("200 OK", body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> String {
        let after = parameter(path, "after");
        let wait = parameter(path, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        self.wait_for_change(after, Duration::from_millis(wait));
        thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::SeqCst)));
        let state = self.state.0.lock().expect("the list is not poisoned");
        if after == Some(state.index) {
            let index = state.index;
            return format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[]}}");
        }
        whole_list(state.index, &state.entries)
    }

    /// Waits until the list is newer than `after`, or the wait is over.
    fn wait_for_change(&self, after: Option<u64>, wait: Duration) {
        let ends_at = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the list is not poisoned");
        while after == Some(state.index) {
            let left = ends_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = changed.wait_timeout(state, left);
            state = waited.expect("the list is not poisoned").0;
        }
    }
}

fn parameter(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
