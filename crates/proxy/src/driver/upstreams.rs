//! The backends on the endpoint list, each with its current process.

use crate::discovery::endpoint_list::ResolvedEndpoint;
use crate::upstream::Upstream;
use brookstack_balancer::{BackendId, BackendState, Endpoint, EndpointUpdate};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The current process of each backend on the endpoint list.
#[derive(Default)]
pub struct Upstreams {
    by_backend: HashMap<BackendId, Rc<Upstream>>,
}

impl Upstreams {
    /// Applies an update of the endpoint list. A complete list also removes the backends that are
    /// not on it.
    pub fn apply(&mut self, update: EndpointUpdate, targets: Vec<ResolvedEndpoint>) {
        let is_complete = matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached);
        let mut previous = HashMap::new();
        if is_complete {
            previous = std::mem::take(&mut self.by_backend);
        }
        for target in targets {
            let backend = target.endpoint.id;
            let known = previous
                .remove(&backend)
                .or_else(|| self.by_backend.remove(&backend));
            let state = target.endpoint.state;
            let upstream = current_process(known, target);
            if state == BackendState::Ready {
                upstream.open_to_new_requests();
            } else {
                upstream.close_to_new_requests();
            }
            if state != BackendState::Removed {
                self.by_backend.insert(backend, upstream);
            }
        }
        for removed in previous.values() {
            removed.close_to_new_requests();
        }
    }

    /// The process of a backend, if it accepts new requests.
    pub fn accepting(&self, backend: BackendId) -> Option<Rc<Upstream>> {
        self.by_backend
            .get(&backend)
            .filter(|upstream| upstream.accepts_requests())
            .cloned()
    }

    /// The current processes of all backends on the list.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.by_backend.values()
    }

    /// The address of a backend, or `None` if it is no longer on the list.
    pub fn address(&self, backend: BackendId) -> Option<SocketAddr> {
        let upstream = self.by_backend.get(&backend)?;
        Some(upstream.target.address)
    }

    /// Whether any backend accepts new requests.
    pub fn any_accepting(&self) -> bool {
        self.by_backend
            .values()
            .any(|upstream| upstream.accepts_requests())
    }

    /// The backends on the endpoint list, each with the entry with which its process was first
    /// listed and with its current state.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.by_backend
            .values()
            .map(|upstream| endpoint(upstream))
            .collect()
    }
}

/// Returns `known` if `target` is the same process, otherwise a new `Upstream`. A restarted process
/// must not share connections with the process before it.
fn current_process(known: Option<Rc<Upstream>>, target: ResolvedEndpoint) -> Rc<Upstream> {
    match known {
        Some(upstream) if upstream.is_same_process(&target) => upstream,
        Some(upstream) => {
            upstream.close_to_new_requests();
            Rc::new(Upstream::new(target))
        }
        None => Rc::new(Upstream::new(target)),
    }
}

/// The entry with which a process was first listed, with the state that follows from whether it
/// accepts requests now.
fn endpoint(upstream: &Upstream) -> Endpoint {
    let state = if upstream.accepts_requests() {
        BackendState::Ready
    } else {
        BackendState::Draining
    };
    Endpoint {
        state,
        ..upstream.target.endpoint.clone()
    }
}
