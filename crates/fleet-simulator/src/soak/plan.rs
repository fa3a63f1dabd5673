//! The plan of a run: the parameters, faults and signals that are drawn from its seed.

mod limits;

pub use limits::{CrowdKind, Limits, PlannedCrowd};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::ops::Range;

/// The number of proxies in a run.
pub const PROXIES: usize = 2;
/// The time from the start of a run during which clients send requests, s.
pub const RUN_SECS: f64 = 11.0;
/// The range of the time after which a second response comes, s. A proxy must not take it for
/// another response.
const SECOND_RESPONSE_LAG_SECS: Range<f64> = 0.001..0.06;
/// The limit on the file descriptors of a proxy, in runs where idle connections exhaust them.
const MAX_DESCRIPTORS_IN_EXHAUSTION: usize = 128;
/// The earliest time at which a fault or a restart begins, s.
const FIRST_FAULT_SECS: f64 = 1.5;

/// How a proxy gets its endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ListSource {
    /// An agent beside the proxy pushes changes to it.
    Push,
    /// The proxy polls a central discovery service.
    Poll,
}

/// A temporary fault of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum DiscoveryFault {
    /// It resets all connections: those that are open at the start of the fault, and new ones.
    Down,
    /// It accepts calls but does not answer them until the fault ends.
    Stalled,
    /// It never answers the calls that it has at the start of the fault or gets during it, and
    /// leaves their connections open.
    Silent,
    /// It answers calls late, and answers those that waited for too long with status 503.
    Overloaded,
    /// It resets the connection on each call.
    Resetting,
}

/// A temporary fault or a shutdown of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum BackendFault {
    /// Discovery lists it as draining. It goes on accepting requests for a while, then rejects
    /// them, and ends at the end of the span.
    Drains,
    /// Its process ends without notice, and discovery lists it as gone only after a delay. A new
    /// process starts at the end of the span.
    Vanishes,
    /// It reads requests but does not answer them. At the end of the span it resets their
    /// connections.
    Hangs,
    /// It resets connections in the middle of a response.
    ResetsResponses,
    /// It writes bytes to idle connections and closes them.
    WritesAndCloses,
}

/// Responses of backends that are more, less or other than one whole response to each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ResponseFault {
    /// Each response is sent again after the lag.
    Repeated,
    /// Each request reaches the backend twice, so that a second response comes a service time
    /// later.
    DeliveredTwice,
    /// A rejection that answers no request follows each response after the lag.
    StrayRejection,
    /// Further bytes follow each response at once.
    TrailingBytes,
    /// The response announces fewer bytes than it has, and the connection stays open.
    ShortLength,
    /// The response announces no body, its body follows after the lag, and the connection stays
    /// open.
    LateBody,
    /// The response announces more bytes than it has, and the connection ends.
    Truncated,
    /// The response has no length, and the connection ends in an orderly way.
    WithoutLength,
    /// The response has no length, and the connection is reset in the middle of it.
    WithoutLengthReset,
}

/// A fault of the responses of some backends.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PlannedResponseFault {
    /// The kind of fault.
    pub fault: ResponseFault,
    /// When the fault is active.
    pub span: Span,
    /// The time from a response to the bytes that no request asked for, s.
    pub lag_secs: f64,
    /// The number of the only backend that has the fault; `None` if all have it.
    pub only_backend: Option<usize>,
}

/// A time span in a run, in seconds since the start of the run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Span {
    /// The start of the span.
    pub from: f64,
    /// The end of the span, which is not part of it.
    pub to: f64,
}

impl Span {
    /// Whether a time is within the span.
    pub fn contains(&self, at: f64) -> bool {
        self.from <= at && at < self.to
    }
}

/// A fault of one backend.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PlannedBackendFault {
    /// The number of the backend.
    pub backend: usize,
    /// The kind of fault.
    pub fault: BackendFault,
    /// When the fault is active.
    pub span: Span,
    /// How long a draining backend goes on accepting requests, s.
    pub accepts_secs: f64,
}

/// A signal, or a sequence of signals, that is sent to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProxySignal {
    /// SIGTERM, then SIGKILL at the earliest time that the operators' rules allow, then a new
    /// process.
    Restart,
    /// SIGKILL without SIGTERM, then a new process.
    Kill,
    /// SIGHUP after the configuration file was changed to another discovery address.
    MoveDiscovery,
    /// SIGHUP after the configuration file was replaced by text that is not valid JSON.
    UnreadableConfiguration,
}

