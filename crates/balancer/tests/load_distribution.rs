//! How traffic is distributed over machine types and over the backends of one machine type.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::test_host::TestHost;
use common::traffic::*;

#[test]
fn at_light_load_the_faster_machine_type_takes_nearly_all_traffic() {
    let mut host =
        TestHost::with_endpoints(config_with_proxies(1), backends_of_two_machine_types(6));
    let is_fast = |backend: u32| backend % 2 == 0;
    let latency = |backend: u32| {
        if is_fast(backend) {
            millis(20)
        } else {
            millis(80)
        }
    };
    serve_sequentially(&mut host, 150, latency);
    let chosen = serve_sequentially(&mut host, 100, latency);
    let fast = count_backends(&chosen, is_fast);
    assert!(fast >= 95, "{fast} of 100 went to the faster machine type");
}

#[test]
fn within_a_machine_type_traffic_is_distributed_evenly() {
    let mut host = TestHost::with_endpoints(config_with_proxies(1), backends(4));
    let chosen = serve_sequentially(&mut host, 800, |_| millis(20));
    for backend in 0..4 {
        let received = count_backends(&chosen, |chosen| chosen == backend);
        assert!(
            (150..=250).contains(&received),
            "backend {backend} received {received} of 800"
        );
    }
}

/// How many of 200 requests go to one of four backends after its weight in the endpoint list has
/// fallen to a twentieth.
fn received_at_low_weight(live_weights: bool) -> usize {
    let config = Config {
        live_weights,
        ..Config::example()
    };
    let mut host = TestHost::with_endpoints(config, backends(4));
    serve_sequentially(&mut host, 20, |_| millis(10));
    let low_weight = Endpoint {
        weight: 0.05,
        ..backend(0, 0, 0)
    };
    host.update_endpoints(EndpointUpdate::Delta, vec![low_weight]);
    host.advance(seconds(1));
    let chosen = serve_sequentially(&mut host, 200, |_| millis(10));
    count_backends(&chosen, |backend| backend == 0)
}

#[test]
fn a_backend_with_a_low_live_weight_receives_less_traffic() {
    // Unresponsive and overloaded backends had tens of requests in flight each. Only their live
    // weights in the endpoint list showed this.
    let with_live_weights = received_at_low_weight(true);
    assert!(
        with_live_weights <= 10,
        "{with_live_weights} of 200 went to the overloaded backend with live weights"
    );
    let without = received_at_low_weight(false);
    assert!(
        without >= 30,
        "{without} of 200 went to the overloaded backend without live weights"
    );
}

#[test]
fn one_slow_backend_does_not_make_its_machine_type_look_slow() {
    // One faulty backend made its machine type look slow. The type received no traffic although
    // requests that the fast machine type had no capacity for were rejected.
    let mut host =
        TestHost::with_endpoints(config_with_proxies(40), backends_of_two_machine_types(12));
    let latency = |backend: u32| {
        if backend == 1 {
            millis(380)
        } else {
            millis(30)
        }
    };
    let chosen = serve_sequentially(&mut host, 600, latency);
    let received = count_backends(&chosen[200..], |backend| backend % 2 == 1);
    assert!(
        received >= 270,
        "{received} of 400 went to the machine type with the slow backend"
    );
}

#[test]
fn a_slow_backend_receives_less_traffic_even_if_a_proxy_rarely_uses_it() {
    // Overloaded backends had 111 of 190 requests in flight while other backends were idle. Their
    // responses came too late to be counted, and a late response that was counted had the same
    // effect as a fast one. Here a tenth of the backends takes six times as long as the others to
    // respond.
    let mut host = TestHost::one_of_a_hundred_proxies();
    serve_steadily_without_faults(&mut host, 60);
    let is_slow = |backend: u32| backend < 6;
    let mut served = Vec::new();
    for step in 0..900 {
        host.send_request(seconds(4));
        host.advance(millis(60));
        for (request, attempt) in host.in_flight() {
            let backend = host.backends_of(request)[attempt];
            if is_slow(backend) && host.attempt_age(request, attempt) < millis(360) {
                continue;
            }
            host.end_attempt(request, attempt, Outcome::Success);
            if step >= 300 {
                served.push(backend);
            }
        }
    }
    let total = served.len();
    let slow = count_backends(&served, is_slow);
    assert!(
        total >= 500 && slow * 18 < total,
        "{slow} of {total} responses came from the slow tenth of the backends"
    );
}
