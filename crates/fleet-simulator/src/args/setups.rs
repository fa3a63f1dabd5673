//! Validates the options and converts them to setups.

use super::{FleetArgs, RealArgs};
use crate::failure::InputError;
use crate::real;
use crate::simulated::scenario::Scenario;
use crate::simulated::{self, FaultInjection, WARM_UP_SECS};
use crate::topology::{PEAK_REQUESTS_PER_SECOND, TARGET_BACKENDS, TARGET_PROXIES};
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The largest number of backends, and the largest number of tenants.
const MAX_COUNT: usize = 200_000;
/// The largest number of listeners that backends share.
const MAX_LISTENERS: usize = 2_000;
/// The largest number of cells that run concurrently.
const MAX_JOBS: usize = 16;
/// The longest duration that an option accepts, s.
const MAX_DURATION_SECS: f64 = 3_600.0;
/// The highest rate at the real proxy, in requests per second.
const MAX_REAL_RATE: f64 = 5_000.0;
/// The highest rate at a simulated proxy, in requests per second.
const MAX_SIMULATED_RATE: f64 = 100_000.0;
/// The time in which discovery serves one call of each proxy, s, unless `--call-ms` is given.
const DISCOVERY_ROUND_SECS: f64 = 6.5;
/// Unless `--rack` is given, one in this many backends is in the rack that fails, but at least
/// [`MIN_RACK_SIZE`] backends.
const BACKENDS_PER_RACK_MEMBER: usize = 425;
/// The smallest rack, in backends, unless `--rack` is given.
const MIN_RACK_SIZE: usize = 4;
/// At most one in this many backends can be in the rack: a rack is in a single zone, and this is
/// the number of zones.
const MIN_BACKENDS_PER_RACK_MEMBER: usize = 8;

/// Returns an error that names the option unless `is_met`.
fn require(
    is_met: bool,
    option: &'static str,
    expected: impl Display,
    got: impl Display,
) -> Result<(), InputError> {
    if is_met {
        return Ok(());
    }
    Err(InputError::Option {
        option,
        expected: expected.to_string(),
        got: got.to_string(),
    })
}

fn require_range(
    option: &'static str,
    got: f64,
    range: RangeInclusive<f64>,
) -> Result<(), InputError> {
    let expected = format!("{} to {}", range.start(), range.end());
    require(range.contains(&got), option, expected, got)
}

/// Converts the value of an option, in seconds, to a duration.
fn duration(option: &'static str, secs: f64, min: f64) -> Result<Duration, InputError> {
    let range = min..=MAX_DURATION_SECS;
    let expected = format!("{min} to {MAX_DURATION_SECS} seconds");
    require(range.contains(&secs), option, expected, secs)?;
    Ok(Duration::from_secs_f64(secs))
}

/// Checks the value of an option that is a rate, in requests per second.
fn rate(option: &'static str, per_second: f64, max: f64) -> Result<f64, InputError> {
    let is_valid = per_second > 0.0 && per_second <= max;
    let expected = format!("over 0 and up to {max} requests per second");
    require(is_valid, option, expected, per_second)?;
    Ok(per_second)
}

impl RealArgs {
    /// Validates the options and returns one setup per cell, that is, per combination of the
    /// numbers of backends and tenants.
    pub fn setups(&self) -> Result<Vec<real::Setup>, InputError> {
        self.check_counts()?;
        self.check_program()?;
        let mut setups = Vec::new();
        for backends in &self.backends {
            for tenants in &self.tenants {
                setups.push(self.setup(*backends, *tenants)?);
            }
        }
        Ok(setups)
    }

    fn check_counts(&self) -> Result<(), InputError> {
        let backends_are_valid =
            !self.backends.is_empty() && self.backends.iter().all(|n| (1..=MAX_COUNT).contains(n));
        require(
            backends_are_valid,
            "backends",
            format_args!("1 to {MAX_COUNT}"),
            format_args!("{:?}", self.backends),
        )?;
        let tenants_are_valid =
            !self.tenants.is_empty() && self.tenants.iter().all(|n| *n <= MAX_COUNT);
        require(
            tenants_are_valid,
            "tenants",
            format_args!("up to {MAX_COUNT}"),
            format_args!("{:?}", self.tenants),
        )?;
        require(
            self.position < TARGET_PROXIES,
            "position",
            format_args!("less than {TARGET_PROXIES}"),
            self.position,
        )?;
        require(
            (1..=MAX_LISTENERS).contains(&self.listeners),
            "listeners",
            format_args!("1 to {MAX_LISTENERS}"),
            self.listeners,
        )?;
        require(
            (1..=MAX_JOBS).contains(&self.jobs),
            "jobs",
            format_args!("1 to {MAX_JOBS}"),
            self.jobs,
        )
    }

