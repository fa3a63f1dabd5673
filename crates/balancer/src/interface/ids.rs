//! Identifiers.
//!
//! The host assigns all identifiers except timer tokens and attempt numbers. Backends, zones,
//! cells and machine types must have the same ids in all proxies: slow-start quotas and concurrency
//! limits are computed from the ids of backends, and subsets from the ids of all four. Class and
//! tenant ids are indexes into the configuration. Request ids and timer tokens are only compared.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A client request; the host never reuses an id.
    RequestId(u64);
    /// A backend; all proxies use the same id for it, which is derived from the backend's name.
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
    /// A timer; tokens are unique within one balancer.
    TimerToken(u64);
}
