//! The endpoint list at the start of a run.

use crate::failure::InputError;
use crate::simulated::context::BackendIndex;
use crate::topology::{self, ZONES};
use brookstack_balancer::{BackendState, Endpoint};
use std::sync::Arc;

/// Every proxy whose number is a multiple of this gets the complete list.
const COMPLETE_LIST_INTERVAL: u32 = 10;

/// The endpoint list at the start of a run, in which all backends are ready.
pub(super) struct FirstList {
    endpoints: Arc<Vec<Endpoint>>,
    /// The percentage of the backends that are hidden from nine proxies in ten.
    hidden_percent: usize,
}

impl FirstList {
    pub(super) fn new(backends: usize, hidden_percent: usize) -> FirstList {
        let endpoint = |backend| topology::balancer_endpoint(backend, BackendState::Ready, None);
        FirstList {
            endpoints: Arc::new((0..backends).map(endpoint).collect()),
            hidden_percent,
        }
    }

    /// The list that a proxy gets, without the backends that are hidden from it.
    pub(super) fn of_proxy(&self, proxy: u32) -> Arc<Vec<Endpoint>> {
        if self.hidden_percent == 0 || proxy % COMPLETE_LIST_INTERVAL == 0 {
            return self.endpoints.clone();
        }
        let numbered = self.endpoints.iter().enumerate();
        let visible = numbered.filter(|(number, _)| self.is_visible_to_all(*number));
        Arc::new(visible.map(|(_, endpoint)| endpoint.clone()).collect())
    }

    fn is_visible_to_all(&self, backend: usize) -> bool {
        let position_in_zone = backend / ZONES.len();
        position_in_zone % 100 >= self.hidden_percent
    }

    /// Maps the ids of the backends to their numbers. Fails if two ids are equal, which is possible
    /// because an id is a hash of the backend's name.
    pub(super) fn backend_index(&self) -> Result<BackendIndex, InputError> {
        let backends = self.endpoints.len();
        let index: BackendIndex = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(number, endpoint)| (endpoint.id, number as u32))
            .collect();
        if index.len() != backends {
            return Err(InputError::BackendIdCollision { backends });
        }
        Ok(index)
    }
}