    fn check_program(&self) -> Result<(), InputError> {
        if self.proxy.is_file() {
            return Ok(());
        }
        Err(InputError::proxy_is_not_a_file(&self.proxy))
    }

    fn setup(&self, backends: usize, tenants: usize) -> Result<real::Setup, InputError> {
        Ok(real::Setup {
            program: self.proxy.clone(),
            backends,
            tenants,
            discovery_mode: self.discovery,
            list_is_known: self.known,
            proxy_index: self.position,
            listeners: self.listeners,
            requests_per_second: rate("rate", self.rate, MAX_REAL_RATE)?,
            service_time: Duration::from_millis(self.service_ms),
            idle_duration: duration("idle-secs", self.idle_secs, 1.0)?,
            load_duration: duration("load-secs", self.load_secs, 2.0)?,
            connection_idle_secs: duration("conn-idle-secs", self.conn_idle_secs, 1.0)?
                .as_secs_f64(),
            seed: self.seed,
        })
    }
}

impl FleetArgs {
    /// Validates the options and returns one setup per scenario.
    pub fn setups(&self) -> Result<Vec<simulated::Setup>, InputError> {
        self.check_ranges()?;
        let discovery_call_ms = self.discovery_call_ms()?;
        let rack_size = self.rack_size()?;
        let requests_per_second = self.requests_per_second()?;
        if self.scenario.is_empty() {
            return Err(InputError::NoScenario);
        }
        let setup = |scenario: &Scenario| {
            let min_secs = WARM_UP_SECS + scenario.min_secs();
            require_range("secs", self.secs, min_secs..=MAX_DURATION_SECS)?;
            Ok(simulated::Setup {
                scenario: *scenario,
                proxies: self.proxies,
                backends: self.backends,
                requests_per_second,
                skew: self.skew,
                duration_secs: self.secs,
                discovery_call_ms,
                replacements_per_second: self.churn,
                rack_size,
                connection_idle_secs: self.conn_idle_secs,
                cross_zone_cost: self.cross_zone,
                seed: self.seed,
                faults: FaultInjection::default(),
            })
        };
        self.scenario.iter().map(setup).collect()
    }

    fn check_ranges(&self) -> Result<(), InputError> {
        require_range("proxies", f64::from(self.proxies), 1.0..=5_000.0)?;
        require_range("backends", self.backends as f64, 8.0..=MAX_COUNT as f64)?;
        require_range("skew", self.skew, 1.0..=1_000.0)?;
        require_range("churn", self.churn, 0.0..=1_000.0)?;
        require_range("cross-zone", self.cross_zone, 0.0..=1_000.0)?;
        require_range("threads", self.threads as f64, 1.0..=64.0)?;
        require_range(
            "conn-idle-secs",
            self.conn_idle_secs,
            1.0..=MAX_DURATION_SECS,
        )
    }

    fn discovery_call_ms(&self) -> Result<f64, InputError> {
        let default = DISCOVERY_ROUND_SECS * 1000.0 / f64::from(self.proxies);
        let call_ms = self.call_ms.unwrap_or(default);
        require_range("call-ms", call_ms, 0.001..=60_000.0)?;
        Ok(call_ms)
    }

    fn rack_size(&self) -> Result<usize, InputError> {
        let default = (self.backends / BACKENDS_PER_RACK_MEMBER).max(MIN_RACK_SIZE);
        let rack_size = self.rack.unwrap_or(default);
        let max = self.backends / MIN_BACKENDS_PER_RACK_MEMBER;
        require_range("rack", rack_size as f64, 1.0..=max as f64)?;
        Ok(rack_size)
    }

    fn requests_per_second(&self) -> Result<f64, InputError> {
        let peak_requests_per_second =
            PEAK_REQUESTS_PER_SECOND * self.backends as f64 / TARGET_BACKENDS as f64;
        let default = peak_requests_per_second / f64::from(self.proxies);
        rate("rate", self.rate.unwrap_or(default), MAX_SIMULATED_RATE)
    }
}
