//! What one proxy sends to backends that are warming up.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::test_host::TestHost;
use common::traffic::*;

/// A configuration whose backends start at a tenth of their capacity and fail at twice what they
/// can serve.
fn slow_start_config(proxy_count: u32) -> Config {
    Config {
        slow_start_floor: 0.1,
        overload_multiple: 2.0,
        ..config_with_proxies(proxy_count)
    }
}

#[test]
fn a_warming_backend_stays_within_its_slow_start_quota() {
    let mut host = TestHost::with_endpoints(slow_start_config(1), backends(3));
    serve_sequentially(&mut host, 200, |_| millis(20));
    let warming = Endpoint {
        started_at: Some(host.now),
        ..backend(9, 0, 0)
    };
    host.update_endpoints(EndpointUpdate::Delta, vec![warming]);
    // Two seconds, which is one overload window.
    let chosen = serve_sequentially(&mut host, 100, |_| millis(20));
    let received = count_backends(&chosen, |backend| backend == 9);
    // A warm backend serves about 50 + 17 a second: at a tenth of that, twice over, for two
    // seconds, 27 at most.
    assert!(
        (1..=14).contains(&received),
        "{received} of 100 went to the warming backend"
    );
}

#[test]
fn a_burst_does_not_overload_a_warming_backend() {
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
    // Served in 20 ms: 100 a second at most; at a tenth, doubled, over two seconds, a third of it:
    // 13 each.
    assert!(
        dispatched >= 1 && most <= Some(13),
        "{dispatched} dispatched, {most:?} to one warming backend"
    );
}

#[test]
fn many_proxies_do_not_overload_an_idle_warming_backend_beside_overloaded_ones() {
    // Live weights were low on all warm backends, so that the warming one received a greater share
    // than they did.
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
    let warming = Endpoint {
        started_at: Some(host.now),
        ..backend(36, 0, 0)
    };
    host.update_endpoints(
        EndpointUpdate::Snapshot,
        overloaded.chain([warming]).collect(),
    );
    let chosen = serve_sequentially(&mut host, 300, |_| millis(30));
    let received = count_backends(&chosen, |backend| backend == 36);
    assert!(
        received <= 5,
        "{received} of 300 went to the warming backend, while its share of the capacity is under a \
         hundredth"
    );
}
