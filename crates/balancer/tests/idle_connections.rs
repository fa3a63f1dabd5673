//! The limit on idle connections.

mod common;
use brookstack_balancer::*;
use common::builders::millis;
use common::test_host::TestHost;
use common::traffic::*;

#[test]
fn a_rejected_connection_limits_idle_connections_and_the_limit_then_rises_slowly() {
    // Three hundred proxies used 155 backends that accept 18 connections each. Every proxy kept an
    // idle connection to every backend that it had used. Three of four attempts were rejected, and
    // a quarter of the requests was served.
    let mut host = TestHost::one_of_a_hundred_proxies();
    serve_steadily_without_faults(&mut host, 30);
    assert_eq!(
        host.idle_connection_limit,
        u32::MAX,
        "limited before any connection was rejected"
    );
    host.handle_event(Event::ConnectionRejected {
        idle_connections: 20,
    });
    assert_eq!(host.idle_connection_limit, 10);
    host.handle_event(Event::ConnectionRejected {
        idle_connections: 10,
    });
    assert_eq!(
        host.idle_connection_limit, 10,
        "lowered again before the limits of the other proxies took effect"
    );
    host.advance(millis(300));
    host.handle_event(Event::ConnectionRejected {
        idle_connections: 10,
    });
    assert!(
        (4..=5).contains(&host.idle_connection_limit),
        "the limit is {} after the last rejected connection, expected 4 or 5",
        host.idle_connection_limit
    );
    serve_steadily_without_faults(&mut host, 60);
    let limit = host.idle_connection_limit;
    assert!(
        (6..=12).contains(&limit),
        "the limit is {limit} four seconds later"
    );
    serve_steadily_without_faults(&mut host, 900);
    assert_eq!(
        host.idle_connection_limit,
        u32::MAX,
        "the limit was not lifted although it exceeds the number of backends"
    );
}
