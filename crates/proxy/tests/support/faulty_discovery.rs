//! A discovery service that keeps all versions of an endpoint list and answers calls as the
//! protocol says, until the test makes it fail.

use super::fake_discovery::list_body;
use super::http_message::{parameter, read_http_message};
use super::wait::TEST_TIMEOUT;
use serde_json::Value;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// How long a call waits in the queue of a service that answers none.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a call is silent before its connection is reset.
const SILENCE: Duration = Duration::from_secs(5);

/// How long a call is silent before an old answer is sent again.
const REPEAT_DELAY: Duration = Duration::from_millis(1500);

/// How late a slow answer is.
const SLOWNESS: Duration = Duration::from_millis(300);

/// How many connections wait to be accepted at most.
const BACKLOG: i32 = 8;

/// The backlog is full when a connection is not established within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// The pause between two bytes of an answer that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(250);

/// What the service does with calls. A change of the behavior also ends the calls that wait for a
/// change of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryBehavior {
    /// Answers.
    Answers,
    /// Ends all watches, lets each later call wait, and then answers it with status 503.
    TimesOutInQueue,
    /// Resets all watches, lets each later call wait, and then resets its connection.
    ResetsFromQueue,
    /// Leaves all calls open without an answer.
    FallsSilent,
    /// Leaves all calls open without an answer, and resets each of them after 5 s.
    FallsSilentAndResets,
    /// Leaves all calls open without an answer of their own, and sends the last answer on the
    /// connection again after 1.5 s.
    RepeatsOldAnswers,
    /// Writes an old answer, which tells no change, and right behind it the answer to the call.
    PutsOldAnswersFirst,
    /// Answers each call with status 503 at once.
    Rejects,
    /// Closes the connection without an answer.
    Closes,
    /// Leaves the calls open that it has, without an answer, and answers new ones.
    LosesOpenCalls,
    /// Leaves all calls open without an answer, and accepts no connection.
    AcceptsNothing,
    /// Answers each call 0.3 s late.
    AnswersSlowly,
    /// Writes the first half of the answer and closes the connection.
    CutsAnswers,
    /// Writes the first half of the answer and keeps the connection open.
    StallsInAnswers,
    /// Writes the first half of the answer, and then one byte after the other.
    DripsAnswers,
}

impl DiscoveryBehavior {
    /// Whether a watch is held open until the list changes or its wait is over.
    fn holds_watches(self) -> bool {
        matches!(
            self,
            DiscoveryBehavior::Answers
                | DiscoveryBehavior::LosesOpenCalls
                | DiscoveryBehavior::AnswersSlowly
        )
    }
}

struct State {
    behavior: DiscoveryBehavior,
    /// The entries that each version after 0 changed.
    changes: Vec<Vec<Value>>,
    /// Calls that wait for a change of the list.
    waiting_calls: usize,
    /// How many complete answers were written.
    answers_written: usize,
    calls: usize,
    open_connections: usize,
    /// The largest number of connections that were open at the same time.
    max_open_connections: usize,
}

