//! Stand-ins for the backends. Each backend listens on a separate address for each proxy, so that
//! it can record which proxy sent an attempt.

use super::http::{Message, MessageReader};
use super::plan::{BackendFault, Plan, PlannedBackendFault, PlannedResponseFault, PROXIES};
use super::records::{AttemptRecord, Recorder, RunClock};
use super::responses::{
    respond_as_asked, response, send_faulty, wait_for_end, SharedOutput, REJECTION,
};
use crate::failure::Failure;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;
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
    response_fault: Option<PlannedResponseFault>,
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
                response_fault: plan.response_fault,
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

    async fn serve(&self, stream: TcpStream, proxy: usize) {
        let (mut input, output) = stream.into_split();
        let output = SharedOutput::new(output);
        let mut reader = MessageReader::default();
        while reader.wait_for_first_byte(&mut input).await.is_ok() {
            let first_byte_at = self.clock.now();
            let Ok(message) = reader.read(&mut input).await else {
                return;
            };
            let is_rejected = self.is_rejecting();
            let attempt = self.record(&message, proxy, first_byte_at, is_rejected);
            let stays_open = tokio::select! {
                stays_open = self.handle(&output, &message, is_rejected) => Some(stays_open),
                () = wait_for_end(&input) => None,
            };
            let fault = self.active_fault();
            let record = &mut self.recorder.lock().attempts[attempt];
            record.ended_at = Some(self.clock.now());
            let is_cut_off = matches!(
                fault,
                Some(BackendFault::Hangs | BackendFault::ResetsResponses)
            );
            record.is_answered |= stays_open.is_some() && !is_cut_off;
            let stays_open = stays_open.unwrap_or(false);
            if !stays_open {
                return;
            }
        }
    }

    /// Serves or rejects a request. Returns whether the connection can be used for another one.
    async fn handle(&self, output: &SharedOutput, message: &Message, is_rejected: bool) -> bool {
        if is_rejected {
            return output.write(REJECTION).await;
        }
        let mut random = self.random_for(message);
        let service = Duration::from_secs_f64(random.random_range(SERVICE_SECS));
        tokio::time::sleep(service).await;
        let id = message.header("x-correlation-id").unwrap_or_default();
        match (self.active_fault(), self.active_response_fault()) {
            (Some(fault), _) => {
                self.respond_with_fault(fault, output, id, &mut random)
                    .await
            }
            (None, Some(planned)) => send_faulty(planned, output, id, service).await,
            (None, None) => respond_as_asked(output, message, id).await,
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

    fn active_response_fault(&self) -> Option<PlannedResponseFault> {
        let planned = self.response_fault?;
        let is_affected = planned.only_backend.is_none_or(|only| only == self.number);
        (is_affected && planned.span.contains(self.clock.now())).then_some(planned)
    }

    /// Writes the response as far as the fault of the backend allows. Returns whether the
    /// connection can be used for another request.
    async fn respond_with_fault(
        &self,
        fault: BackendFault,
        output: &SharedOutput,
        id: &str,
        random: &mut Pcg64Mcg,
    ) -> bool {
        let whole = response(id);
        match fault {
            BackendFault::Hangs => {
                let end = self.fault.map_or(0.0, |planned| planned.span.to);
                self.clock.sleep_until(end).await;
                output.reset_at_end().await;
                false
            }
            BackendFault::ResetsResponses => {
                output.write(&whole[..whole.len() - id.len() / 2]).await;
                output.reset_at_end().await;
                false
            }
            BackendFault::WritesAndCloses => {
                output.write(&whole).await;
                self.mark_answered(id);
                let pause = Duration::from_secs_f64(random.random_range(IDLE_WRITE_SECS));
                tokio::time::sleep(pause).await;
                output.write("HTTP/1.1 40").await;
                false
            }
            BackendFault::Drains | BackendFault::Vanishes => output.write(&whole).await,
        }
    }

    /// Records that the whole response to the latest attempt of a request is written. The proxy may
    /// end the connection before the backend has done the rest that its fault asks for.
    fn mark_answered(&self, id: &str) {
        let attempts = &mut self.recorder.lock().attempts;
        let mut latest = attempts.iter_mut().rev();
        if let Some(attempt) = latest.find(|a| a.id == id && a.backend == self.number) {
            attempt.is_answered = true;
        }
    }

    /// Records an attempt and returns its index in the records.
    fn record(
        &self,
        message: &Message,
        proxy: usize,
        first_byte_at: f64,
        is_rejected: bool,
    ) -> usize {
        let id = message.header("x-correlation-id").unwrap_or_default();
        let attempts = &mut self.recorder.lock().attempts;
        attempts.push(AttemptRecord {
            id: id.to_string(),
            proxy,
            backend: self.number,
            first_byte_at,
            received_at: self.clock.now(),
            is_rejected,
            ended_at: None,
            is_answered: false,
        });
        attempts.len() - 1
    }
}
