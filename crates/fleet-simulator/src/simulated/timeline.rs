//! The timeline of a run: which backends change when, when discovery is down, and when the proxies
//! restart.

use brookstack_balancer::{BackendState, Time};

/// A change of one backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendChange {
    /// When it was made.
    pub at: Time,
    /// The number of the backend.
    pub backend: u32,
    /// The backend's state from then on.
    pub state: BackendState,
    /// When the backend last started; `None` means long ago.
    pub started_at: Option<Time>,
}

/// The time over which discovery can't be reached.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Its first moment.
    pub start: Time,
    /// The first moment after it.
    pub end: Time,
}

impl Outage {
    /// Whether discovery is down at that time.
    pub fn contains(&self, at: Time) -> bool {
        self.start <= at && at < self.end
    }
}

/// What happens when.
#[derive(Debug, Default)]
pub struct Timeline {
    /// Changes of backends, in the order of time.
    pub changes: Vec<BackendChange>,
    /// When discovery is down.
    pub outage: Option<Outage>,
    /// When all proxies restart.
    pub restart_at: Option<Time>,
    /// Whether the restarted proxies hold the endpoint list from before all changes. Otherwise they
    /// hold the newest list.
    pub restart_with_first_list: bool,
}
