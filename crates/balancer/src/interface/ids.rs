//! Identifiers.
//!
//! The host assigns all of them except timer tokens and attempt numbers. Backend ids must be the
//! same in all proxies: slow-start quotas, concurrency limits and subsets are computed from them.
//! Class and tenant ids are indexes into the configuration. The balancer only compares all others.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One client request; never reused.
    RequestId(u64);
    /// A backend, by its name; every proxy uses the same number for it.
    BackendId(u64);
    /// An availability zone.
    ZoneId(u64);
    /// A group of backends that share a store of idempotency keys.
    CellId(u64);
    /// A machine type: backends of one type are assumed to be equally fast.
    MachineTypeId(u64);
    /// Index into [`Config::classes`](crate::Config::classes).
    ClassId(usize);
    /// Index into [`Config::tenants`](crate::Config::tenants).
    TenantId(usize);
    /// Number of an attempt within its request, from 0 in the order of dispatch.
    AttemptNumber(u32);
    /// Identifies a timer of the balancer that set it.
    TimerToken(u64);
}
