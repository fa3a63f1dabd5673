//! Statistics of how the attempts of a fleet were spread over backends, proxies and connections.

use super::backend::Backend;
use super::proxy::connections::ConnectionCounts;
use super::proxy::Proxy;
use crate::topology::MACHINE_TYPES;
use serde::Serialize;

/// The lower bound of divisors, so that a division by a mean of zero stays finite.
const MIN_DIVISOR: f64 = 1e-9;

/// The minimum, mean and maximum of a set of counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CountRange {
    /// The smallest count.
    #[serde(rename = "least")]
    pub min: u64,
    /// The mean of the counts.
    pub mean: f64,
    /// The largest count.
    #[serde(rename = "largest")]
    pub max: u64,
}

impl CountRange {
    /// The range of the given counts; all zeros if there are none.
    pub fn of(counts: impl Iterator<Item = u64> + Clone) -> CountRange {
        let number = counts.clone().count().max(1) as f64;
        CountRange {
            min: counts.clone().min().unwrap_or(0),
            mean: counts.clone().sum::<u64>() as f64 / number,
            max: counts.max().unwrap_or(0),
        }
    }
}

/// How evenly the load was spread over the backends of one machine type. Backends that the scenario
/// changed are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MachineTypeLoad {
    /// The name of the machine type.
    #[serde(rename = "kind")]
    pub machine_type: &'static str,
    /// The number of its unchanged backends.
    pub backends: usize,
    /// The mean load, in attempts per backend.
    pub mean: f64,
    /// The ratio of the largest load to the mean load.
    pub largest_over_mean: f64,
    /// The ratio that would result if each attempt went to a random backend of the type.
    #[serde(rename = "by_chance")]
    pub largest_by_chance: f64,
    /// The standard deviation of the loads without the part that random choices cause, as a
    /// fraction of the mean.
    pub excess_spread: f64,
}

impl MachineTypeLoad {
    fn new(machine_type: &'static str, loads: &[f64]) -> MachineTypeLoad {
        let count = loads.len().max(1) as f64;
        let mean = loads.iter().sum::<f64>() / count;
        let squares = loads.iter().map(|load| (load - mean).powi(2)).sum::<f64>();
        let variance = squares / (count - 1.0).max(1.0);
        let largest = loads.iter().copied().fold(0.0, f64::max);
        MachineTypeLoad {
            machine_type,
            backends: loads.len(),
            mean,
            largest_over_mean: largest / mean.max(MIN_DIVISOR),
            largest_by_chance: largest_by_chance(mean, loads.len()),
            // With random choices, loads are Poisson variables, whose variance equals their mean.
            excess_spread: (variance - mean).max(0.0).sqrt() / mean.max(MIN_DIVISOR),
        }
    }
}

/// Statistics of the attempts in the measurement window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadStatistics {
    /// The length of the window, s.
    pub window_secs: f64,
    /// The ratio of the largest load to the mean load, over all backends that the scenario did not
    /// change. Fast machine types get more attempts than slow ones, so the ratio is above 1 even if
    /// the load of each machine type is even.
    pub largest_over_mean: f64,
    /// The load of each machine type, in the order of [`MACHINE_TYPES`].
    #[serde(rename = "kinds")]
    pub machine_types: Vec<MachineTypeLoad>,
    /// The number of distinct backends that a proxy used.
    #[serde(rename = "backends_a_proxy")]
    pub backends_per_proxy: CountRange,
    /// The number of attempts that a proxy sent.
    #[serde(rename = "attempts_a_proxy")]
    pub attempts_per_proxy: CountRange,
    /// The number of proxies that used a backend. Backends that the scenario changed are not
    /// counted.
    #[serde(rename = "proxies_a_backend")]
    pub proxies_per_backend: CountRange,
    /// New connections per attempt, in each half of the window.
    #[serde(rename = "new_connections")]
    pub new_connections_per_attempt: [f64; 2],
}

