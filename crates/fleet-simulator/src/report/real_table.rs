//! The table of the command `real`, with one row per cell of the matrix.

use super::table::{Column, Table};
use crate::real::cell::Cell;

const COLUMNS: [Column<Cell>; 16] = [
    Column {
        title: "backends",
        text: |cell| cell.backends.to_string(),
    },
    Column {
        title: "tenants",
        text: |cell| cell.tenants.to_string(),
    },
    Column {
        title: "time until ready, s",
        text: |cell| format!("{:.2}", cell.ready_secs),
    },
    Column {
        title: "resident memory at start (peak), MB",
        text: memory_at_start,
    },
    Column {
        title: "resident memory after load (peak; peak after further snapshots), MB",
        text: memory_after_load,
    },
    Column {
        title: "CPU when idle, % of a core",
        text: |cell| format!("{:.2}", cell.cpu.cpu_idle_percent),
    },
    Column {
        title: "CPU under load, % of a core",
        text: |cell| format!("{:.2}", cell.cpu.cpu_load_percent),
    },
    Column {
        title: "endpoint list, bytes",
        text: |cell| cell.discovery.list_bytes.to_string(),
    },
    Column {
        title: "delta of one endpoint, bytes",
        text: |cell| format!("{:.0}", cell.discovery.change_bytes),
    },
    Column {
        title: "discovery when idle, bytes/s",
        text: |cell| format!("{:.0}", cell.discovery.idle_bytes_per_s),
    },
    Column {
        title: "new connections per request (1st, 2nd half)",
        text: new_connections,
    },
    Column {
        title: "added latency p50 / p99 / max, ms",
        text: added_latency,
    },
    Column {
        title: "added latency before and after the backend: p50 / p99, p50 / p99, ms",
        text: parts_of_added_latency,
    },
    Column {
        title: "data path stall without event / on delta / on snapshot: median of 5 (max), ms",
        text: stalls,
    },
    Column {
        title: "requests forwarded; rejected / failed / without response",
        text: request_counts,
    },
    Column {
        title: "CPU wait when idle / under load / under probes, % of the time",
        text: cpu_wait,
    },
];

/// Builds the table of the real proxy's cells.
pub fn real_table(cells: &[Cell]) -> Table {
    Table::of(&COLUMNS, cells)
}

fn memory_at_start(cell: &Cell) -> String {
    let memory = &cell.memory;
    format!("{:.1} ({:.1})", memory.rss_start_mb, memory.hwm_start_mb)
}

fn memory_after_load(cell: &Cell) -> String {
    let memory = &cell.memory;
    format!(
        "{:.1} ({:.1}; {:.1})",
        memory.rss_load_mb, memory.hwm_load_mb, memory.hwm_end_mb
    )
}

fn new_connections(cell: &Cell) -> String {
    let [first_half, second_half] = cell.requests.new_connections_per_request;
    format!("{first_half:.2}, {second_half:.2}")
}

fn added_latency(cell: &Cell) -> String {
    let latency = &cell.latency;
    format!(
        "{:.2} / {:.2} / {:.1}",
        latency.added_p50_ms, latency.added_p99_ms, latency.added_max_ms
    )
}

fn parts_of_added_latency(cell: &Cell) -> String {
    let [before_p50, before_p99] = cell.latency.before_backend_ms;
    let [after_p50, after_p99] = cell.latency.after_backend_ms;
    format!("{before_p50:.2} / {before_p99:.2}, {after_p50:.2} / {after_p99:.2}")
}

fn stalls(cell: &Cell) -> String {
    let stalls = &cell.stalls;
    [stalls.without_event, stalls.change, stalls.snapshot]
        .map(|stall| format!("{:.1} ({:.1})", stall.median_ms, stall.longest_ms))
        .join(" / ")
}

fn request_counts(cell: &Cell) -> String {
    let requests = &cell.requests;
    let not_served = &requests.not_served;
    format!(
        "{}; {} / {} / {}",
        requests.forwarded, not_served.rejected, not_served.failed, not_served.no_response
    )
}

/// The fraction of the time in which the proxy was runnable but had no core, in %: when idle, under
/// load, and under the probes.
pub(super) fn cpu_wait(cell: &Cell) -> String {
    let percents = cell
        .cpu
        .cpu_wait_percent
        .map(|percent| format!("{percent:.2}"));
    percents.join(" / ")
}
