//! Loops that send requests to a test host and end their attempts.

use super::builders::millis;
use super::test_host::TestHost;
use brookstack_balancer::*;

/// The time after which a client gives up in most tests.
pub const CLIENT_TIMEOUT: Micros = millis(900);

/// Sends requests one after the other. The first attempt of each succeeds after the `latency` of
/// its backend. Returns the backends that the requests were dispatched to on arrival.
pub fn serve_sequentially(
    host: &mut TestHost,
    count: usize,
    latency: impl Fn(u32) -> Micros,
) -> Vec<u32> {
    let mut chosen = Vec::new();
    for _ in 0..count {
        let request = host.send_request(CLIENT_TIMEOUT);
        let backends = host.backends_of(request);
        let span = backends
            .first()
            .map_or(millis(5), |backend| latency(*backend));
        chosen.extend(backends);
        host.advance(span);
        host.end_attempt(request, 0, Outcome::Success);
    }
    chosen
}

/// Sends 15 requests a second. The first attempt of each ends after 60 ms, and each retry that the
/// balancer then dispatches ends immediately. An attempt ends with the `fault` of its backend, or
/// succeeds if the backend has none. Returns the backends of all attempts.
pub fn serve_steadily(
    host: &mut TestHost,
    count: usize,
    fault: impl Fn(u32) -> Option<Outcome>,
) -> Vec<u32> {
    let mut chosen = Vec::new();
    for _ in 0..count {
        let request = host.send_request(CLIENT_TIMEOUT);
        host.advance(millis(60));
        let mut attempt = 0;
        while let Some(backend) = host.backends_of(request).get(attempt).copied() {
            chosen.push(backend);
            host.end_attempt(request, attempt, fault(backend).unwrap_or(Outcome::Success));
            attempt += 1;
        }
        host.advance(Micros(6_667));
    }
    chosen
}

/// Like [`serve_steadily`], with backends that have no fault.
pub fn serve_steadily_without_faults(host: &mut TestHost, count: usize) -> Vec<u32> {
    serve_steadily(host, count, |_| None)
}

/// How many of these backends satisfy a condition.
pub fn count_backends(backends: &[u32], condition: impl Fn(u32) -> bool) -> usize {
    backends
        .iter()
        .filter(|backend| condition(**backend))
        .count()
}
