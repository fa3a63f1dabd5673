//! Reads the JSON settings of a deployment into a [`Config`].
//!
//! Unknown keys are ignored. This module checks the type and form of each value, that class names
//! are unique, that this proxy's zone is listed, and that no latency objective exceeds the deadline
//! of its class. [`Config::validate`] checks that numbers are within their ranges.

mod error;
mod key;
mod names;

pub use error::InvalidValue;
pub use key::Key;
pub use names::{stable_id, Names};

use crate::{
    Class, Config, DiscoveryMode, Idempotency, KeyScope, ListTerms, Micros, Tenant, ZoneId,
};

/// The settings of a deployment.
#[derive(Debug)]
pub struct Settings {
    /// The balancer's configuration.
    pub config: Config,
    /// The names of the classes and tenants of the configuration.
    pub names: Names,
}

/// Reads the settings from the object at `root`.
///
/// # Errors
///
/// Reports the first setting that is missing or does not have the expected form.
pub fn read(root: &Key) -> Result<Settings, InvalidValue> {
    let zones = read_zones(root)?;
    let mut names = Names::default();
    let classes = read_classes(&root.get("profiles"), &mut names)?;
    let tenants = read_tenants(&root.get("customers"), &mut names)?;
    let discovery = read_discovery(root)?;
    let objective = root.get("blend");
    let limits = root.get("limits");
    let slow_start = root.get("rules");
    let config = Config {
        proxy_count: root.get("group_size").count()?,
        proxy_index: root.get("position").count()?,
        zone: zones.own,
        zone_count: zones.count,
        classes,
        tenants,
        over_quota_weight: root.get("over_share_worth").real()?,
        overall_goal_weight: objective.get("whole").real()?,
        worst_class_goal_weight: objective.get("worst_class").real()?,
        cross_zone_cost: root.get("costs").get("cross_zone").real()?,
        discovery,
        list_terms: ListTerms::AfterAnswer,
        live_weights: has_live_weights(root),
        max_attempts: limits.get("max_attempts").count()?,
        cancellation_allowed: limits.get("cancel").flag()?,
        hedging_allowed: limits.get("parallel_tries").flag()?,
        tick: root.get("granularity_us").micros()?,
        slow_start_floor: slow_start.get("cold_from").real()?,
        slow_start_duration: slow_start.get("ramp_time_us").micros()?,
        overload_multiple: slow_start.get("fall_multiple").real()?,
        overload_window: slow_start.get("tip_after_us").micros()?,
    };
    Ok(Settings { config, names })
}

/// Whether the weights of the endpoint list are load reports. False if the setting is missing or is
/// anything but `live`.
fn has_live_weights(root: &Key) -> bool {
    let source = root.get("weight_source");
    source.text() == Ok("live")
}

/// The zones of the deployment.
struct Zones {
    /// The zone in which this proxy runs.
    own: ZoneId,
    /// Number of zones.
    count: u32,
}

fn read_zones(root: &Key) -> Result<Zones, InvalidValue> {
    let zones = root.get("zones").list()?;
    let mut names = Vec::with_capacity(zones.len());
    for zone in &zones {
        names.push(zone.text()?);
    }
    let own_zone = root.get("my_zone");
    let own_name = own_zone.text()?;
    if !names.contains(&own_name) {
        return Err(own_zone.error("one of the names in zones"));
    }
    Ok(Zones {
        own: ZoneId(stable_id(own_name)),
        count: names.len() as u32,
    })
}

fn read_classes(profiles: &Key, names: &mut Names) -> Result<Vec<Class>, InvalidValue> {
    let mut classes = Vec::new();
    for profile in profiles.list()? {
        let name = profile.get("name");
        if names.class(name.text()?).is_some() {
            return Err(name.error("a name that no other class has"));
        }
        names.classes.push(name.text()?.into());
        classes.push(read_class(&profile)?);
    }
    Ok(classes)
}

fn read_class(profile: &Key) -> Result<Class, InvalidValue> {
    let idempotency = read_idempotency(profile)?;
    Ok(Class {
        latency_objective: read_latency_objective(profile)?,
        objective_per_work: profile.get("aim_stretch").real_or(0.0)?,
        idempotency,
        priority_weight: profile.get("gain").real()?,
        late_weight: profile.get("late_worth").real()?,
    })
}

fn read_latency_objective(profile: &Key) -> Result<Micros, InvalidValue> {
    let objective = profile.get("aim_us");
    let latency_objective = objective.micros()?;
    if latency_objective > profile.get("deadline_us").micros()? {
        return Err(objective.error("no more than deadline_us"));
    }
    Ok(latency_objective)
}

fn read_idempotency(profile: &Key) -> Result<Idempotency, InvalidValue> {
    let effect = profile.get("effect");
    match effect.text()? {
        "free" => Ok(Idempotency::Idempotent),
        "guarded" => Ok(Idempotency::IdempotencyKey {
            scope: read_key_scope(&profile.get("key_scope"))?,
            window: profile.get("window_us").micros()?,
        }),
        "single_shot" => Ok(Idempotency::NonIdempotent),
        _ => Err(effect.error("free, guarded or single_shot")),
    }
}

fn read_key_scope(scope: &Key) -> Result<KeyScope, InvalidValue> {
    match scope.text()? {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        _ => Err(scope.error("all, zone or cell")),
    }
}

fn read_tenants(customers: &Key, names: &mut Names) -> Result<Vec<Tenant>, InvalidValue> {
    let mut tenants = Vec::new();
    for customer in customers.list()? {
        names.tenants.push(customer.get("name").text()?.into());
        tenants.push(Tenant {
            quota_per_s: customer.get("quota_rps").real()?,
        });
    }
    Ok(tenants)
}

fn read_discovery(root: &Key) -> Result<DiscoveryMode, InvalidValue> {
    let mode = root.get("discovery");
    match mode.text()? {
        "automatic" => Ok(DiscoveryMode::Push),
        "subscribe" => {
            let poll_within = root.get("rules").get("must_ask_in_us").micros()?;
            Ok(DiscoveryMode::Watch { poll_within })
        }
        _ => Err(mode.error("automatic or subscribe")),
    }
}

#[cfg(test)]
mod tests;
