use super::*;
use crate::test_fixtures::START;
use crate::Tenant;

/// A configuration with three proxies and one tenant, whose quota is 30 requests per second to all
/// proxies together.
fn config() -> Config {
    let mut config = Config::example();
    config.tenants = vec![Tenant { quota_per_s: 30.0 }];
    config
}

#[test]
fn each_proxy_grants_an_even_part_of_a_quota() {
    let config = config();
    let mut quotas = TenantQuotas::new(&config);
    let mut count = |_: &usize| !quotas.count_request(START, &config, Some(TenantId(0)));
    let within_quota = (0..100).filter(&mut count).count();
    // The bucket holds the tokens of two seconds: 30 / 3 x 2.
    assert_eq!(within_quota, 20);
}

#[test]
fn requests_without_a_known_tenant_are_never_over_quota() {
    let config = config();
    let mut quotas = TenantQuotas::new(&config);
    for _ in 0..100 {
        assert!(!quotas.count_request(START, &config, None));
        assert!(!quotas.count_request(START, &config, Some(TenantId(9))));
    }
}