impl LoadStatistics {
    /// The statistics at the end of a run. `unchanged` tells for each backend whether the scenario
    /// did not change it.
    pub fn new(
        backends: &[Backend],
        proxies: &[Proxy],
        unchanged: &[bool],
        window_secs: f64,
    ) -> LoadStatistics {
        let users = proxies_per_backend(proxies, backends.len());
        let unchanged_backends = only_unchanged(backends, unchanged);
        let all_loads = unchanged_backends.clone().map(|b| u64::from(b.load));
        let overall = CountRange::of(all_loads);
        let used_backends = proxies.iter().map(|p| p.connections.used_backends());
        let attempts = proxies.iter().map(|p| p.connections.total_attempts());
        LoadStatistics {
            window_secs,
            largest_over_mean: overall.max as f64 / overall.mean.max(MIN_DIVISOR),
            machine_types: machine_type_loads(unchanged_backends),
            backends_per_proxy: CountRange::of(used_backends),
            attempts_per_proxy: CountRange::of(attempts),
            proxies_per_backend: CountRange::of(only_unchanged(&users, unchanged).copied()),
            new_connections_per_attempt: [0, 1]
                .map(|half| new_connections_per_attempt(proxies, half)),
        }
    }
}

/// The load of each machine type, in the order of [`MACHINE_TYPES`].
fn machine_type_loads<'a>(
    backends: impl Iterator<Item = &'a Backend> + Clone,
) -> Vec<MachineTypeLoad> {
    let mut machine_type_loads = Vec::new();
    for (index, machine_type) in MACHINE_TYPES.iter().enumerate() {
        let of_type = backends.clone().filter(|b| b.machine_type == index);
        let loads: Vec<f64> = of_type.map(|b| f64::from(b.load)).collect();
        machine_type_loads.push(MachineTypeLoad::new(machine_type.name, &loads));
    }
    machine_type_loads
}

/// The values of those backends that the scenario did not change.
fn only_unchanged<'a, T>(
    values: &'a [T],
    unchanged: &'a [bool],
) -> impl Iterator<Item = &'a T> + Clone {
    values
        .iter()
        .zip(unchanged)
        .filter(|(_, is_unchanged)| **is_unchanged)
        .map(|(value, _)| value)
}

/// The number of proxies that used each backend.
fn proxies_per_backend(proxies: &[Proxy], backends: usize) -> Vec<u64> {
    let mut users = vec![0u64; backends];
    for proxy in proxies {
        for (backend, backend_use) in &proxy.connections.backends {
            users[*backend as usize] += u64::from(backend_use.attempts > 0);
        }
    }
    users
}

/// New connections per attempt, over all proxies, in one half of the window.
fn new_connections_per_attempt(proxies: &[Proxy], half: usize) -> f64 {
    let mut sum = ConnectionCounts::default();
    for proxy in proxies {
        sum.add(&proxy.connections.halves[half]);
    }
    sum.opened as f64 / (sum.attempts as f64).max(1.0)
}

/// The ratio of the largest load to the mean load that random choices alone would give. This is the
/// median of the maximum of `count` Poisson variables, divided by their mean.
///
/// The maximum is at least k with a probability of about `1 - exp(-count * tail)`, where `tail` is
/// the probability that a single variable is at least k. The median is the k at which
/// `count * tail` reaches ln 2.
pub fn largest_by_chance(mean: f64, count: usize) -> f64 {
    if mean <= 0.0 || count == 0 {
        return 0.0;
    }
    // Values of more than 12 standard deviations above the mean have a negligible probability. The
    // constant 24 covers small means.
    let max_value = (mean + 12.0 * mean.sqrt() + 24.0) as usize;
    let log_probabilities = poisson_log_probabilities(mean, max_value);
    let mut tail = 0.0;
    for (k, log_probability) in log_probabilities.iter().enumerate().rev() {
        tail += log_probability.exp();
        if tail * count as f64 >= std::f64::consts::LN_2 {
            return k as f64 / mean;
        }
    }
    0.0
}

/// The natural logarithms of the probabilities of the values 0 to `max_value` in a Poisson
/// distribution.
fn poisson_log_probabilities(mean: f64, max_value: usize) -> Vec<f64> {
    let mut log_probability = -mean;
    let mut log_probabilities = vec![log_probability];
    for k in 1..=max_value {
        log_probability += (mean / k as f64).ln();
        log_probabilities.push(log_probability);
    }
    log_probabilities
}
