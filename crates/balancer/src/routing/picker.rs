//! The picker: chooses the backend that an attempt of a request is sent to.

use crate::backends::{Backend, BackendTable};
use crate::discovery_watch::DiscoveryWatch;
use crate::estimation::LatencyEstimates;
use crate::random::{Rng, Weighted};
use crate::requests::Request;
use crate::retry::RetryPolicy;
use crate::{BackendId, Config, MachineTypeId, Time};

/// Number of random draws by share before the picker examines all backends. If this many drawn
/// backends had no capacity, most backends have none.
const MAX_DRAWS: usize = 8;

/// Chooses a backend for one request.
///
/// It has no state of its own: it reads the backends, the freshness of the endpoint list and the
/// work estimates.
pub(crate) struct Picker<'a> {
    now: Time,
    config: &'a Config,
    backends: &'a BackendTable,
    request: &'a Request,
    retry_policy: RetryPolicy<'a>,
    /// The expected work of the request in multiples of a mean request.
    work: f64,
    may_use_list: bool,
}

impl<'a> Picker<'a> {
    /// Creates a picker for one request.
    pub fn new(
        now: Time,
        config: &'a Config,
        backends: &'a BackendTable,
        request: &'a Request,
        latencies: &LatencyEstimates,
        discovery_watch: &DiscoveryWatch,
    ) -> Picker<'a> {
        Picker {
            now,
            config,
            backends,
            request,
            retry_policy: RetryPolicy::new(config, request),
            work: latencies.relative_work(request.class),
            may_use_list: discovery_watch.list_evidence(now, config).allows_use(),
        }
    }

    /// Picks a backend for the next attempt; `None` if no backend is available or the endpoint list
    /// must not be used.
    ///
    /// For a first attempt, a machine type and then one of its backends are drawn, both by local
    /// share, up to [`MAX_DRAWS`] times until the drawn backend is available. For a further
    /// attempt, or if no draw finds an available backend, one of all available backends is drawn
    /// by local share.
    pub fn pick(&self, rng: &mut Rng) -> Option<BackendId> {
        if !self.may_use_list {
            return None;
        }
        if self.request.is_unsent() {
            if let Some(backend) = self.draw(rng) {
                return Some(backend);
            }
        }
        rng.pick_weighted(&self.shares_of_available_backends())
    }

    /// Draws a machine type and then one of its backends, both by local share, until the backend is
    /// available; `None` after [`MAX_DRAWS`] draws.
    fn draw(&self, rng: &mut Rng) -> Option<BackendId> {
        let machine_types = self.shares_of_machine_types();
        for _ in 0..MAX_DRAWS {
            let machine_type = rng.pick_weighted(&machine_types)?;
            let position = rng.unit();
            if let Some(backend) = self.backend_at(machine_type, position) {
                return Some(backend);
            }
        }
        None
    }

    fn shares_of_machine_types(&self) -> Vec<Weighted<MachineTypeId>> {
        let mut shares = Vec::new();
        for (id, machine_type) in self.backends.machine_types() {
            shares.push(Weighted {
                item: id,
                weight: machine_type.local_share(),
            });
        }
        shares
    }

    /// The backend at `position` (from 0 to 1) of a machine type's cumulative shares, if it is
    /// available for the request.
    fn backend_at(&self, machine_type: MachineTypeId, position: f64) -> Option<BackendId> {
        let machine_type = self.backends.machine_type(machine_type)?;
        let id = machine_type.backend_at(position)?;
        let backend = self.backends.get(id)?;
        self.is_available(backend).then_some(id)
    }

    fn shares_of_available_backends(&self) -> Vec<Weighted<BackendId>> {
        let mut shares = Vec::new();
        for (id, backend) in self.backends.iter() {
            if self.is_available(backend) {
                shares.push(Weighted {
                    item: id,
                    weight: backend.local_share(),
                });
            }
        }
        shares
    }

    /// Whether the request may be sent to the backend, and the backend has capacity for it. No
    /// request is sent beyond a backend's limits, even if no other backend has capacity: an
    /// overloaded backend stays slow for a long time.
    fn is_available(&self, backend: &Backend) -> bool {
        let priority = self.request.weight.priority();
        let window = self.config.overload_window;
        backend.is_usable()
            && backend.has_free_concurrency(priority)
            && backend.is_listed_as_ready()
            && self.retry_policy.allows_backend(backend.endpoint())
            && backend.is_within_slow_start_quota(self.now, window, self.work)
    }
}
