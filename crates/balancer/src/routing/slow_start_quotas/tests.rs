use super::*;
use crate::test_fixtures::{endpoint, SECOND, START};
use crate::Endpoint;

const PROXIES: u32 = 300;
const BACKEND: BackendId = BackendId(7);

fn started_at(time: Option<Time>) -> Backend {
    let mut backend = Backend::default();
    backend.update_endpoint(Endpoint {
        started_at: time,
        ..endpoint(BACKEND.0)
    });
    backend
}

/// The quota that one of [`PROXIES`] proxies has for a backend. Each proxy admits 20 requests/s.
fn quota(config: &Config, replica_index: u32, backend: &Backend) -> SlowStartQuota {
    let plan = SlowStartPlan {
        now: START + SECOND,
        config,
        peers: Peers {
            per_backend: f64::from(PROXIES),
        },
        replica_index: u64::from(replica_index),
        backend_count: 200,
        own_rate: Some(20.0),
        window_fraction: 1.0,
    };
    plan.quota(BACKEND, backend, &MachineType::default(), 0.005, 1.0)
}

#[test]
fn the_quotas_of_all_proxies_add_up_to_less_than_the_overload_limit() {
    let config = Config::example();
    let backend = started_at(Some(START));
    // The machine type's speed is unknown, so 20 x 300 / 200 x 0.5 = 15 requests/s are assumed. A
    // tenth of the slow start is over.
    let warmup = 0.3 + 0.7 * 0.1;
    let limit = 3.0 * warmup * 15.0 * 2.0;
    let quotas = (0..PROXIES).map(|index| quota(&config, index, &backend).work);
    let sum: f64 = quotas.sum();
    assert!(
        (sum - limit * DIVIDED_LIMIT_FRACTION).abs() < 2.0,
        "the quotas add up to {sum}, the overload limit is {limit}"
    );
}

#[test]
fn a_proxy_without_a_quota_has_the_same_planned_share_and_no_local_share() {
    let config = Config::example();
    let backend = started_at(Some(START));
    let quotas: Vec<_> = (0..PROXIES)
        .map(|index| quota(&config, index, &backend))
        .collect();
    assert!(quotas.iter().any(|quota| quota.work == 0.0));
    for quota in &quotas {
        assert_eq!(quota.planned_share, quotas[0].planned_share);
        assert_eq!(quota.local_share > 0.0, quota.work > 0.0);
    }
}

#[test]
fn the_quota_is_infinite_after_slow_start_and_without_an_overload_window() {
    let mut config = Config::example();
    let long_ago = quota(&config, 0, &started_at(None));
    assert_eq!(long_ago.work, f64::INFINITY);
    assert_eq!(long_ago.local_share, 0.005);
    config.overload_window = Micros(0);
    let no_window = quota(&config, 0, &started_at(Some(START)));
    assert_eq!(no_window.work, f64::INFINITY);
}
