//! One backend on the simulated clock: its state, its capacity, and which attempts it rejects.

use crate::world::{self, SLOW_START_FLOOR, SLOW_START_MICROS};
use brookstack_balancer::{BackendState, Outcome, Time};
use std::collections::VecDeque;

/// A backend that works on this many attempts rejects further ones.
const MAX_CONCURRENT_ATTEMPTS: u32 = 64;
/// The number of attempts that a backend serves at full speed.
pub const CORES: f64 = 2.0;

/// The true state of a backend. Proxies may know an older one.
pub struct Backend {
    /// Whether it is ready, draining or removed.
    pub state: BackendState,
    /// When it last started; `None` means long ago.
    pub started_at: Option<Time>,
    /// Its machine type, an index into [`world::MACHINE_TYPES`].
    pub machine_type: usize,
    /// The number of its process. An attempt that was sent to an earlier process ends as a reset.
    pub(super) process: u32,
    /// Attempts that it works on.
    pub(super) in_service: u32,
    /// Attempts that reached it in the measurement window.
    pub load: u32,
    /// While it is warming up: the times of its attempts in the last overload window.
    pub(super) recent_attempts: VecDeque<Time>,
}

impl Backend {
    /// A backend that started long ago and is ready.
    pub(super) fn new(backend: usize) -> Backend {
        Backend {
            state: BackendState::Ready,
            started_at: None,
            machine_type: world::placement(backend).machine_type,
            process: 0,
            in_service: 0,
            load: 0,
            recent_attempts: VecDeque::new(),
        }
    }

    /// The fraction of its full capacity that it has at present. It grows linearly from
    /// [`SLOW_START_FLOOR`] to 1 during the warm-up.
    pub(super) fn warmup_fraction(&self, now: Time) -> f64 {
        let progress = self.started_at.map_or(1.0, |started_at| {
            (now - started_at).0 as f64 / SLOW_START_MICROS as f64
        });
        SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * progress.min(1.0)
    }

    /// How an attempt that arrives now is rejected; `None` where it is accepted.
    pub(super) fn rejection(&self) -> Option<Outcome> {
        match self.state {
            BackendState::Removed => Some(Outcome::ConnectFailed),
            BackendState::Ready if self.in_service < MAX_CONCURRENT_ATTEMPTS => None,
            BackendState::Ready | BackendState::Draining => Some(Outcome::Rejected),
        }
    }
}