/// A discovery service on a free port of the loopback interface. Its clones share the state.
#[derive(Clone)]
pub struct FaultyDiscovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl FaultyDiscovery {
    /// Starts a service whose list has version 0, which the configuration of the proxy contains.
    pub fn start() -> FaultyDiscovery {
        let listener = listen();
        let state = State {
            behavior: DiscoveryBehavior::Answers,
            changes: Vec::new(),
            waiting_calls: 0,
            answers_written: 0,
            calls: 0,
            open_connections: 0,
            max_open_connections: 0,
        };
        let discovery = FaultyDiscovery {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let acceptor = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                acceptor.wait_while_nothing_is_accepted();
                let discovery = acceptor.clone();
                std::thread::spawn(move || {
                    discovery.count_connection();
                    discovery.serve_connection(stream);
                    discovery.state.0.lock().unwrap().open_connections -= 1;
                });
            }
        });
        discovery
    }

    fn wait_while_nothing_is_accepted(&self) {
        let (state, changed) = &*self.state;
        let accepts_nothing =
            |state: &mut State| state.behavior == DiscoveryBehavior::AcceptsNothing;
        drop(changed.wait_while(state.lock().unwrap(), accepts_nothing));
    }

    fn count_connection(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.open_connections += 1;
        state.max_open_connections = state.max_open_connections.max(state.open_connections);
    }

    /// Fills the backlog of a service that accepts nothing, so that no connection to it comes up
    /// while the returned ones are open.
    pub fn fill_backlog(&self) -> Vec<TcpStream> {
        std::iter::from_fn(|| TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT).ok())
            .collect()
    }

    /// How many calls were received.
    pub fn calls(&self) -> usize {
        self.state.0.lock().unwrap().calls
    }

    /// The largest number of connections that were open at the same time.
    pub fn max_open_connections(&self) -> usize {
        self.state.0.lock().unwrap().max_open_connections
    }

    /// Changes the behavior and publishes changed entries, both at the same moment. Without entries
    /// the list stays as it is.
    pub fn change(&self, behavior: DiscoveryBehavior, entries: &[Value]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.behavior = behavior;
        if !entries.is_empty() {
            state.changes.push(entries.to_vec());
        }
        changed.notify_all();
    }

    /// Whether a call waits for a change of the list.
    pub fn is_watched(&self) -> bool {
        self.state.0.lock().unwrap().waiting_calls > 0
    }

    /// How many complete answers were written.
    pub fn answers_written(&self) -> usize {
        self.state.0.lock().unwrap().answers_written
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut last_answer: Option<String> = None;
        while let Some(call) = read_http_message(&mut reader) {
            let after = parameter(&call.start_line, "after");
            let wait_ms = parameter(&call.start_line, "wait_ms").unwrap_or(0);
            self.state.0.lock().unwrap().calls += 1;
            let was_answering = self.behavior() == DiscoveryBehavior::Answers;
            let answer = self.wait_for_change(after, Duration::from_millis(wait_ms));
            match self.behavior() {
                DiscoveryBehavior::TimesOutInQueue | DiscoveryBehavior::ResetsFromQueue
                    if !was_answering =>
                {
                    std::thread::sleep(QUEUE_TIMEOUT);
                }
                DiscoveryBehavior::RepeatsOldAnswers => {
                    std::thread::sleep(REPEAT_DELAY);
                    if let Some(answer) = &last_answer {
                        write_complete(&mut stream, answer);
                        continue;
                    }
                    std::thread::sleep(TEST_TIMEOUT);
                }
                DiscoveryBehavior::FallsSilent | DiscoveryBehavior::AcceptsNothing => {
                    std::thread::sleep(TEST_TIMEOUT);
                }
                DiscoveryBehavior::LosesOpenCalls if was_answering => {
                    std::thread::sleep(TEST_TIMEOUT);
                }
                DiscoveryBehavior::AnswersSlowly => std::thread::sleep(SLOWNESS),
                DiscoveryBehavior::FallsSilentAndResets => std::thread::sleep(SILENCE),
                _ => {}
            }
            if !self.write_answer(&mut stream, after, &answer) {
                if !self.resets() {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                return;
            }
            last_answer = Some(answer);
        }
    }

    /// Waits until the list is newer than version `after`, the behavior changes or the wait is
    /// over; returns the answer.
    fn wait_for_change(&self, after: Option<u64>, wait: Duration) -> String {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.waiting_calls += 1;
        let has_no_answer = |state: &mut State| {
            let is_current = after == Some(state.changes.len() as u64);
            is_current && state.behavior.holds_watches()
        };
        let (mut state, _) = changed
            .wait_timeout_while(state, wait, has_no_answer)
            .unwrap();
        state.waiting_calls -= 1;
        let first = after.unwrap_or(0) as usize;
        let entries: Vec<Value> = state.changes[first..].concat();
        list_body(state.changes.len() as u64, false, &entries)
    }

    /// Whether the connection of a failed call is reset.
    fn resets(&self) -> bool {
        matches!(
            self.behavior(),
            DiscoveryBehavior::ResetsFromQueue | DiscoveryBehavior::FallsSilentAndResets
        )
    }

    fn behavior(&self) -> DiscoveryBehavior {
        self.state.0.lock().unwrap().behavior
    }

    /// Answers a call for the changes after a version; returns whether the connection stays open.
    fn write_answer(&self, stream: &mut TcpStream, after: Option<u64>, body: &str) -> bool {
        let answer = complete_answer(body);
        let (half, rest) = answer.as_bytes().split_at(answer.len() - body.len() / 2);
        let rejection = b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
        match self.behavior() {
            DiscoveryBehavior::Answers
            | DiscoveryBehavior::LosesOpenCalls
            | DiscoveryBehavior::AnswersSlowly => {
                self.state.0.lock().unwrap().answers_written += 1;
                write_complete(stream, body)
            }
            DiscoveryBehavior::PutsOldAnswersFirst => {
                let old_answer = complete_answer(&list_body(after.unwrap_or(0), false, &[]));
                stream.write_all((old_answer + &answer).as_bytes()).is_ok()
            }
            DiscoveryBehavior::TimesOutInQueue | DiscoveryBehavior::Rejects => {
                stream.write_all(rejection).is_ok()
            }
            DiscoveryBehavior::ResetsFromQueue | DiscoveryBehavior::FallsSilentAndResets => {
                // With this option a close resets the connection.
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                false
            }
            DiscoveryBehavior::Closes
            | DiscoveryBehavior::FallsSilent
            | DiscoveryBehavior::AcceptsNothing
            | DiscoveryBehavior::RepeatsOldAnswers => false,
            DiscoveryBehavior::CutsAnswers => {
                let _ = stream.write_all(half);
                false
            }
            DiscoveryBehavior::StallsInAnswers => {
                let _ = stream.write_all(half);
                std::thread::sleep(TEST_TIMEOUT);
                false
            }
            DiscoveryBehavior::DripsAnswers => {
                let _ = stream.write_all(half);
                drip(stream, rest)
            }
        }
    }
}

/// A listener on a free port with a short backlog.
fn listen() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).unwrap();
    socket.listen(BACKLOG).unwrap();
    socket.into()
}

fn complete_answer(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Writes one byte after the other; returns whether the connection is still open.
fn drip(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| {
        std::thread::sleep(DRIP_INTERVAL);
        stream.write_all(&[*byte]).is_ok()
    })
}

/// Writes a complete answer; returns whether the connection is still open.
fn write_complete(stream: &mut TcpStream, body: &str) -> bool {
    stream.write_all(complete_answer(body).as_bytes()).is_ok()
}
