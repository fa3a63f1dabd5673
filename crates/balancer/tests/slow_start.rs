//! How much traffic one proxy sends to backends in slow start.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::test_host::TestHost;
use common::traffic::*;

/// A configuration in which backends start with a tenth of their capacity and fail if they are sent
/// more than twice the work that they can do.
fn slow_start_config(proxy_count: u32) -> Config {
    Config {
        slow_start_floor: 0.1,
        overload_multiple: 2.0,
        ..config_with_proxies(proxy_count)
    }
}

#[test]
fn a_backend_in_slow_start_receives_no_more_than_its_quota() {
    let mut host = TestHost::with_endpoints(slow_start_config(1), backends(3));
    serve_sequentially(&mut host, 200, |_| millis(20));
    let restarted = Endpoint {
        started_at: Some(host.now),
        ..backend(9, 0, 0)
    };
    host.update_endpoints(EndpointUpdate::Delta, vec![restarted]);
    // This takes two seconds, which is one overload window.
    let chosen = serve_sequentially(&mut host, 100, |_| millis(20));
    let received = count_backends(&chosen, |backend| backend == 9);
    // The balancer estimates the speed of a backend as 1 / latency + rate, here 50 + 17 requests a
    // second. The limit in slow start is a tenth of that, doubled, over two seconds: 27 at most.
    assert!(
        (1..=14).contains(&received),
        "{received} of 100 went to the backend in slow start"
    );
}

#[test]
fn a_burst_does_not_overload_a_backend_in_slow_start() {
    let mut host = TestHost::with_endpoints(slow_start_config(3), backends(12));
    serve_sequentially(&mut host, 100, |_| millis(20));
    let restarted_at = host.now;
    let restarted = backends(12).into_iter().map(|backend| Endpoint {
        started_at: Some(restarted_at),
        ..backend
    });
    host.update_endpoints(EndpointUpdate::Snapshot, restarted.collect());
    let mut dispatched = 0;
    for _ in 0..25 {
        host.send_burst(4, CLIENT_TIMEOUT);
        host.advance(millis(20));
        dispatched += host.in_flight().len();
        host.serve_in_flight();
    }
    let received = |backend: u64| {
        let attempts = host.requests.values().flat_map(|request| &request.attempts);
        let since_restart = attempts.filter(|attempt| attempt.dispatched_at >= restarted_at);
        since_restart
            .filter(|attempt| attempt.backend == BackendId(backend))
            .count()
    };
    let most = (0..12).map(received).max();
    // Requests take 20 ms, so a backend serves at most 100 a second. The limit is a tenth of that,
    // doubled, over two seconds; one of three proxies may send a third of it: 13 to each backend.
    assert!(
        dispatched >= 1 && most <= Some(13),
        "{dispatched} dispatched, {most:?} to one backend in slow start"
    );
}

#[test]
fn many_proxies_do_not_overload_an_idle_backend_in_slow_start_if_the_others_are_overloaded() {
    // The live weights of all other backends were low, so the backend in slow start received a
    // greater share of the traffic than they did.
    let config = Config {
        live_weights: true,
        slow_start_duration: seconds(1_000),
        ..slow_start_config(126)
    };
    let mut host = TestHost::with_endpoints(config, backends(36));
    serve_sequentially(&mut host, 60, |_| millis(30));
    let overloaded = backends(36).into_iter().map(|backend| Endpoint {
        weight: 0.02,
        ..backend
    });
    let restarted = Endpoint {
        started_at: Some(host.now),
        ..backend(36, 0, 0)
    };
    host.update_endpoints(
        EndpointUpdate::Snapshot,
        overloaded.chain([restarted]).collect(),
    );
    let chosen = serve_sequentially(&mut host, 300, |_| millis(30));
    let received = count_backends(&chosen, |backend| backend == 36);
    assert!(
        received <= 5,
        "{received} of 300 went to the backend in slow start, whose share of the capacity is less \
         than a hundredth"
    );
}
