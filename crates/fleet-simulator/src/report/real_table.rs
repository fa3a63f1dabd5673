//! The table of the command `real`: one row a cell of the matrix.

use super::table::{Column, Table};
use crate::real::cell::Cell;

const COLUMNS: [Column<Cell>; 16] = [
    Column {
        title: "backends",
        cell: |cell| cell.backends.to_string(),
    },
    Column {
        title: "tenants",
        cell: |cell| cell.tenants.to_string(),
    },
    Column {
        title: "ready, s",
        cell: |cell| format!("{:.2}", cell.ready_secs),
    },
    Column {
        title: "resident at start (highest), MB",
        cell: |cell| format!("{:.1} ({:.1})", cell.rss_start_mb, cell.hwm_start_mb),
    },
    Column {
        title: "after load (highest; with further whole lists), MB",
        cell: memory_after_load,
    },
    Column {
        title: "CPU idle, % of a core",
        cell: |cell| format!("{:.2}", cell.cpu_idle_percent),
    },
    Column {
        title: "CPU under load, % of a core",
        cell: |cell| format!("{:.2}", cell.cpu_load_percent),
    },
    Column {
        title: "list, bytes",
        cell: |cell| cell.list_bytes.to_string(),
    },
    Column {
        title: "one change, bytes",
        cell: |cell| format!("{:.0}", cell.change_bytes),
    },
    Column {
        title: "idle, bytes/s",
        cell: |cell| format!("{:.0}", cell.idle_bytes_per_s),
    },
    Column {
        title: "new connections a request (1st, 2nd half)",
        cell: new_connections,
    },
    Column {
        title: "added p50 / p99 / longest, ms",
        cell: added_latency,
    },
    Column {
        title: "of it before the backend had it, and after its answer: p50 / p99, ms",
        cell: parts_of_added_latency,
    },
    Column {
        title: "stall of the data path: none / change / whole list, ms, median of 5 (longest)",
        cell: stalls,
    },
    Column {
        title: "requests sent on; refused / failed / broken",
        cell: request_counts,
    },
    Column {
        title: "without a core idle / load / probes, % of the time",
        cell: cpu_wait,
    },
];

/// The table of the real proxy's cells.
pub fn real_table(cells: &[Cell]) -> Table {
    Table::of(&COLUMNS, cells)
}

fn memory_after_load(cell: &Cell) -> String {
    format!(
        "{:.1} ({:.1}; {:.1})",
        cell.rss_load_mb, cell.hwm_load_mb, cell.hwm_end_mb
    )
}

fn new_connections(cell: &Cell) -> String {
    let [first_half, second_half] = cell.new_connections_per_request;
    format!("{first_half:.2}, {second_half:.2}")
}

fn added_latency(cell: &Cell) -> String {
    format!(
        "{:.2} / {:.2} / {:.1}",
        cell.added_p50_ms, cell.added_p99_ms, cell.added_max_ms
    )
}

fn parts_of_added_latency(cell: &Cell) -> String {
    let [before_p50, before_p99] = cell.before_backend_ms;
    let [after_p50, after_p99] = cell.after_backend_ms;
    format!("{before_p50:.2} / {before_p99:.2}, {after_p50:.2} / {after_p99:.2}")
}

fn stalls(cell: &Cell) -> String {
    let stalls = [
        cell.stall_without_event,
        cell.stall_change,
        cell.stall_snapshot,
    ];
    stalls
        .map(|stall| format!("{:.1} ({:.1})", stall.median_ms, stall.longest_ms))
        .join(" / ")
}

fn request_counts(cell: &Cell) -> String {
    let not_served = &cell.not_served;
    format!(
        "{}; {} / {} / {}",
        cell.forwarded_requests, not_served.rejected, not_served.failed, not_served.no_response
    )
}

/// The time without a core, % of the time: when idle, under the load and under the probes.
pub(super) fn cpu_wait(cell: &Cell) -> String {
    let percents = cell.cpu_wait_percent.map(|percent| format!("{percent:.2}"));
    percents.join(" / ")
}
