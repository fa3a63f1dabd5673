//! How many polls the discovery service can process, and over which time the proxies spread their
//! polls.
//!
//! All proxies poll one service, which processes one poll at a time. All times here are in seconds.

use crate::{Config, Micros};

/// The time over which the proxies spread polls after an event that affects all of them. The list
/// of a proxy may be used for 6 s after an answer, in which a call may fail after 2 s in the
/// service's queue and has to be repeated.
const MAX_SPREAD_SECS: f64 = 1.0;
/// The spread for each proxy: the time that a fast service needs for one poll.
const SPREAD_SECS_PER_PROXY: f64 = 0.002;
/// Conservative estimate of the time that the service needs for one poll; no setting gives it. If
/// each proxy polls at most once in this time multiplied by the number of proxies, no queue builds
/// up.
const POLL_SERVICE_SECS: f64 = 0.08;
/// Number of proxies that may poll at the same time: the service answers all of their polls before
/// the first one could time out.
const MAX_SIMULTANEOUS_POLLS: u32 = 4;

/// Whether there are too many proxies for all of them to poll at the same time.
pub(super) fn must_spread_polls(config: &Config) -> bool {
    config.proxy_count > MAX_SIMULTANEOUS_POLLS
}

/// The duration of a poll round: the time that the service needs for one poll of every proxy.
/// `service_time` is the estimated time for one poll, `None` before the first answer.
pub(super) fn poll_round_secs(config: &Config, service_time: Option<Micros>) -> f64 {
    let learned_secs = service_time.map_or(POLL_SERVICE_SECS, Micros::secs);
    f64::from(config.proxy_count) * learned_secs.min(POLL_SERVICE_SECS)
}

/// The time over which all proxies spread their polls after an event that affects all of them.
pub(super) fn poll_spread_secs(config: &Config) -> f64 {
    (f64::from(config.proxy_count) * SPREAD_SECS_PER_PROXY).min(MAX_SPREAD_SECS)
}
