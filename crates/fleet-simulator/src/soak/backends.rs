//! Stand-ins for the backends. Each backend listens on a separate address for each proxy, so that
//! it can record which proxy sent an attempt.

use super::http::{Message, MessageReader};
use super::plan::{BackendFault, Plan, PlannedBackendFault, PROXIES};
use super::records::{AttemptRecord, Recorder, RunClock};
use crate::failure::Failure;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The range of the time that a backend takes to serve a request, s.
const SERVICE_SECS: std::ops::Range<f64> = 0.002..0.06;
/// The range of the time after a response at which a backend with the fault `WritesAndCloses`
/// writes further bytes and closes the connection, s.
const IDLE_WRITE_SECS: std::ops::Range<f64> = 0.0..0.03;

/// A stand-in for one backend.
#[derive(Clone)]
pub struct Backend {
    number: usize,
    fault: Option<PlannedBackendFault>,
    clock: RunClock,
    recorder: Recorder,
    /// The number of its current process. A change ends the connections to the process before.
    process: watch::Sender<u32>,
}

impl Backend {
    /// Starts all backends of a plan. Returns their addresses by backend and proxy.
    pub async fn start_all(
        plan: &Plan,
        clock: RunClock,
        recorder: &Recorder,
    ) -> Result<Vec<[SocketAddr; PROXIES]>, Failure> {
        let mut all = Vec::new();
        for number in 0..plan.backends {
            let fault = plan.backend_faults.iter().find(|f| f.backend == number);
            let backend = Backend {
                number,
                fault: fault.copied(),
                clock,
                recorder: recorder.clone(),
                process: watch::Sender::new(0),
            };
            all.push(backend.start().await?);
        }
        Ok(all)
    }

    async fn start(self) -> Result<[SocketAddr; PROXIES], Failure> {
        const STEP: &str = "starting the listener of a backend";
        let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); PROXIES];
        for (proxy, address) in addresses.iter_mut().enumerate() {
            let listener = TcpListener::bind(*address)
                .await
                .map_err(Failure::in_step(STEP))?;
            *address = listener.local_addr().map_err(Failure::in_step(STEP))?;
            tokio::spawn(self.clone().run(listener, proxy, *address));
        }
        Ok(addresses)
    }

    /// Accepts connections, except while the backend's process is absent.
    async fn run(self, listener: TcpListener, proxy: usize, address: SocketAddr) {
        let Some((down_from, back_at)) = self.absence() else {
            return self.accept(listener, proxy).await;
        };
        tokio::select! {
            () = self.accept(listener, proxy) => {}
            () = self.clock.sleep_until(down_from) => {}
        }
        self.process.send_modify(|process| *process += 1);
        let Some(back_at) = back_at else { return };
        self.clock.sleep_until(back_at).await;
        if let Ok(listener) = TcpListener::bind(address).await {
            self.accept(listener, proxy).await;
        }
    }

    /// When its process ends, and when a new process starts, if one does; `None` if the process
    /// runs all the time. In seconds since the start of the run.
    fn absence(&self) -> Option<(f64, Option<f64>)> {
        let PlannedBackendFault { fault, span, .. } = self.fault?;
        match fault {
            BackendFault::Drains => Some((span.to, None)),
            BackendFault::Vanishes => Some((span.from, Some(span.to))),
            _ => None,
        }
    }

    async fn accept(&self, listener: TcpListener, proxy: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let backend = self.clone();
            let mut process = self.process.subscribe();
            process.mark_unchanged();
            tokio::spawn(async move {
                tokio::select! {
                    () = backend.serve(stream, proxy) => {}
                    // The stream is dropped, which closes the connection.
                    _ = process.changed() => {}
                }
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream, proxy: usize) {
        let mut reader = MessageReader::default();
        while reader.wait_for_first_byte(&mut stream).await.is_ok() {
            let first_byte_at = self.clock.now();
            let Ok(message) = reader.read(&mut stream).await else {
                return;
            };
            let is_rejected = self.is_rejecting();
            self.record(&message, proxy, first_byte_at, is_rejected);
            if is_rejected {
                let rejection = "HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(rejection.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let mut random = self.random_for(&message);
            let service = random.random_range(SERVICE_SECS);
            tokio::time::sleep(Duration::from_secs_f64(service)).await;
            if !self.respond(&mut stream, &message, &mut random).await {
                return;
            }
        }
    }

    /// The random numbers for a request. They depend on the backend and the correlation id only, so
    /// they are the same in each run of a seed, whatever the order in which requests arrive.
    fn random_for(&self, message: &Message) -> Pcg64Mcg {
        let mut hasher = DefaultHasher::new();
        self.number.hash(&mut hasher);
        message.header("x-correlation-id").hash(&mut hasher);
        Pcg64Mcg::seed_from_u64(hasher.finish())
    }

    /// Whether a request is rejected now, because the backend is draining and has stopped accepting
    /// requests.
    fn is_rejecting(&self) -> bool {
        self.fault.is_some_and(|planned| {
            let rejects_from = planned.span.from + planned.accepts_secs;
            planned.fault == BackendFault::Drains && self.clock.now() >= rejects_from
        })
    }

    fn active_fault(&self) -> Option<BackendFault> {
        let planned = self.fault?;
        let is_active = planned.span.contains(self.clock.now());
        is_active.then_some(planned.fault)
    }

    /// Writes the response as far as the active fault allows. Returns whether the connection can be
    /// used for another request.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        message: &Message,
        random: &mut Pcg64Mcg,
    ) -> bool {
        let id = message.header("x-correlation-id").unwrap_or_default();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", id.len());
        match self.active_fault() {
            Some(BackendFault::Hangs) => {
                let end = self.fault.map_or(0.0, |planned| planned.span.to);
                self.clock.sleep_until(end).await;
                let _ = stream.set_zero_linger();
                false
            }
            Some(BackendFault::ResetsResponses) => {
                let half = head + &id[..id.len() / 2];
                let _ = stream.write_all(half.as_bytes()).await;
                let _ = stream.set_zero_linger();
                false
            }
            Some(BackendFault::WritesAndCloses) => {
                let _ = stream.write_all((head + id).as_bytes()).await;
                let pause = Duration::from_secs_f64(random.random_range(IDLE_WRITE_SECS));
                tokio::time::sleep(pause).await;
                let _ = stream.write_all(b"HTTP/1.1 40").await;
                false
            }
            Some(BackendFault::Drains | BackendFault::Vanishes) | None => {
                stream.write_all((head + id).as_bytes()).await.is_ok()
            }
        }
    }

    fn record(&self, message: &Message, proxy: usize, first_byte_at: f64, is_rejected: bool) {
        let id = message.header("x-correlation-id").unwrap_or_default();
        self.recorder.lock().attempts.push(AttemptRecord {
            id: id.to_string(),
            proxy,
            backend: self.number,
            first_byte_at,
            received_at: self.clock.now(),
            is_rejected,
        });
    }
}
