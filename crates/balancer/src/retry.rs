//! Retries and hedged requests: whether another attempt is safe and allowed, and until when a
//! response is still useful.

mod budget;
mod deadlines;
mod policy;

pub(crate) use budget::RetryBudget;
pub(crate) use deadlines::{is_in_last_tick, is_overdue, next_check, QUEUE_CHECK_TICKS};
pub(crate) use policy::RetryPolicy;
