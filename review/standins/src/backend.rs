//! A stand-in for a backend: it runs each request for a while and answers with a body of its own.

use crate::http::{read_message, Message};
use crate::record::Record;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One attempt that a backend got.
#[derive(Clone)]
pub struct Attempt {
    pub id: String,
    pub backend: String,
    /// When its first byte came.
    pub first_byte_at: Instant,
    /// The number of the request on its connection, from 1.
    pub number: u64,
}

/// What all backends got, and the bodies that they made.
#[derive(Clone, Default)]
pub struct Work {
    attempts: Arc<Mutex<Vec<Attempt>>>,
    bodies: Arc<Mutex<HashMap<String, Vec<Vec<u8>>>>>,
}

impl Work {
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap().clone()
    }

    /// Whether a backend made exactly this body for the request.
    pub fn has_made(&self, id: &str, body: &[u8]) -> bool {
        let bodies = self.bodies.lock().unwrap();
        bodies.get(id).is_some_and(|made| made.iter().any(|one| one == body))
    }
}

/// Returns the bytes of the answer to a request: `body` is the one that the backend made for it.
pub type Responder = Arc<dyn Fn(&Attempt, &[u8]) -> Response + Send + Sync>;

pub struct Response {
    pub bytes: Vec<u8>,
    /// Whether the connection is of no further use afterwards. It stays open.
    pub ends_use: bool,
}

/// The answer of a sound backend.
pub fn sound_response(body: &[u8]) -> Response {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    Response { bytes, ends_use: false }
}

#[derive(Clone)]
pub struct Backend {
    pub address: SocketAddr,
    name: String,
    work: Work,
    record: Record,
    respond: Responder,
    /// The open connections; `None` once the backend has ended.
    connections: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Backend {
    /// Starts a backend, whose requests take as long as their class needs.
    pub fn start(name: &str, work: &Work, record: &Record, respond: Responder) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Backend {
            address: listener.local_addr().unwrap(),
            name: name.into(),
            work: work.clone(),
            record: record.clone(),
            respond,
            connections: Arc::new(Mutex::new(Some(Vec::new()))),
        };
        let started = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let backend = backend.clone();
                let copy = stream.try_clone().unwrap();
                match backend.connections.lock().unwrap().as_mut() {
                    Some(connections) => connections.push(copy),
                    None => return,
                }
                std::thread::spawn(move || backend.serve(stream));
            }
        });
        started
    }

    /// Ends the backend: its connections break, and new ones are refused.
    pub fn end(&self) {
        let connections = self.connections.lock().unwrap().take();
        for connection in connections.into_iter().flatten() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address); // wakes the thread that accepts
        self.record.line(format!("{} ends", self.name));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut number = 0;
        while let Ok(Some(request)) = read_message(&mut reader) {
            number += 1;
            let Some(response) = self.run(&request, number) else {
                let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            };
            if stream.write_all(&response.bytes).is_err() {
                return;
            }
            if response.ends_use {
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
        }
    }

    fn run(&self, request: &Message, number: u64) -> Option<Response> {
        let attempt = Attempt {
            id: request.header("X-Correlation-Id")?.to_string(),
            backend: self.name.clone(),
            first_byte_at: request.first_byte_at,
            number,
        };
        self.work.attempts.lock().unwrap().push(attempt.clone());
        let class = request.target().split('/').nth(1).unwrap_or("").to_string();
        self.record.line_at(
            attempt.first_byte_at,
            format!(
                "{} gets {} ({class}), request {number} of its connection",
                self.name, attempt.id
            ),
        );
        std::thread::sleep(work_time(&class));
        let body = format!("answer of {} to {}: {}", self.name, attempt.id, "0123456789".repeat(8)).into_bytes();
        let mut bodies = self.work.bodies.lock().unwrap();
        bodies.entry(attempt.id.clone()).or_default().push(body.clone());
        drop(bodies);
        let response = (self.respond)(&attempt, &body);
        self.record.line(format!("{} has run {}", self.name, attempt.id));
        Some(response)
    }
}

fn work_time(class: &str) -> Duration {
    Duration::from_millis(match class {
        "manifest-read" => 79,
        "slot-hold" => 100,
        _ => 120,
    })
}
