//! The limits on the requests that a proxy has in flight, per backend and in total, and the queue
//! of the requests that exceed them.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::test_host::TestHost;
use common::traffic::*;
use std::collections::BTreeSet;

#[test]
fn many_proxies_do_not_each_put_a_request_on_every_backend() {
    // Each of eleven proxies was allowed at least one request in flight per backend. Together they
    // overloaded every backend.
    let mut host = TestHost::with_endpoints(config_with_proxies(11), backends(22));
    host.send_burst(60, CLIENT_TIMEOUT);
    let in_flight = host.in_flight().len();
    assert!(
        (2..=14).contains(&in_flight),
        "{in_flight} in flight on 22 backends; an even share of 4 each among 11 proxies is 8"
    );
}

#[test]
fn with_many_proxies_every_backend_is_usable_and_the_total_is_limited() {
    // The limit of 4 requests in flight per backend was divided among hundreds of proxies. A given
    // proxy then had no capacity on most backends and rejected requests although backends were
    // idle. Here each proxy's share is 4 * 40 / 320 = 0.5, so a few requests may be in flight.
    let mut host = TestHost::with_endpoints(config_with_proxies(320), backends(40));
    host.send_burst(2, CLIENT_TIMEOUT);
    assert_eq!(
        host.in_flight().len(),
        2,
        "a request waits although backends are idle"
    );
    host.send_burst(40, CLIENT_TIMEOUT);
    let in_flight = host.in_flight().len();
    assert!(
        (2..=4).contains(&in_flight),
        "{in_flight} in flight, expected 2 to 4"
    );
    let attempts = host.requests.values().flat_map(|request| &request.attempts);
    let used: BTreeSet<BackendId> = attempts.map(|attempt| attempt.backend).collect();
    assert_eq!(
        used.len(),
        in_flight,
        "two requests on one backend while others are idle"
    );
}

#[test]
fn requests_beyond_the_limits_wait_in_the_queue_until_capacity_is_free() {
    let mut host = TestHost::with_endpoints(config_with_proxies(1), backends(2));
    host.send_burst(20, CLIENT_TIMEOUT);
    let in_flight = host.in_flight();
    assert!(
        (8..=10).contains(&in_flight.len()),
        "{} in flight on two backends",
        in_flight.len()
    );
    let (request, attempt) = in_flight[0];
    host.advance(millis(20));
    let before = host.in_flight().len();
    host.end_attempt(request, attempt, Outcome::Success);
    assert_eq!(
        host.in_flight().len(),
        before,
        "freed capacity is not used immediately"
    );
}

#[test]
fn requests_queued_for_unresponsive_backends_are_dispatched_once_those_have_responded() {
    // Requests that found only unresponsive backends blocked the queue. When the backends had
    // responded, the next check found none of them unresponsive, but the queue stayed blocked until
    // the next computation of the shares. Requests waited although all backends were idle.
    for proxy_count in [1, 3] {
        let mut host = TestHost::with_seed(config_with_proxies(proxy_count), 7, backends(2));
        for _ in 0..60 {
            host.send_request(CLIENT_TIMEOUT);
            host.serve_in_flight_after(millis(1));
        }
        host.send_burst(3, CLIENT_TIMEOUT);
        host.advance(millis(60));
        host.serve_in_flight();
        let request = host.send_request(CLIENT_TIMEOUT);
        host.advance(millis(10));
        assert_eq!(
            host.backends_of(request).len(),
            1,
            "{proxy_count} proxies: the request waits although backends are idle"
        );
    }
}

#[test]
fn a_proxys_requests_in_flight_stay_near_its_share_on_average() {
    // A proxy may exceed its share by a few requests to allow for random variation. After the loss
    // of half of the backends, each of a hundred proxies exceeded its share all the time. Every
    // remaining backend had twelve requests in flight and became overloaded. Here each proxy's
    // share is 4 * 60 / 100 = 2.4.
    let mut host = TestHost::one_of_a_hundred_proxies();
    let mut most = 0;
    let mut sum = 0;
    for step in 0..600 {
        host.send_request(CLIENT_TIMEOUT);
        host.advance(millis(15));
        for (request, attempt) in host.in_flight() {
            if host.attempt_age(request, attempt) >= millis(100) {
                host.end_attempt(request, attempt, Outcome::Success);
            }
        }
        let in_flight = host.in_flight().len();
        most = most.max(in_flight);
        sum += if step >= 300 { in_flight } else { 0 };
    }
    let mean = sum as f64 / 300.0;
    assert!(
        most >= 5,
        "never more than {most} in flight, even in a burst"
    );
    assert!(
        (2.0..4.2).contains(&mean),
        "{mean} in flight on average, far from the share of 2.4"
    );
}

#[test]
fn requests_on_unresponsive_backends_do_not_use_up_the_capacity_of_the_others() {
    // Seven of sixty backends became slow and had 106 of the 250 requests in flight that all
    // proxies together may have. New requests waited, although backends were idle, until they could
    // no longer be answered in time. Here a sixth of the backends is unresponsive.
    let mut host = TestHost::one_of_a_hundred_proxies();
    serve_steadily_without_faults(&mut host, 60);
    let mut queued = 0;
    for step in 0..400 {
        let request = host.send_request(seconds(4));
        host.advance(millis(40));
        if step >= 100 {
            queued += usize::from(host.backends_of(request).is_empty());
        }
        for (request, attempt) in host.in_flight() {
            if host.backends_of(request)[attempt] >= 10 {
                host.end_attempt(request, attempt, Outcome::Success);
            }
        }
    }
    assert!(
        queued <= 60,
        "{queued} of 300 were not dispatched within 40 ms"
    );
}
