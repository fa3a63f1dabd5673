//! One simulated backend: its state, its capacity, and the rule by which it rejects attempts.

use crate::topology::{self, SLOW_START_FLOOR, SLOW_START_MICROS};
use brookstack_balancer::{BackendState, Outcome, Time};
use std::collections::VecDeque;

/// The largest number of attempts that a backend works on. It rejects further ones.
const MAX_CONCURRENT_ATTEMPTS: u32 = 64;
/// The number of processors of a backend, and so of attempts that it serves at full speed.
pub const CORES: f64 = 2.0;

/// The actual state of a backend. The proxies may still have an older one.
pub struct Backend {
    /// Whether it is ready, draining or removed.
    pub state: BackendState,
    /// When it last started; `None` if that is so long ago that the backend is warm.
    pub started_at: Option<Time>,
    /// Its machine type, as an index into [`topology::MACHINE_TYPES`].
    pub machine_type: usize,
    /// The number of its current process. An attempt that was sent to an earlier process ends with
    /// a reset.
    pub(super) process: u32,
    /// The number of attempts that it works on.
    pub(super) in_service: u32,
    /// The number of attempts that reached it in the measurement window.
    pub load: u32,
    /// While it is warming up, the arrival times of its attempts in the last overload window.
    pub(super) recent_attempts: VecDeque<Time>,
}

impl Backend {
    /// A ready backend that started so long ago that it is warm.
    pub(super) fn new(backend: usize) -> Backend {
        Backend {
            state: BackendState::Ready,
            started_at: None,
            machine_type: topology::placement(backend).machine_type,
            process: 0,
            in_service: 0,
            load: 0,
            recent_attempts: VecDeque::new(),
        }
    }

    /// Its current capacity as a fraction of its full capacity. The fraction grows linearly from
    /// [`SLOW_START_FLOOR`] to 1 during slow start, which lasts [`SLOW_START_MICROS`].
    pub(super) fn warmup_fraction(&self, now: Time) -> f64 {
        let progress = self.started_at.map_or(1.0, |started_at| {
            (now - started_at).0 as f64 / SLOW_START_MICROS as f64
        });
        SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * progress.min(1.0)
    }

    /// The outcome of an attempt that is turned away on arrival; `None` if the backend accepts it.
    pub(super) fn rejection(&self) -> Option<Outcome> {
        match self.state {
            BackendState::Removed => Some(Outcome::ConnectFailed),
            BackendState::Ready if self.in_service < MAX_CONCURRENT_ATTEMPTS => None,
            BackendState::Ready | BackendState::Draining => Some(Outcome::Rejected),
        }
    }
}
