//! The messages between the simulated proxies and the world around them.

use brookstack_balancer::{
    AttemptNumber, Endpoint, EndpointUpdate, Micros, Outcome, RequestId, Time,
};
use std::sync::Arc;

/// Identifies an attempt within the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The number of the proxy that sent it.
    pub proxy: u32,
    /// The request that it belongs to.
    pub request: RequestId,
    /// Its number within that request.
    pub attempt: AttemptNumber,
}

/// What the world sends to a proxy.
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
    /// Discovery has sent an update of the endpoint list, or the watch has failed.
    EndpointsUpdated {
        /// The type of the update.
        update: EndpointUpdate,
        /// The endpoints in it.
        endpoints: Arc<Vec<Endpoint>>,
    },
}

/// What a proxy sends to the world. The world takes the outputs of a proxy in their order.
#[derive(Clone, Copy, Debug)]
pub enum ProxyOutput {
    /// An attempt is sent to a backend.
    SendAttempt {
        /// Identifies the attempt.
        key: AttemptKey,
        /// The number of the backend.
        backend: u32,
        /// The time from the request's arrival to this attempt, if it is the request's first.
        queue_delay: Option<Micros>,
    },
    /// An attempt is cancelled.
    CancelAttempt(AttemptKey),
    /// The proxy wants to watch discovery for changes.
    WatchEndpoints,
    /// A request has been served.
    RequestServed {
        /// The time from its arrival to its answer.
        latency: Micros,
    },
}

/// An input on its way to a proxy.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// The number of the proxy.
    pub proxy: u32,
    /// When it reaches the proxy.
    pub at: Time,
    /// What reaches it.
    pub input: ProxyInput,
}

impl Delivery {
    /// An update of the endpoint list that reaches a proxy at that time.
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

/// The end of an attempt, as its backend determines it.
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
