//! The timeline of a run: the changes of backends, the outage of discovery, and the restart of the
//! proxies.

use brookstack_balancer::{BackendState, Time};

/// A change of one backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendChange {
    /// When the change is made.
    pub at: Time,
    /// The number of the backend.
    pub backend: u32,
    /// The backend's state from then on.
    pub state: BackendState,
    /// When the backend last started; `None` if that is so long ago that it is warm.
    pub started_at: Option<Time>,
}

/// The period in which discovery can't be reached.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The start of the outage.
    pub start: Time,
    /// The end of the outage, from which on discovery can be reached.
    pub end: Time,
}

impl Outage {
    /// Whether discovery is down at the time `at`.
    pub fn contains(&self, at: Time) -> bool {
        self.start <= at && at < self.end
    }
}

/// The scheduled changes and faults of a run.
#[derive(Debug, Default)]
pub struct Timeline {
    /// Changes of backends, in order of time.
    pub changes: Vec<BackendChange>,
    /// The outage of discovery, if there is one.
    pub outage: Option<Outage>,
    /// When all proxies restart, if they do.
    pub restart_at: Option<Time>,
    /// Whether the restarted proxies get the endpoint list from before all changes. Otherwise they
    /// get the newest list.
    pub restart_with_first_list: bool,
}
