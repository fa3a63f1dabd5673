//! The proxies that share each backend, and this proxy's part of the concurrency on them.

/// The number of requests that all proxies together should have in flight on one backend.
///
/// A processor that is shared by its requests (M/G/1/PS) has 0.8 / (1 - 0.8) = 4 requests in flight
/// on average when it is used at four fifths of its capacity. More requests only increase the
/// latency of each one. The limits of single proxies may exceed this target for a moment.
pub(crate) const TARGET_CONCURRENCY: f64 = 4.0;

/// How many proxies share each backend that this proxy uses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peers {
    /// Their number on average, this proxy included.
    pub per_backend: f64,
}

impl Peers {
    /// Whether the proxies are so few that their concurrency limits bound the load of each backend:
    /// each proxy's part of the target is at least one attempt per backend.
    pub fn are_few(self) -> bool {
        self.per_backend <= TARGET_CONCURRENCY
    }

    /// The number of attempts that this proxy should have in flight on backends whose readiness
    /// adds up to `readiness`, so that all proxies together have [`TARGET_CONCURRENCY`] attempts in
    /// flight on each ready backend.
    pub fn own_concurrency(self, readiness: f64) -> f64 {
        TARGET_CONCURRENCY / self.per_backend * readiness
    }
}
