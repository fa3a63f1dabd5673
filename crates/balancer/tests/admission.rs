//! Admission: which requests are admitted, which are rejected to shed load, and which are served
//! first.

mod common;
use brookstack_balancer::*;
use common::builders::*;
use common::records::Completion;
use common::test_host::TestHost;
use common::traffic::*;

#[test]
fn requests_are_rejected_before_their_deadline_if_there_are_no_backends() {
    let classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
    ];
    let mut host = TestHost::with_endpoints(config_with_classes(classes), Vec::new());
    let requests = [
        host.send_request_of_class(0, millis(700)),
        host.send_request_of_class(1, millis(700)),
    ];
    host.advance(millis(500));
    assert_eq!(host.count_completed(&requests, Completion::Rejected), 2);
}

#[test]
fn a_request_with_a_short_timeout_after_idleness_is_rejected_in_time() {
    // While no request was open, the timer was set to ten ticks. A request with a shorter timeout
    // that then arrived got its response only after its deadline. The property tests found this.
    let mut host = TestHost::with_endpoints(Config::example(), Vec::new());
    host.advance(seconds(1));
    let request = host.send_request(millis(6));
    host.advance(millis(20));
    assert_eq!(host.completion(request), Some(Completion::Rejected));
}

/// Sends 60 requests one after the other, each served after `latency`; returns how many were
/// rejected.
fn rejected_of_60(host: &mut TestHost, latency: Micros) -> usize {
    let mut requests = Vec::new();
    for _ in 0..60 {
        let request = host.send_request(CLIENT_TIMEOUT);
        host.advance(latency);
        host.end_attempt(request, 0, Outcome::Success);
        requests.push(request);
    }
    host.count_completed(&requests, Completion::Rejected)
}

#[test]
fn load_is_shed_while_responses_are_late_and_admitted_again_when_they_are_fast() {
    // Backends that had too many requests of all proxies together in flight stayed overloaded and
    // slow.
    let mut host = TestHost::with_endpoints(config_with_proxies(300), backends(60));
    assert_eq!(
        rejected_of_60(&mut host, millis(100)),
        0,
        "load was shed although responses were fast"
    );
    assert!(
        rejected_of_60(&mut host, millis(450)) > 20,
        "too little load was shed while responses were slow"
    );
    for _ in 0..6 {
        assert!(
            rejected_of_60(&mut host, millis(100)) < 60,
            "all requests were rejected, so the proxy cannot notice that responses are fast again"
        );
    }
    assert!(
        rejected_of_60(&mut host, millis(100)) <= 10,
        "load was still shed long after responses were fast again"
    );
}

#[test]
fn a_clients_retry_waits_behind_first_attempts() {
    // Retries by clients were treated as new requests. The newest requests are sent first, so these
    // retries made all requests late.
    let mut host = TestHost::with_endpoints(config_with_proxies(1), backends(1));
    let burst = host.send_burst(8, CLIENT_TIMEOUT);
    host.advance(millis(5));
    let first = host.send_request(CLIENT_TIMEOUT);
    host.requests_are_retries = true;
    let retry = host.send_request(CLIENT_TIMEOUT);
    host.advance(millis(15));
    for request in burst {
        host.end_attempt(request, 0, Outcome::Success);
    }
    let dispatched_at = |request: RequestId| {
        let attempts = &host.requests[&request].attempts;
        attempts.first().map(|attempt| attempt.dispatched_at)
    };
    let first_at = dispatched_at(first).expect("the first attempt was dispatched");
    assert!(
        dispatched_at(retry).is_none_or(|at| at >= first_at),
        "the retry was dispatched first"
    );
}

#[test]
fn traffic_over_quota_leaves_capacity_to_other_tenants() {
    let tenants = vec![
        Tenant { quota_per_s: 1.0 },
        Tenant {
            quota_per_s: 1_000.0,
        },
    ];
    let config = Config {
        tenants,
        ..config_with_proxies(1)
    };
    let mut host = TestHost::with_endpoints(config, backends(2));
    let flood: Vec<RequestId> = (0..30)
        .map(|_| host.send_request_of_tenant(0, CLIENT_TIMEOUT, Some(TenantId(0))))
        .collect();
    let dispatched = flood
        .iter()
        .filter(|request| !host.backends_of(**request).is_empty())
        .count();
    let other = host.send_request_of_tenant(0, CLIENT_TIMEOUT, Some(TenantId(1)));
    assert!(
        dispatched <= 6,
        "{dispatched} of the requests over quota were dispatched"
    );
    assert_eq!(
        host.backends_of(other).len(),
        1,
        "the request of the other tenant waits behind requests over quota"
    );
}

