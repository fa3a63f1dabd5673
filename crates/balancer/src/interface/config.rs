//! The configuration of a balancer.
//!
//! [`settings::read`](crate::settings::read) reads it from the JSON settings of a deployment.
//!
//! Weights and costs are relative to each other and have no unit. They define the operators'
//! objective, which the balancer tries to maximize: a weighted sum of how well all traffic is
//! served and how well the worst-served class is served, less the cost of requests that cross
//! zones.

use crate::{Micros, ZoneId};

/// The expectation that [`ConfigError`] reports for a setting from 0 to 1.
const FRACTION: &str = "a fraction from 0 to 1";

/// The configuration of one proxy's balancer. It does not change while the balancer runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of proxies that share the traffic, including this one.
    pub proxy_count: u32,
    /// Index of this proxy among the proxies, from 0.
    pub proxy_index: u32,
    /// The zone in which this proxy runs.
    pub zone: ZoneId,
    /// Number of zones in the deployment.
    pub zone_count: u32,
    /// The traffic classes; a [`ClassId`](crate::ClassId) is an index into them.
    pub classes: Vec<Class>,
    /// The tenants, possibly none; a [`TenantId`](crate::TenantId) is an index into them.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// Weight of the traffic of all classes together in the operators' objective, from 0 to 1.
    pub overall_goal_weight: f64,
    /// Weight of the worst-served class in the operators' objective, from 0 to 1.
    pub worst_class_goal_weight: f64,
    /// Decrease of the operators' objective if every request crosses zones once; 0 if crossing
    /// zones costs nothing, so that zones are not taken into account.
    pub cross_zone_cost: f64,
    /// How the balancer receives the endpoint list.
    pub discovery: DiscoveryMode,
    /// How long the endpoint list may be used without a new answer of discovery.
    pub list_terms: ListTerms,
    /// Whether the weights of the endpoint list are load reports. Such a weight is the backend's
    /// nominal size divided by (1 + requests in flight per core). It lags behind the actual load.
    pub live_weights: bool,
    /// Maximum number of attempts per request, including the first one.
    pub max_attempts: u32,
    /// Whether the balancer may cancel attempts in flight.
    pub cancellation_allowed: bool,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging_allowed: bool,
    /// Granularity of the host's timers: the balancer sets no timer that is shorter.
    pub tick: Micros,
    /// Least capacity of a backend that has just started, as a fraction of its full capacity.
    pub slow_start_floor: f64,
    /// Time after its start within which a backend reaches its full capacity.
    pub slow_start_duration: Micros,
    /// A backend in slow start fails if, within an [`overload_window`](Config::overload_window), it
    /// is sent more than this multiple of the work that its present capacity allows.
    pub overload_multiple: f64,
    /// The time over which the work sent to a backend in slow start is compared with its capacity;
    /// 0 if backends in slow start do not fail under load.
    pub overload_window: Micros,
}

/// A traffic class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A response within this time after the arrival of the request counts with its full weight.
    pub latency_objective: Micros,
    /// This multiple of a request's work hint is added to its latency objective.
    pub objective_per_work: f64,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// The weight of a request in the operators' objective.
    pub priority_weight: f64,
    /// The weight of a response after the latency objective, as a fraction of the weight of a
    /// response within it.
    pub late_weight: f64,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated at any time.
    Idempotent,
    /// Requests have idempotency keys, by which the backends of one scope discard duplicates.
    IdempotencyKey {
        /// Which backends discard each other's duplicates.
        scope: KeyScope,
        /// How long the backends remember a key, counted from the time of the first send.
        window: Micros,
    },
    /// The request must not be repeated if it may have been executed.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a request that may have been executed may be sent again to any backend.
    pub fn is_repeatable_anywhere(self) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { scope, .. } => scope == KeyScope::All,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Which backends discard each other's duplicates; `None` if requests have no idempotency keys.
    pub fn key_scope(self) -> Option<KeyScope> {
        match self {
            Idempotency::IdempotencyKey { scope, .. } => Some(scope),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }
}

/// Which backends discard each other's duplicates of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A tenant: a customer whose requests share one quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all proxies, that count with their full weight. Requests beyond
    /// this rate have the weight [`Config::over_quota_weight`].
    pub quota_per_s: f64,
}

/// How the balancer receives the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes all changes; the balancer never polls.
    Push,
    /// Discovery sends changes only while a watch is open. The balancer opens one with
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    Watch {
        /// Time within which a proxy has to poll: after it, a proxy counts as notified of a change
        /// even if it has not polled.
        poll_within: Micros,
    },
}

