//! The plan of a run: everything that a seed decides.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::ops::Range;

/// Proxies in a run.
pub const PROXIES: usize = 2;
/// Length of the part of a run in which clients send requests, s.
pub const RUN_SECS: f64 = 11.0;
/// When the first fault may begin, s.
const FIRST_FAULT_SECS: f64 = 1.5;

/// How a proxy gets its endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ListSource {
    /// An agent pushes changes.
    Push,
    /// The proxy polls a central service.
    Poll,
}

/// What discovery does wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum DiscoveryFault {
    /// It refuses connections and resets those that are open.
    Down,
    /// It accepts calls and does not answer them.
    Stalled,
    /// It answers calls late, and fails those that waited for too long.
    Overloaded,
    /// It resets the connection of each call.
    Resetting,
}

/// What a backend does wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum BackendFault {
    /// Discovery lists it as draining; it accepts requests for a while, then rejects them.
    Drains,
    /// Its process ends without a word; discovery lists it as gone later.
    Vanishes,
    /// It reads requests and does not answer them; in the end it resets their connections.
    Hangs,
    /// It resets connections in the middle of a response.
    ResetsResponses,
    /// It writes bytes to idle connections and closes them.
    WritesAndCloses,
}

/// A span of time in a run, s.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Span {
    /// Its start.
    pub from: f64,
    /// Its end.
    pub to: f64,
}

impl Span {
    /// Whether a time is within it.
    pub fn contains(&self, at: f64) -> bool {
        self.from <= at && at < self.to
    }
}

/// A fault of one backend.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PlannedBackendFault {
    /// The backend.
    pub backend: usize,
    /// What it does.
    pub fault: BackendFault,
    /// When.
    pub span: Span,
    /// For so long a draining backend goes on accepting requests, s.
    pub accepts_secs: f64,
}

/// A signal to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProxySignal {
    /// SIGTERM, then SIGKILL at the earliest that the operators allow, then a new process.
    Restart,
    /// SIGKILL, then a new process.
    Kill,
    /// SIGHUP with another address of discovery.
    MoveDiscovery,
    /// SIGHUP with a configuration that cannot be read.
    UnreadableConfiguration,
}

/// When a proxy gets a signal.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PlannedSignal {
    /// When, s.
    pub at: f64,
    /// The proxy.
    pub proxy: usize,
    /// The signal.
    pub signal: ProxySignal,
}

/// Everything that a seed decides.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// How proxies get their endpoint list.
    pub list_source: ListSource,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether two attempts of a request may run at once.
    pub hedging_allowed: bool,
    /// The scope of idempotency keys, as the settings name it.
    pub key_scope: &'static str,
    /// How long idempotency keys are remembered, s.
    pub key_window_secs: f64,
    /// The longest deadline of a client, s.
    pub deadline_secs: f64,
    /// Backends.
    pub backends: usize,
    /// Clients, each with one request at a time.
    pub clients: usize,
    /// The fraction of requests whose client leaves before the response.
    pub leaving_fraction: f64,
    /// When idle clients fill the descriptors of all proxies, if they do.
    pub crowd: Option<Span>,
    /// What discovery does wrong, and when.
    pub discovery_fault: Option<(DiscoveryFault, Span)>,
    /// The faults of backends.
    pub backend_faults: Vec<PlannedBackendFault>,
    /// The signals, in the order of time.
    pub signals: Vec<PlannedSignal>,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Plan {
        let random = &mut Pcg64Mcg::seed_from_u64(seed);
        let list_source = *[ListSource::Push, ListSource::Poll]
            .choose(random)
            .unwrap_or(&ListSource::Poll);
        let discovery_fault = draw_discovery_fault(random, list_source);
        let has_crowd = random.random_bool(0.25);
        let crowd_span = discovery_fault.map_or_else(|| draw_span(random, 2.0..4.0), |(_, s)| s);
        let backends = random.random_range(5..9);
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
            crowd: has_crowd.then_some(crowd_span),
            discovery_fault,
            backend_faults: draw_backend_faults(random, backends),
            signals: draw_signals(random),
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
    // An agent runs beside the proxy: it is up or down.
    let faults: &[DiscoveryFault] = match list_source {
        ListSource::Push => &[DiscoveryFault::Down],
        ListSource::Poll => &[
            DiscoveryFault::Down,
            DiscoveryFault::Stalled,
            DiscoveryFault::Overloaded,
            DiscoveryFault::Resetting,
        ],
    };
    let fault = *faults.choose(random)?;
    random
        .random_bool(0.7)
        .then(|| (fault, draw_span(random, 1.0..5.0)))
}

/// Each backend has one fault at most, and one backend has none.
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
        // A series around the restart, so that some of it falls into the shutdown.
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
