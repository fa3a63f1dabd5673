//! The picker: which backend a request is sent to.

use crate::backends::{Backend, BackendTable};
use crate::discovery_watch::{DiscoveryWatch, ACCEPTANCE_LIFETIME};
use crate::estimation::LatencyEstimates;
use crate::random::{Rng, Weighted};
use crate::requests::Request;
use crate::retry::RetryPolicy;
use crate::{Acceptance, BackendId, Config, MachineTypeId, Time};

/// Random draws by share before all backends are looked through: when so many had no capacity, most
/// have none.
const MAX_DRAWS: usize = 8;

/// Chooses a backend for one request.
///
/// It owns nothing: it reads the backends, the age of the endpoint list and the work estimates.
pub(crate) struct Picker<'a> {
    now: Time,
    config: &'a Config,
    backends: &'a BackendTable,
    request: &'a Request,
    retry_policy: RetryPolicy<'a>,
    /// The request's work in multiples of a mean request.
    work: f64,
    /// The endpoint list has every change that discovery has had, and could be polled for, for
    /// longer than the notification deadline.
    is_list_fresh: bool,
}

impl<'a> Picker<'a> {
    /// A picker for one request.
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
            is_list_fresh: discovery_watch.is_fresh(now, config),
        }
    }

    /// A backend for the request, or `None` if none has capacity. A first attempt draws a machine
    /// type, then one of its backends, both by local share, up to [`MAX_DRAWS`] times. If no drawn
    /// backend is available, or for a further attempt, one of all available backends is drawn by
    /// local share.
    pub fn pick(&self, rng: &mut Rng) -> Option<BackendId> {
        if self.request.is_unsent() {
            let machine_types = self.shares_of_machine_types();
            for _ in 0..MAX_DRAWS {
                let machine_type = rng.pick_weighted(&machine_types)?;
                let position = rng.unit();
                if let Some(backend) = self.backend_at(machine_type, position) {
                    return Some(backend);
                }
            }
        }
        rng.pick_weighted(&self.shares_of_available_backends())
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

    /// The backend of a machine type at a position of its shares, if the request may go there.
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

    /// Whether the backend may be sent this request and has capacity for it. An overloaded backend
    /// stays slow for long, so one that is full is never given more.
    fn is_available(&self, backend: &Backend) -> bool {
        let priority = self.request.weight.priority();
        let window = self.config.overload_window;
        backend.is_usable()
            && backend.has_free_concurrency(priority)
            && backend.is_listed_as_ready()
            && self.is_listing_trusted(backend)
            && self.retry_policy.allows_backend(backend.endpoint())
            && backend.is_within_slow_start_quota(self.now, window, self.work)
    }

    /// Whether the backend's entry may be relied on: if the list is stale, the backend may have
    /// begun to drain. A stale list is still trusted for a backend that served a request that was
    /// sent less than [`ACCEPTANCE_LIFETIME`] ago.
    fn is_listing_trusted(&self, backend: &Backend) -> bool {
        let is_recent = |accepted: Acceptance| self.now - accepted.sent_at < ACCEPTANCE_LIFETIME;
        self.is_list_fresh || backend.health().last_acceptance().is_some_and(is_recent)
    }
}