/// How long the endpoint list may be used without a new answer of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListTerms {
    /// For less than 6 s after a complete answer, or, where changes are pushed, as long as no
    /// answer is spoilt and the agent stays the same. The host asks for an answer to a watch so
    /// often that the list stays confirmed. These are the terms of proxies on a network.
    AfterAnswer,
    /// As long as a watch is open, which reports every change, or the proxy polls in time. These
    /// are the terms of the operators' simulator.
    WhilePolling,
}

impl Config {
    /// A small valid configuration: one zone, three proxies, one idempotent class.
    pub fn example() -> Config {
        Config {
            proxy_count: 3,
            proxy_index: 0,
            zone: ZoneId(0),
            zone_count: 1,
            classes: vec![Class {
                latency_objective: Micros(500_000),
                objective_per_work: 0.0,
                idempotency: Idempotency::Idempotent,
                priority_weight: 1.0,
                late_weight: 0.0,
            }],
            tenants: Vec::new(),
            over_quota_weight: 0.1,
            overall_goal_weight: 1.0,
            worst_class_goal_weight: 0.0,
            cross_zone_cost: 0.0,
            discovery: DiscoveryMode::Push,
            list_terms: ListTerms::AfterAnswer,
            live_weights: false,
            max_attempts: 3,
            cancellation_allowed: true,
            hedging_allowed: true,
            tick: Micros(5_000),
            slow_start_floor: 0.3,
            slow_start_duration: Micros(10_000_000),
            overload_multiple: 3.0,
            overload_window: Micros(2_000_000),
        }
    }

    /// Checks that every field is within its range.
    ///
    /// # Errors
    ///
    /// Reports the first field that is out of its range, by its path in the deployment's settings.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.validate_fleet()?;
        self.classes.iter().try_for_each(Class::validate)?;
        self.tenants.iter().try_for_each(Tenant::validate)?;
        self.validate_objective()?;
        self.validate_limits()
    }

    fn validate_fleet(&self) -> Result<(), ConfigError> {
        require(self.proxy_count > 0, "group_size", "at least 1")?;
        require(
            self.proxy_index < self.proxy_count,
            "position",
            "less than group_size",
        )?;
        require(self.zone_count > 0, "zones", "at least one zone")?;
        require(!self.classes.is_empty(), "profiles", "at least one class")
    }

    fn validate_objective(&self) -> Result<(), ConfigError> {
        require(
            is_fraction(self.over_quota_weight),
            "over_share_worth",
            FRACTION,
        )?;
        require(
            is_fraction(self.overall_goal_weight),
            "blend.whole",
            FRACTION,
        )?;
        require(
            is_fraction(self.worst_class_goal_weight),
            "blend.worst_class",
            FRACTION,
        )?;
        require(
            self.cross_zone_cost >= 0.0,
            "costs.cross_zone",
            "at least 0",
        )
    }

    fn validate_limits(&self) -> Result<(), ConfigError> {
        require(self.max_attempts > 0, "limits.max_attempts", "at least 1")?;
        require(self.tick.0 > 0, "granularity_us", "a time above 0")?;
        require(
            is_fraction(self.slow_start_floor),
            "rules.cold_from",
            FRACTION,
        )?;
        require(
            is_positive(self.overload_multiple),
            "rules.fall_multiple",
            "a finite number above 0",
        )
    }
}

impl Class {
    fn validate(&self) -> Result<(), ConfigError> {
        require(
            self.latency_objective.0 > 0,
            "profiles.aim_us",
            "a time above 0",
        )?;
        require(
            self.objective_per_work >= 0.0,
            "profiles.aim_stretch",
            "at least 0",
        )?;
        require(
            is_positive(self.priority_weight),
            "profiles.gain",
            "a finite number above 0",
        )?;
        require(
            is_fraction(self.late_weight),
            "profiles.late_worth",
            FRACTION,
        )
    }
}

impl Tenant {
    fn validate(&self) -> Result<(), ConfigError> {
        require(
            is_positive(self.quota_per_s),
            "customers.quota_rps",
            "a finite rate above 0",
        )
    }
}

/// A setting is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{setting}: expected {expected}")]
pub struct ConfigError {
    /// The setting that is out of its range, by its path in the deployment's settings.
    pub setting: &'static str,
    /// The values that are allowed, such as `at least 1`.
    pub expected: &'static str,
}

fn require(holds: bool, setting: &'static str, expected: &'static str) -> Result<(), ConfigError> {
    if holds {
        Ok(())
    } else {
        Err(ConfigError { setting, expected })
    }
}

fn is_fraction(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}

fn is_positive(number: f64) -> bool {
    number > 0.0 && number.is_finite()
}