/// A signal that is planned for a certain time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PlannedSignal {
    /// When the signal is sent, in seconds since the start of the run.
    pub at: f64,
    /// The number of the proxy.
    pub proxy: usize,
    /// The signal that is sent.
    pub signal: ProxySignal,
}

/// The parameters, faults and signals of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// The seed that the plan was drawn from.
    pub seed: u64,
    /// How proxies get their endpoint list.
    pub list_source: ListSource,
    /// Whether the proxy may cancel attempts.
    pub cancellation_allowed: bool,
    /// Whether two attempts of a request may run at the same time.
    pub hedging_allowed: bool,
    /// The scope of idempotency keys, in the form of the setting `key_scope`.
    pub key_scope: &'static str,
    /// How long backends remember idempotency keys, s.
    pub key_window_secs: f64,
    /// The longest deadline of a client, s.
    pub deadline_secs: f64,
    /// The number of backends.
    pub backends: usize,
    /// The number of clients. Each has one request at a time.
    pub clients: usize,
    /// The fraction of requests whose client may close the connection before the response.
    pub leaving_fraction: f64,
    /// When idle connections use up the file descriptors of all proxies, if the run has this fault.
    #[serde(rename = "crowd")]
    pub descriptor_exhaustion: Option<Span>,
    /// The fault of discovery, and when it is active.
    pub discovery_fault: Option<(DiscoveryFault, Span)>,
    /// The faults of the backends, at most one for each backend.
    pub backend_faults: Vec<PlannedBackendFault>,
    /// The signals to the proxies, in the order of their times.
    pub signals: Vec<PlannedSignal>,
    /// The fault of responses, if the run has one.
    pub response_fault: Option<PlannedResponseFault>,
    /// The limits of the proxies, and the crowd of clients that tests them.
    #[serde(flatten)]
    pub limits: Limits,
}

impl Plan {
    /// Draws the plan from a seed. The same seed always gives the same plan.
    pub fn draw(seed: u64) -> Plan {
        let random = &mut Pcg64Mcg::seed_from_u64(seed);
        let list_source = *[ListSource::Push, ListSource::Poll]
            .choose(random)
            .unwrap_or(&ListSource::Poll);
        let discovery_fault = draw_discovery_fault(random, list_source);
        let exhausts_descriptors = random.random_bool(0.25);
        // If discovery has a fault, the descriptors are exhausted during that fault.
        let exhaustion_span =
            discovery_fault.map_or_else(|| draw_span(random, 2.0..4.0), |(_, s)| s);
        let backends = random.random_range(5..9);
        let mut backend_faults = draw_backend_faults(random, backends);
        if let (ListSource::Push, Some((_, outage))) = (list_source, discovery_fault) {
            begin_drain_in_outage(random, &mut backend_faults, outage);
        }
        let mut limits = Limits::draw(seed);
        if exhausts_descriptors {
            limits.descriptors = MAX_DESCRIPTORS_IN_EXHAUSTION;
            limits.client_crowd = None;
        }
        Plan {
            seed,
            list_source,
            cancellation_allowed: random.random_bool(0.5),
            hedging_allowed: random.random_bool(0.5),
            key_scope: ["all", "zone", "cell"].choose(random).unwrap_or(&"all"),
            key_window_secs: random.random_range(0.3..1.5),
            deadline_secs: random.random_range(1.2..3.0),
            backends,
            clients: random.random_range(16..40),
            leaving_fraction: random.random_range(0.0..0.25),
            descriptor_exhaustion: exhausts_descriptors.then_some(exhaustion_span),
            discovery_fault,
            backend_faults,
            signals: draw_signals(random),
            response_fault: draw_response_fault(random, backends),
            limits,
        }
    }
}

fn draw_span(random: &mut Pcg64Mcg, length: Range<f64>) -> Span {
    let from = random.random_range(FIRST_FAULT_SECS..RUN_SECS - length.end);
    let to = from + random.random_range(length);
    Span { from, to }
}

