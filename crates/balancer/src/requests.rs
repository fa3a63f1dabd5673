//! Open requests, which have no final response yet: the requests themselves, their attempts, and
//! the queue of the requests that wait for a backend.

mod queue;
mod request;
mod table;

pub(crate) use queue::{QueuedRequest, RequestQueue};
pub(crate) use request::{Attempt, Request};
pub(crate) use table::{InFlightAttempt, RequestTable};
