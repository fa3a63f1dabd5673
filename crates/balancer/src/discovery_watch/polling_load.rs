//! How many polls the discovery service can take, and over which time the proxies of a fleet spread
//! theirs.
//!
//! All proxies poll one service, which answers one poll after the other. All times here are in
//! seconds.

use crate::{Config, Micros};

/// Time within which a poll has to be sent: 5 s of the 6 s after which a change counts as notified.
/// The rest is for the queue and the response.
pub(super) const POLL_DEADLINE_SECS: f64 = 5.0;
/// Time that the service takes for one poll: an estimate on the safe side, as no setting gives it.
/// If each proxy polls once in this time multiplied by the number of proxies, no queue builds up.
const POLL_SERVICE_SECS: f64 = 0.08;
/// The same for proxies that start without a list. It is shorter, because such a proxy can serve
/// nothing until it has a list.
const EMPTY_START_SERVICE_SECS: f64 = 0.025;
/// Fraction of `poll_within` within which a proxy that starts without a list sends its first poll.
const FIRST_POLL_DEADLINE_FRACTION: f64 = 0.8;
/// This many proxies may poll at once: the service answers all of their polls before the first
/// could time out.
const MAX_SIMULTANEOUS_POLLS: u32 = 4;

/// Whether there are so many proxies that they must not poll at the same time.
pub(super) fn must_spread_polls(config: &Config) -> bool {
    config.proxy_count > MAX_SIMULTANEOUS_POLLS
}

/// The poll round: the time that the service needs for one poll of every proxy.
pub(super) fn poll_round_secs(config: &Config) -> f64 {
    f64::from(config.proxy_count) * POLL_SERVICE_SECS
}

/// The time over which all proxies spread the polls that one event causes.
pub(super) fn poll_spread_secs(config: &Config) -> f64 {
    poll_round_secs(config).min(POLL_DEADLINE_SECS)
}

/// The time over which proxies that start without a list spread their first polls.
pub(super) fn empty_start_spread_secs(config: &Config, poll_within: Micros) -> f64 {
    let service_time = f64::from(config.proxy_count) * EMPTY_START_SERVICE_SECS;
    let deadline = poll_within.secs() * FIRST_POLL_DEADLINE_FRACTION;
    service_time.min(deadline)
}
