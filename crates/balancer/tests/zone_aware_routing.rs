//! Zone-aware routing. If traffic to other zones has a cost, it stays in the proxy's own zone as
//! far as that zone's share of the backends allows. If all backends are idle, every request is
//! served and every backend is used, whichever zones the endpoint list names.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::test_host::TestHost;
use common::traffic::*;

/// The configured cost of traffic to other zones, in tests where it has one.
const CROSS_ZONE_COST: f64 = 0.05;

fn zone_config(proxy_count: u32, zone_count: u32, cross_zone_cost: f64) -> Config {
    Config {
        proxy_count,
        zone_count,
        cross_zone_cost,
        ..Config::example()
    }
}

/// How many of 300 requests stay in the proxy's own zone, which holds a third of the backends.
fn requests_in_own_zone(cross_zone_cost: f64, proxy_count: u32) -> usize {
    let config = zone_config(proxy_count, 3, cross_zone_cost);
    let mut host = TestHost::with_endpoints(config, backends_across_zones(9, 3));
    let chosen = serve_sequentially(&mut host, 300, |_| millis(10));
    count_backends(&chosen, |backend| backend % 3 == 0)
}

#[test]
fn traffic_stays_in_its_zone_if_cross_zone_traffic_has_a_cost() {
    let with_cost = requests_in_own_zone(CROSS_ZONE_COST, 3);
    assert!(with_cost >= 270, "{with_cost} of 300 stayed");
    let without_cost = requests_in_own_zone(0.0, 3);
    assert!(
        (70..=130).contains(&without_cost),
        "{without_cost} of 300 stayed without a cost"
    );
}

#[test]
fn traffic_is_spread_over_all_backends_if_zones_have_unequal_numbers_of_proxies() {
    // Two proxies and three zones: if all traffic stayed in the proxies' own zones, the third zone
    // would receive none.
    let stayed = requests_in_own_zone(CROSS_ZONE_COST, 2);
    assert!((70..=130).contains(&stayed), "{stayed} of 300 stayed");
}

#[test]
fn the_loss_of_all_backends_in_the_own_zone_causes_no_rejections() {
    // All traffic of the proxy must go to the other zones.
    let config = zone_config(3, 3, CROSS_ZONE_COST);
    let all = backends_across_zones(9, 3);
    let mut host = TestHost::with_endpoints(config, all.clone());
    serve_sequentially(&mut host, 50, |_| millis(10));
    let other_zones = all
        .into_iter()
        .filter(|endpoint| endpoint.zone != ZoneId(0))
        .collect();
    host.update_endpoints(EndpointUpdate::Snapshot, other_zones);
    assert_eq!(
        serve_sequentially(&mut host, 100, |_| millis(10)).len(),
        100
    );
}

#[test]
fn a_zone_with_too_few_backends_sends_its_surplus_to_other_zones() {
    // One of seven backends is in the proxy's own zone. The proxies of each of the three zones send
    // a third of the traffic, so 3/7 of the own zone's traffic may stay in it.
    let endpoints = (0..7)
        .map(|id| backend(id, if id == 0 { 0 } else { 1 + id % 2 }, 0))
        .collect();
    let mut host = TestHost::with_endpoints(zone_config(3, 3, CROSS_ZONE_COST), endpoints);
    let chosen = serve_sequentially(&mut host, 400, |_| millis(10));
    let stayed = count_backends(&chosen, |backend| backend == 0);
    assert!(
        (120..=220).contains(&stayed),
        "{stayed} of 400 went to the one backend of the own zone"
    );
}

/// The result of requests that are sent while all backends are idle.
struct IdleBackendsResult {
    /// Number of requests that were not dispatched.
    rejected: usize,
    /// Number of requests that each backend received.
    received: Vec<usize>,
}

/// Number of requests that [`serve_with_idle_backends`] sends.
const REQUEST_COUNT: usize = 320;

/// Sends requests one after the other, so that all backends are idle when a request arrives.
/// `zones` gives the zone of each backend.
fn serve_with_idle_backends(
    proxy_count: u32,
    zone_count: u32,
    zones: &[u32],
) -> IdleBackendsResult {
    let endpoints = (0..)
        .zip(zones)
        .map(|(id, zone)| backend(id, *zone, 0))
        .collect();
    let config = zone_config(proxy_count, zone_count, CROSS_ZONE_COST);
    let mut host = TestHost::with_seed(config, 7, endpoints);
    let mut result = IdleBackendsResult {
        rejected: 0,
        received: vec![0; zones.len()],
    };
    for _ in 0..REQUEST_COUNT {
        let request = host.send_request(CLIENT_TIMEOUT);
        host.advance(millis(10));
        match host.backends_of(request).first() {
            Some(backend) => result.received[*backend as usize] += 1,
            None => result.rejected += 1,
        }
        host.end_attempt(request, 0, Outcome::Success);
    }
    result
}

