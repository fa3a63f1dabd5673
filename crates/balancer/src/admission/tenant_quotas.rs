//! The tenants' quotas, measured with one token bucket for each tenant.

use super::token_bucket::TokenBucket;
use crate::{Config, TenantId, Time};

/// How much of its quota each tenant has used at this proxy.
///
/// It owns the buckets. The quotas themselves are passed in with the configuration; each proxy
/// grants an even part of them.
pub(crate) struct TenantQuotas {
    /// By the index of the tenant.
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Quotas of which nothing has been used.
    pub fn new(config: &Config) -> TenantQuotas {
        let buckets = config.tenants.iter().map(|_| TokenBucket::default());
        TenantQuotas {
            buckets: buckets.collect(),
        }
    }

    /// Counts a request against its tenant's quota; returns whether the request is beyond it.
    pub fn count_request(&mut self, now: Time, config: &Config, tenant: Option<TenantId>) -> bool {
        let Some(TenantId(index)) = tenant else {
            return false;
        };
        let Some(tenant) = config.tenants.get(index) else {
            return false;
        };
        let own_quota = tenant.quota_per_s / f64::from(config.proxy_count);
        !self.buckets[index].take(now, own_quota)
    }
}

#[cfg(test)]
mod tests;
