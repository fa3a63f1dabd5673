//! The proxies that share each backend.

/// Requests that all proxies together should have in flight on one backend. A shared processor at
/// four fifths of its capacity has four on average; more only makes each of them later. It is a
/// target, which the limits of single proxies may exceed for a moment.
pub(crate) const TARGET_CONCURRENCY: f64 = 4.0;

/// How many proxies share each backend that this proxy uses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peers {
    /// Their number on average, this proxy included.
    pub per_backend: f64,
}

impl Peers {
    /// Whether they are so few that their concurrency limits bound the load of each backend.
    pub fn are_few(self) -> bool {
        self.per_backend <= TARGET_CONCURRENCY
    }

    /// Attempts that this proxy may have in flight on backends of that total readiness, so that all
    /// proxies together have [`TARGET_CONCURRENCY`] on each ready backend.
    pub fn own_concurrency(self, readiness: f64) -> f64 {
        TARGET_CONCURRENCY / self.per_backend * readiness
    }
}
