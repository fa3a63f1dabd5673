//! The tenants' quotas of requests per second, measured with one token bucket per tenant.

use super::token_bucket::TokenBucket;
use crate::{Config, TenantId, Time};

/// The use of each tenant's quota at this proxy.
///
/// It owns the buckets. The quotas are passed in with the configuration. Each proxy grants an even
/// part of a quota, which applies to all proxies together.
pub(crate) struct TenantQuotas {
    /// One bucket for each tenant, by the index of the tenant.
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Creates the quotas with nothing used.
    pub fn new(config: &Config) -> TenantQuotas {
        let buckets = config.tenants.iter().map(|_| TokenBucket::default());
        TenantQuotas {
            buckets: buckets.collect(),
        }
    }

    /// Counts a request against its tenant's quota; returns whether it exceeds the quota. A request
    /// without a known tenant never does.
    pub fn count_request(&mut self, now: Time, config: &Config, tenant: Option<TenantId>) -> bool {
        let Some(TenantId(index)) = tenant else {
            return false;
        };
        let Some(tenant) = config.tenants.get(index) else {
            return false;
        };
        let proxy_quota = tenant.quota_per_s / f64::from(config.proxy_count);
        !self.buckets[index].take(now, proxy_quota)
    }
}

#[cfg(test)]
mod tests;