#[test]
fn the_class_with_the_greater_priority_weight_is_served_first_in_overload() {
    let low = class(Idempotency::Idempotent);
    let high = Class {
        priority_weight: 8.0,
        ..class(Idempotency::Idempotent)
    };
    let config = Config {
        proxy_count: 1,
        ..config_with_classes(vec![low, high])
    };
    let mut host = TestHost::with_endpoints(config, backends(1));
    let requests: Vec<RequestId> = (0..60)
        .map(|index| host.send_request_of_class(index % 2, CLIENT_TIMEOUT))
        .collect();
    for _ in 0..6 {
        host.serve_in_flight_after(millis(60));
    }
    host.advance(millis(900));
    let served = |class: usize| {
        let of_class: Vec<RequestId> = requests.iter().skip(class).step_by(2).copied().collect();
        host.count_completed(&of_class, Completion::Served)
    };
    let (low, high) = (served(0), served(1));
    assert!(
        high > low,
        "{high} requests of high and {low} of low priority weight were served"
    );
}

#[test]
fn responses_within_the_latency_objective_shed_almost_no_load_after_the_start() {
    // Until the latency of an unloaded backend was known, responses well within the latency
    // objective counted as late.
    let mut host = TestHost::with_endpoints(config_with_proxies(300), backends(60));
    let dispatched = serve_sequentially(&mut host, 60, |_| millis(150)).len();
    assert!(dispatched >= 57, "{dispatched} of 60 were dispatched");
}

#[test]
fn a_response_counts_as_late_as_soon_as_its_objective_has_passed() {
    // Under overload, late responses arrived a second or two after their objective and counted only
    // then. The backends stayed overloaded in the meantime.
    let mut host = TestHost::with_endpoints(config_with_proxies(300), backends(600));
    serve_sequentially(&mut host, 60, |_| millis(30));
    let mut rejected = 0;
    for _ in 0..30 {
        host.advance(millis(150)); // no request gets a response
        let request = host.send_request(seconds(20));
        rejected += usize::from(host.completion(request) == Some(Completion::Rejected));
    }
    assert!(rejected >= 8, "{rejected} of 30 were rejected");
}

#[test]
fn a_few_late_responses_at_light_load_shed_nothing() {
    // The admitted fraction was limited to one and fell with each late response, so random
    // variation alone shed a tenth of the requests at light load. Here one of eight responses is
    // late; only if a third were late would there be a reason to shed load.
    let mut host = TestHost::one_of_a_hundred_proxies();
    let mut requests = Vec::new();
    for index in 0..600 {
        let request = host.send_request(CLIENT_TIMEOUT);
        host.advance(if index % 8 == 7 {
            millis(400)
        } else {
            millis(50)
        });
        host.end_attempt(request, 0, Outcome::Success);
        requests.push(request);
    }
    let rejected = host.count_completed(&requests, Completion::Rejected);
    assert!(rejected <= 2, "{rejected} of 600 rejected");
}

#[test]
fn rejections_by_draining_backends_shed_no_load() {
    // Proxies were notified late of a release. Half of the attempts went to draining backends and
    // were rejected by them. The requests were served in time by other backends, but each rejection
    // lowered the admitted fraction of the traffic.
    let mut host = TestHost::one_of_a_hundred_proxies();
    serve_steadily_without_faults(&mut host, 60);
    let mut requests = Vec::new();
    for index in 0..300 {
        let request = host.send_request(CLIENT_TIMEOUT);
        let is_draining = |backend: u32| backend / 6 == index / 30 || backend % 3 == 0;
        for attempt in 0..6 {
            host.advance(millis(10));
            if let Some(&backend) = host.backends_of(request).get(attempt) {
                let outcome = if is_draining(backend) {
                    Outcome::Rejected
                } else {
                    Outcome::Success
                };
                host.end_attempt(request, attempt, outcome);
            }
        }
        requests.push(request);
    }
    let rejected = host.count_completed(&requests, Completion::Rejected);
    assert!(rejected <= 6, "{rejected} of 300 rejected");
}
