//! The messages between the simulated proxies and their environment: backends, discovery and the
//! recorder of measurements.

use brookstack_balancer::{
    AttemptNumber, Endpoint, EndpointUpdate, Micros, Outcome, RequestId, Time,
};
use std::sync::Arc;

/// Identifies an attempt within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The number of the proxy that sent it.
    pub proxy: u32,
    /// The request that it belongs to.
    pub request: RequestId,
    /// The number of the attempt within that request.
    pub attempt: AttemptNumber,
}

/// A message from the environment to a proxy.
#[derive(Clone, Debug)]
pub enum ProxyInput {
    /// An attempt has ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number within the request.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: Outcome,
    },
    /// Discovery has sent an update of the endpoint list, or a call or watch has failed.
    EndpointsUpdated {
        /// The type of the update.
        update: EndpointUpdate,
        /// The endpoints in it.
        endpoints: Arc<Vec<Endpoint>>,
    },
}

/// A message from a proxy to the environment. The outputs of a proxy are processed in order.
#[derive(Clone, Copy, Debug)]
pub enum ProxyOutput {
    /// Sends an attempt to a backend.
    SendAttempt {
        /// Identifies the attempt.
        key: AttemptKey,
        /// The number of the backend.
        backend: u32,
        /// The time from the arrival of the request to this attempt, if it is the first attempt of
        /// the request.
        queue_delay: Option<Micros>,
    },
    /// Cancels an attempt.
    CancelAttempt(AttemptKey),
    /// Calls discovery to watch for changes of the endpoint list.
    WatchEndpoints,
    /// Reports that a request has been served.
    RequestServed {
        /// The time from the arrival of the request to its response.
        latency: Micros,
    },
}

/// An input that is in transit to a proxy.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// The number of the proxy.
    pub proxy: u32,
    /// When the input reaches the proxy.
    pub at: Time,
    /// The input.
    pub input: ProxyInput,
}

impl Delivery {
    /// An update of the endpoint list that reaches a proxy at the time `at`.
    pub fn endpoints(
        proxy: u32,
        at: Time,
        update: EndpointUpdate,
        endpoints: Arc<Vec<Endpoint>>,
    ) -> Delivery {
        Delivery {
            proxy,
            at,
            input: ProxyInput::EndpointsUpdated { update, endpoints },
        }
    }
}

/// The result of an attempt at its backend.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Identifies the attempt.
    pub key: AttemptKey,
    /// When the proxy learns of it.
    pub at: Time,
    /// How the attempt ended.
    pub outcome: Outcome,
}

impl From<AttemptResult> for Delivery {
    fn from(result: AttemptResult) -> Delivery {
        Delivery {
            proxy: result.key.proxy,
            at: result.at,
            input: ProxyInput::AttemptEnded {
                request: result.key.request,
                attempt: result.key.attempt,
                outcome: result.outcome,
            },
        }
    }
}
