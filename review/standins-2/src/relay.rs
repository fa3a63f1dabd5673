//! The path between a proxy and discovery. It carries each call and its answer. Once it is armed, it
//! carries a part of the next answer that discovery has written, then resets the connection, and
//! from then on resets every connection: discovery is out of reach.

use crate::http::{read_message, response, Message};
use crate::record::Record;
use crate::socket;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// The time for which the carried part of the cut answer may arrive before the reset.
const TIME_TO_RESET: Duration = Duration::from_millis(20);

/// The path, shared with its threads.
#[derive(Clone)]
pub struct Relay {
    /// Where the proxy calls discovery.
    pub address: SocketAddr,
    discovery: SocketAddr,
    is_armed: Arc<AtomicBool>,
    /// When discovery had written the answer that was cut.
    cut_at: Arc<OnceLock<Instant>>,
    record: Record,
}

impl Relay {
    /// Starts a path to discovery on a free port of the loopback address.
    pub fn start(discovery: SocketAddr, record: &Record) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let relay = Relay {
            address: listener.local_addr().expect("its address"),
            discovery,
            is_armed: Arc::default(),
            cut_at: Arc::default(),
            record: record.clone(),
        };
        let started = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relay = started.clone();
                thread::spawn(move || relay.carry(stream));
            }
        });
        relay
    }

    /// Makes the next answer the last one, of which only a part arrives.
    pub fn arm(&self) {
        self.is_armed.store(true, Ordering::SeqCst);
    }

    /// When discovery had written the answer that was cut; `None` if none was.
    pub fn cut_at(&self) -> Option<Instant> {
        self.cut_at.get().copied()
    }

    fn carry(&self, mut stream: TcpStream) {
        if self.cut_at().is_some() {
            socket::reset(stream);
            return;
        }
        let Some(answer) = self.call_discovery(&stream) else {
            return;
        };
        let bytes = response("200 OK", &answer.body);
        if self.is_armed.load(Ordering::SeqCst) && self.cut_at.set(Instant::now()).is_ok() {
            let list = String::from_utf8_lossy(&answer.body);
            self.record
                .write(&format!("discovery has written, half arrives: {list}"));
            let _ = stream.write_all(&bytes[..bytes.len() / 2]);
            thread::sleep(TIME_TO_RESET);
            socket::reset(stream);
            return;
        }
        let _ = stream.write_all(&bytes);
    }

    /// Passes on a call, and returns the answer that discovery has written whole.
    fn call_discovery(&self, stream: &TcpStream) -> Option<Message> {
        let call = read_message(&mut BufReader::new(stream)).ok()??;
        let mut upstream = TcpStream::connect(self.discovery).ok()?;
        let call = format!("{}\r\nHost: discovery\r\n\r\n", call.start_line);
        upstream.write_all(call.as_bytes()).ok()?;
        read_message(&mut BufReader::new(upstream)).ok()?
    }
}
