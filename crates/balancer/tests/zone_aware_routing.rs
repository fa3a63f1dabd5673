//! Where crossing zones has a cost, traffic stays in the proxy's own zone as far as that zone's
//! share of the backends allows; an idle fleet serves every request and uses every backend,
//! whatever its zones are called.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::test_host::TestHost;
use common::traffic::*;

/// The cost of crossing zones, where it has one.
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
fn traffic_stays_in_its_zone_where_crossing_zones_has_a_cost() {
    let with_cost = requests_in_own_zone(CROSS_ZONE_COST, 3);
    assert!(with_cost >= 270, "{with_cost} of 300 stayed");
    let without_cost = requests_in_own_zone(0.0, 3);
    assert!(
        (70..=130).contains(&without_cost),
        "{without_cost} of 300 stayed without a cost"
    );
}

/// Two proxies over three zones: if each stayed in its own zone, the third would receive no
/// traffic.
#[test]
fn zones_with_unequal_numbers_of_proxies_share_all_backends() {
    let stayed = requests_in_own_zone(CROSS_ZONE_COST, 2);
    assert!((70..=130).contains(&stayed), "{stayed} of 300 stayed");
}

/// If its own zone is out of use, a proxy's traffic goes to the other zones, as many as there are.
#[test]
fn a_zone_without_backends_causes_no_rejections() {
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
    // The own zone holds one of seven backends; the proxies of three zones bring a third of the
    // traffic each, so that 3/7 of it may stay.
    let endpoints = (0..7)
        .map(|id| backend(id, if id == 0 { 0 } else { 1 + id % 2 }, 0))
        .collect();
    let mut host = TestHost::with_endpoints(zone_config(3, 3, CROSS_ZONE_COST), endpoints);
    let chosen = serve_sequentially(&mut host, 400, |_| millis(10));
    let stayed = count_backends(&chosen, |backend| backend == 0);
    assert!(
        (120..=220).contains(&stayed),
        "{stayed} of 400 stayed on the one backend of the own zone"
    );
}

/// What came of requests to an idle fleet.
struct IdleFleetResult {
    /// Requests that were not dispatched.
    rejected: usize,
    /// Requests that each backend received.
    received: Vec<usize>,
}

/// The requests sent to an idle fleet.
const IDLE_FLEET_REQUESTS: usize = 320;

/// Sends requests one by one to an idle fleet; `zones` are the zones of its backends.
fn serve_idle_fleet(proxy_count: u32, zone_count: u32, zones: &[u32]) -> IdleFleetResult {
    let endpoints = (0..)
        .zip(zones)
        .map(|(id, zone)| backend(id, *zone, 0))
        .collect();
    let config = zone_config(proxy_count, zone_count, CROSS_ZONE_COST);
    let mut host = TestHost::with_seed(config, 7, endpoints);
    let mut result = IdleFleetResult {
        rejected: 0,
        received: vec![0; zones.len()],
    };
    for _ in 0..IDLE_FLEET_REQUESTS {
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

/// Checks that all requests are served and evenly distributed, with as many proxies as the
/// configured zones divide and with one more.
fn assert_served_evenly(zone_count: u32, zones: &[u32]) {
    for proxy_count in [
        2 * zone_count,
        2 * zone_count + 1,
        30 * zone_count,
        30 * zone_count + 1,
    ] {
        let IdleFleetResult { rejected, received } =
            serve_idle_fleet(proxy_count, zone_count, zones);
        let case = format!(
            "{proxy_count} proxies, {zone_count} zones configured, backends in {zones:?}: \
             {received:?}"
        );
        assert_eq!(rejected, 0, "{case}");
        assert!(received.iter().all(|count| *count > 0), "{case}");
        let mean = IDLE_FLEET_REQUESTS as f64 / zones.len() as f64;
        let most = received.iter().max().copied().unwrap_or(0) as f64;
        assert!(most <= mean + 4.0 * mean.sqrt(), "{case}");
    }
}

#[test]
fn more_zones_than_configured_and_the_own_not_among_them_are_served_evenly() {
    // 207 of 218 requests were once rejected here: the share of the traffic that the own zone could
    // not take was given to no other zone.
    let zones: Vec<u32> = (0..16).map(|id| 10 + id % 8).collect();
    assert_served_evenly(2, &zones);
}

#[test]
fn more_zones_than_configured_and_the_own_among_them_are_served_evenly() {
    let zones: Vec<u32> = (0..16).map(|id| id % 8).collect();
    assert_served_evenly(2, &zones);
}

#[test]
fn more_zones_than_configured_of_which_one_holds_most_backends_are_served_evenly() {
    // When traffic left the other zones by the configured number of zones, nearly all of it went to
    // the largest zone.
    assert_served_evenly(2, &[0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 3, 4, 5, 6, 7]);
}

#[test]
fn as_many_zones_as_configured_and_the_own_not_among_them_are_served_evenly() {
    let two_zones: Vec<u32> = (0..16).map(|id| 10 + id % 2).collect();
    assert_served_evenly(2, &two_zones);
    let three_zones: Vec<u32> = (0..15).map(|id| 10 + id % 3).collect();
    assert_served_evenly(3, &three_zones);
}

#[test]
fn an_own_zone_with_one_backend_of_many_is_served_evenly() {
    let zones: Vec<u32> = (0..16)
        .map(|id| if id == 0 { 0 } else { 1 + id % 7 })
        .collect();
    assert_served_evenly(2, &zones);
}

#[test]
fn a_single_zone_that_is_not_the_own_is_served_evenly() {
    assert_served_evenly(1, &[4; 10]);
    assert_served_evenly(2, &[4; 10]);
    assert_served_evenly(3, &[4; 10]);
}

/// Where the list has the configured zones, a proxy in a tiny zone keeps that zone's share and
/// sends the rest to other zones.
#[test]
fn a_tiny_own_zone_among_the_configured_ones_causes_no_rejections() {
    let zones: Vec<u32> = (0..16).map(|id| u32::from(id > 0)).collect();
    for proxy_count in [4, 5, 60, 61] {
        let IdleFleetResult { rejected, received } = serve_idle_fleet(proxy_count, 2, &zones);
        assert_eq!(rejected, 0, "{proxy_count} proxies: {received:?}");
        assert!(
            received.iter().all(|count| *count > 0),
            "{proxy_count} proxies: {received:?}"
        );
        // Half of the proxies are in the zone with one of sixteen backends: it receives twice its
        // share of their traffic.
        let is_divided_by_zones = proxy_count % 2 == 0;
        let own_zone = received[0];
        assert!(
            !is_divided_by_zones || (20..=60).contains(&own_zone),
            "{proxy_count} proxies: {received:?}"
        );
    }
}