/// Checks that all requests are served and evenly distributed, for numbers of proxies that are
/// multiples of the configured number of zones and for one proxy more.
fn assert_served_evenly(zone_count: u32, zones: &[u32]) {
    for proxy_count in [
        2 * zone_count,
        2 * zone_count + 1,
        30 * zone_count,
        30 * zone_count + 1,
    ] {
        let IdleBackendsResult { rejected, received } =
            serve_with_idle_backends(proxy_count, zone_count, zones);
        let case = format!(
            "{proxy_count} proxies, {zone_count} zones configured, backends in {zones:?}: \
             {received:?}"
        );
        assert_eq!(rejected, 0, "requests were rejected: {case}");
        assert!(
            received.iter().all(|count| *count > 0),
            "a backend received no request: {case}"
        );
        let mean = REQUEST_COUNT as f64 / zones.len() as f64;
        let most = received.iter().max().copied().unwrap_or(0) as f64;
        assert!(
            most <= mean + 4.0 * mean.sqrt(),
            "a backend received too many requests: {case}"
        );
    }
}

#[test]
fn load_is_even_with_more_zones_than_configured_and_no_backend_in_the_own_zone() {
    // 207 of 218 requests were rejected: the part of the traffic that the own zone could not take
    // was assigned to no other zone.
    let zones: Vec<u32> = (0..16).map(|id| 10 + id % 8).collect();
    assert_served_evenly(2, &zones);
}

#[test]
fn load_is_even_with_more_zones_than_configured_and_backends_in_the_own_zone() {
    let zones: Vec<u32> = (0..16).map(|id| id % 8).collect();
    assert_served_evenly(2, &zones);
}

#[test]
fn load_is_even_with_more_zones_than_configured_and_most_backends_in_one_zone() {
    // The traffic that leaves each zone was computed from the configured number of zones. Nearly
    // all of the traffic went to the largest zone.
    assert_served_evenly(2, &[0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 3, 4, 5, 6, 7]);
}

#[test]
fn load_is_even_with_as_many_zones_as_configured_and_no_backend_in_the_own_zone() {
    let two_zones: Vec<u32> = (0..16).map(|id| 10 + id % 2).collect();
    assert_served_evenly(2, &two_zones);
    let three_zones: Vec<u32> = (0..15).map(|id| 10 + id % 3).collect();
    assert_served_evenly(3, &three_zones);
}

#[test]
fn load_is_even_with_more_zones_than_configured_and_one_backend_in_the_own_zone() {
    let zones: Vec<u32> = (0..16)
        .map(|id| if id == 0 { 0 } else { 1 + id % 7 })
        .collect();
    assert_served_evenly(2, &zones);
}

#[test]
fn load_is_even_with_all_backends_in_one_other_zone() {
    assert_served_evenly(1, &[4; 10]);
    assert_served_evenly(2, &[4; 10]);
    assert_served_evenly(3, &[4; 10]);
}

#[test]
fn an_own_zone_with_one_backend_takes_its_share_and_causes_no_rejections() {
    // The endpoint list has the two configured zones. The proxy's own zone has one backend, which
    // receives its share; the proxy sends all other traffic to the other zone.
    let zones: Vec<u32> = (0..16).map(|id| u32::from(id > 0)).collect();
    for proxy_count in [4, 5, 60, 61] {
        let IdleBackendsResult { rejected, received } =
            serve_with_idle_backends(proxy_count, 2, &zones);
        assert_eq!(
            rejected, 0,
            "requests were rejected: {proxy_count} proxies, {received:?}"
        );
        assert!(
            received.iter().all(|count| *count > 0),
            "a backend received no request: {proxy_count} proxies, {received:?}"
        );
        // Half of the proxies are in the zone with one of sixteen backends, so that backend
        // receives twice its even share of their traffic.
        let zones_have_equal_proxies = proxy_count % 2 == 0;
        let own_zone = received[0];
        assert!(
            !zones_have_equal_proxies || (20..=60).contains(&own_zone),
            "the own zone received {own_zone}: {proxy_count} proxies, {received:?}"
        );
    }
}
