//! The table of the command `fleet`, with one row per run.

use super::table::{Column, Table};
use crate::simulated::load::{CountRange, LoadStatistics};
use crate::simulated::FleetRun;

const COLUMNS: [Column<FleetRun>; 18] = [
    Column {
        title: "proxies x backends",
        text: size,
    },
    Column {
        title: "scenario",
        text: |run| run.results.setup.scenario.name(),
    },
    Column {
        title: "requests (per second and proxy)",
        text: arrived_requests,
    },
    Column {
        title: "served, %",
        text: |run| format!("{:.2}", 100.0 * run.results.served_fraction()),
    },
    Column {
        title: "rejected / failed / unanswered / interrupted",
        text: requests_not_served,
    },
    Column {
        title: "latency p50 / p99, ms",
        text: latency,
    },
    Column {
        title: "queue delay p50 / p99, ms",
        text: queue_delay,
    },
    Column {
        title: "max / mean load within a machine type (by chance)",
        text: |run| largest_load(&run.results.load),
    },
    Column {
        title: "excess spread of load within a machine type, % of the mean",
        text: |run| excess_spread(&run.results.load),
    },
    Column {
        title: "backends used per proxy (min, mean, max)",
        text: |run| count_range(&run.results.load.backends_per_proxy),
    },
    Column {
        title: "proxies per backend (min, mean, max)",
        text: |run| count_range(&run.results.load.proxies_per_backend),
    },
    Column {
        title: "new connections per attempt (1st, 2nd half)",
        text: |run| new_connections(&run.results.load),
    },
    Column {
        title: "slow start: backends, attempts in the worst window (budget), \
                fraction of its bound, attempts over the bound",
        text: cold_starts,
    },
    Column {
        title: "discovery: changes, calls, refused calls, calls timed out in the queue",
        text: discovery_calls,
    },
    Column {
        title: "notification delay p50 / p99 / max, s; later than 6 s",
        text: notification_delay,
    },
    Column {
        title: "late attempts on unavailable backends: after notification, after the deadline",
        text: late_attempts,
    },
    Column {
        title: "memory, KB per proxy",
        text: memory_per_proxy,
    },
    Column {
        title: "wall time, s (threads)",
        text: |run| format!("{:.1} ({})", run.cost.wall_secs, run.cost.threads),
    },
];

/// Builds the table of simulated fleets.
pub fn fleet_table(runs: &[FleetRun]) -> Table {
    Table::of(&COLUMNS, runs)
}

fn size(run: &FleetRun) -> String {
    let setup = &run.results.setup;
    format!("{} x {}", setup.proxies, setup.backends)
}

fn arrived_requests(run: &FleetRun) -> String {
    let arrived = run.results.requests.arrived;
    let per_second = run.results.setup.requests_per_second;
    format!("{arrived} ({per_second:.1})")
}

fn requests_not_served(run: &FleetRun) -> String {
    let counts = &run.results.requests;
    format!(
        "{} / {} / {} / {}",
        counts.rejected, counts.failed, counts.unanswered, counts.interrupted
    )
}

fn latency(run: &FleetRun) -> String {
    let results = &run.results;
    format!(
        "{:.0} / {:.0}",
        results.latency_p50_ms, results.latency_p99_ms
    )
}

fn queue_delay(run: &FleetRun) -> String {
    let results = &run.results;
    format!(
        "{:.1} / {:.1}",
        results.queue_delay_p50_ms, results.queue_delay_p99_ms
    )
}

/// The ratio of the largest load to the mean load, for the machine type with the highest ratio. In
/// parentheses, the ratio that random choices would give.
fn largest_load(load: &LoadStatistics) -> String {
    let least_even = load
        .machine_types
        .iter()
        .max_by(|a, b| a.largest_over_mean.total_cmp(&b.largest_over_mean));
    let largest = least_even.map_or(0.0, |machine_type| machine_type.largest_over_mean);
    let by_chance = least_even.map_or(0.0, |machine_type| machine_type.largest_by_chance);
    format!("{largest:.2} ({by_chance:.2})")
}

fn excess_spread(load: &LoadStatistics) -> String {
    let spreads = load
        .machine_types
        .iter()
        .map(|machine_type| machine_type.excess_spread);
    let largest = spreads.fold(0.0, f64::max);
    format!("{:.0}", 100.0 * largest)
}

fn count_range(range: &CountRange) -> String {
    format!("{}, {:.1}, {}", range.min, range.mean, range.max)
}

fn new_connections(load: &LoadStatistics) -> String {
    let [first_half, second_half] = load.new_connections_per_attempt;
    format!("{first_half:.2}, {second_half:.2}")
}

fn cold_starts(run: &FleetRun) -> String {
    let statistics = &run.results.cold_starts;
    format!(
        "{}, {} ({:.1}), {:.2}, {}",
        statistics.backends,
        statistics.worst_window_attempts,
        statistics.worst_window_budget,
        statistics.worst_fraction_of_bound,
        statistics.attempts_over_bound
    )
}

fn discovery_calls(run: &FleetRun) -> String {
    let statistics = &run.results.discovery;
    format!(
        "{}, {}, {}, {}",
        statistics.changes, statistics.calls, statistics.calls_refused, statistics.calls_timed_out
    )
}

fn notification_delay(run: &FleetRun) -> String {
    let statistics = &run.results.discovery.propagation;
    let secs = |ms: f64| ms / 1000.0;
    format!(
        "{:.3} / {:.2} / {:.2}; {} of {}",
        secs(statistics.delay_p50_ms),
        secs(statistics.delay_p99_ms),
        secs(statistics.delay_max_ms),
        statistics.after_deadline,
        statistics.pairs
    )
}

fn late_attempts(run: &FleetRun) -> String {
    let late = &run.results.late_attempts;
    format!("{}, {}", late.after_notification, late.after_deadline)
}

fn memory_per_proxy(run: &FleetRun) -> String {
    match run.cost.kb_per_proxy {
        Some(kb) => format!("{kb:.0}"),
        None => "-".into(),
    }
}
