//! Fixtures that the unit tests of several components share.

use crate::admission::RequestWeight;
use crate::requests::{Attempt, Request};
use crate::{Arrival, BackendId, BackendState, ClassId, Config, Endpoint, Micros, RequestId, Time};

/// The time at which the tests start.
pub const START: Time = Time(1_000_000_000);
/// One second.
pub const SECOND: Micros = Micros(1_000_000);

/// A ready backend of zone 0, cell 0 and the default machine type, which started long ago.
pub fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        id: BackendId(id),
        state: BackendState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    }
}

/// The arrival of a request of the first class, whose client waits for one second.
pub fn arrival(id: u64) -> Arrival {
    Arrival {
        request: RequestId(id),
        class: ClassId(0),
        tenant: None,
        time_left: SECOND,
        work_hint: None,
        is_retry: false,
    }
}

/// The weight of a request of the first class in the example configuration.
pub fn weight(is_retry: bool, is_over_quota: bool) -> RequestWeight {
    let config = Config::example();
    let arrival = Arrival {
        is_retry,
        ..arrival(1)
    };
    RequestWeight::new(&config, &config.classes[0], &arrival, is_over_quota)
}

/// A request that arrives at `now`, with a latency objective of half a second and full weight.
pub fn request(now: Time) -> Request {
    let objective = Micros(SECOND.0 / 2);
    Request::new(now, &arrival(1), objective, weight(false, false))
}

/// Like [`request`], with one attempt on each of these backends. The attempts have ended and may
/// have been executed.
pub fn tried_request(now: Time, backends: &[u64]) -> Request {
    let mut request = request(now);
    for id in backends {
        let mut attempt = Attempt::new(endpoint(*id), now);
        attempt.in_flight = false;
        request.attempts.push(attempt);
    }
    request
}