fn draw_discovery_fault(
    random: &mut Pcg64Mcg,
    list_source: ListSource,
) -> Option<(DiscoveryFault, Span)> {
    // An agent runs on the same host as the proxy, and serves it alone.
    let faults: &[DiscoveryFault] = match list_source {
        ListSource::Push => &[DiscoveryFault::Down, DiscoveryFault::Silent],
        ListSource::Poll => &[
            DiscoveryFault::Down,
            DiscoveryFault::Stalled,
            DiscoveryFault::Silent,
            DiscoveryFault::Overloaded,
            DiscoveryFault::Resetting,
        ],
    };
    let fault = *faults.choose(random)?;
    random
        .random_bool(0.7)
        .then(|| (fault, draw_span(random, 1.0..5.0)))
}

/// Draws at most one fault for each backend. Backend 0 never has a fault, so one backend always
/// works.
fn draw_backend_faults(random: &mut Pcg64Mcg, backends: usize) -> Vec<PlannedBackendFault> {
    const FAULTS: [BackendFault; 5] = [
        BackendFault::Drains,
        BackendFault::Vanishes,
        BackendFault::Hangs,
        BackendFault::ResetsResponses,
        BackendFault::WritesAndCloses,
    ];
    let mut faults = Vec::new();
    for backend in 1..backends {
        let Some(fault) = FAULTS.choose(random) else {
            continue;
        };
        if random.random_bool(0.6) {
            faults.push(PlannedBackendFault {
                backend,
                fault: *fault,
                span: draw_span(random, 1.5..6.0),
                accepts_secs: random.random_range(0.0..2.0),
            });
        }
    }
    faults
}

/// Makes one backend begin to drain in the last second of an outage of the agent: what the agent
/// has at its return counts as notified at once.
fn begin_drain_in_outage(
    random: &mut Pcg64Mcg,
    faults: &mut Vec<PlannedBackendFault>,
    outage: Span,
) {
    let from = outage.to - random.random_range(0.0..1.0);
    let drain = PlannedBackendFault {
        backend: faults.first().map_or(1, |fault| fault.backend),
        fault: BackendFault::Drains,
        span: Span {
            from,
            to: (from + random.random_range(2.0..5.0)).min(RUN_SECS),
        },
        accepts_secs: random.random_range(0.0..2.0),
    };
    faults.retain(|fault| fault.backend != drain.backend);
    faults.insert(0, drain);
}

fn draw_response_fault(random: &mut Pcg64Mcg, backends: usize) -> Option<PlannedResponseFault> {
    const FAULTS: [ResponseFault; 8] = [
        ResponseFault::Repeated,
        ResponseFault::DeliveredTwice,
        ResponseFault::StrayRejection,
        ResponseFault::TrailingBytes,
        ResponseFault::ShortLength,
        ResponseFault::Truncated,
        ResponseFault::WithoutLength,
        ResponseFault::WithoutLengthReset,
    ];
    if random.random_bool(0.2) {
        return None;
    }
    let fault = *FAULTS.choose(random)?;
    let only_one = random.random_bool(0.3);
    let mut planned = PlannedResponseFault {
        fault,
        span: draw_span(random, 2.0..6.0),
        lag_secs: random.random_range(SECOND_RESPONSE_LAG_SECS),
        only_backend: only_one.then(|| random.random_range(0..backends)),
    };
    if fault == ResponseFault::ShortLength && random.random_bool(0.5) {
        planned.fault = ResponseFault::LateBody;
    }
    Some(planned)
}

fn draw_signals(random: &mut Pcg64Mcg) -> Vec<PlannedSignal> {
    let mut signals = Vec::new();
    for proxy in 0..PROXIES {
        let restart_at = random.random_range(FIRST_FAULT_SECS..RUN_SECS - 4.0);
        let signal = if random.random_bool(0.8) {
            ProxySignal::Restart
        } else {
            ProxySignal::Kill
        };
        signals.push(PlannedSignal {
            at: restart_at,
            proxy,
            signal,
        });
        // SIGHUPs up to 1 s before and after the restart, so that some arrive during the shutdown.
        for _ in 0..random.random_range(0..6) {
            let signal = if random.random_bool(0.5) {
                ProxySignal::MoveDiscovery
            } else {
                ProxySignal::UnreadableConfiguration
            };
            let at = restart_at + random.random_range(-1.0..1.0);
            signals.push(PlannedSignal { at, proxy, signal });
        }
    }
    signals.sort_by(|a, b| a.at.total_cmp(&b.at));
    signals
}

#[cfg(test)]
mod tests;
