//! Which subset of a large endpoint list a proxy uses.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::records::Completion;
use common::test_host::TestHost;
use common::traffic::*;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// Number of requests that are sent to find out which backends a proxy uses.
const REQUEST_COUNT: usize = 700;
/// Number of backends that these requests use. If the proxy used all 2,000 backends, the requests
/// would use about 590 of them.
const BACKENDS_IN_USE: RangeInclusive<usize> = 180..=300;

/// Sends [`REQUEST_COUNT`] requests and returns the backends that they used.
fn backends_used(host: &mut TestHost) -> BTreeSet<u32> {
    serve_steadily_without_faults(host, REQUEST_COUNT)
        .into_iter()
        .collect()
}

/// Whether a backend stays in the list. Half of the backends stay; the others are drained and then
/// removed.
fn stays(backend: u32) -> bool {
    backend % 4 >= 2
}

/// The entries of the backends that do not stay, with the given state.
fn leaving_backends(endpoints: &[Endpoint], state: BackendState) -> Vec<Endpoint> {
    let leaving = endpoints
        .iter()
        .filter(|endpoint| !stays(endpoint.id.0 as u32));
    leaving
        .map(|endpoint| Endpoint {
            state,
            ..endpoint.clone()
        })
        .collect()
}

/// One of 300 proxies with the given endpoint list.
fn host_with_subset(endpoints: Vec<Endpoint>) -> TestHost {
    let config = Config {
        proxy_index: 77,
        zone_count: 2,
        ..config_with_proxies(300)
    };
    TestHost::with_seed(config, 5, endpoints)
}

/// Drains half of the backends and checks that the proxy uses none of them and otherwise keeps its
/// subset, which other backends complete. The test host panics on a dispatch to a draining backend.
fn assert_kept_while_draining(host: &mut TestHost, endpoints: &[Endpoint], before: &BTreeSet<u32>) {
    let draining = leaving_backends(endpoints, BackendState::Draining);
    host.update_endpoints(EndpointUpdate::Delta, draining);
    let while_draining = backends_used(host);
    assert!(
        while_draining.iter().all(|backend| stays(*backend)),
        "a draining backend was used"
    );
    let in_use = while_draining.len();
    let kept = while_draining.intersection(before).count();
    assert!(
        kept * 10 >= in_use * 9,
        "the subset changed while backends were draining: {kept} of {in_use} kept"
    );
}

/// Removes the draining half of the backends and checks that other backends replace them in the
/// subset.
fn assert_replaced_after_removal(
    host: &mut TestHost,
    endpoints: &[Endpoint],
    before: &BTreeSet<u32>,
) {
    let removed = leaving_backends(endpoints, BackendState::Removed);
    host.update_endpoints(EndpointUpdate::Delta, removed);
    let after = backends_used(host);
    let in_use = after.len();
    assert!(BACKENDS_IN_USE.contains(&in_use), "{in_use} backends used");
    let added = after.difference(before).count();
    assert!(
        added * 3 >= in_use,
        "removed backends were not replaced: {added} of {in_use} are new"
    );
}

#[test]
fn a_proxy_uses_its_subset_and_replaces_removed_backends() {
    let endpoints: Vec<Endpoint> = (0..2_000).map(|id| backend(id, id % 2, id % 3)).collect();
    let mut host = host_with_subset(endpoints.clone());
    let before = backends_used(&mut host);
    let in_use = before.len();
    assert!(BACKENDS_IN_USE.contains(&in_use), "{in_use} backends used");
    assert_kept_while_draining(&mut host, &endpoints, &before);
    assert_replaced_after_removal(&mut host, &endpoints, &before);
    let requests: Vec<RequestId> = host.requests.keys().copied().collect();
    let served = host.count_completed(&requests, Completion::Served);
    assert!(served >= 2_080, "{served} of 2100 served");
}
