//! Figures as markdown tables and as JSON.

use crate::failure::Failure;
use crate::real::Cell;
use serde::Serialize;
use std::path::Path;

/// A markdown table.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these column titles.
    pub fn new(titles: &[&str]) -> Table {
        let rule = titles.iter().map(|_| "---".into()).collect();
        Table { rows: vec![titles.iter().map(|t| t.to_string()).collect(), rule] }
    }

    /// Adds a row.
    pub fn row(&mut self, values: Vec<String>) {
        self.rows.push(values);
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.rows.iter().try_for_each(|row| writeln!(f, "| {} |", row.join(" | ")))
    }
}

/// The cells of the real proxy.
pub fn real_table(cells: &[Cell]) -> Table {
    let mut table = Table::new(&[
        "backends",
        "tenants",
        "ready, s",
        "resident at start (highest), MB",
        "after load (highest; with further whole lists), MB",
        "CPU idle, % of a core",
        "CPU under load, % of a core",
        "list, bytes",
        "one change, bytes",
        "idle, bytes/s",
        "new connections a request (1st, 2nd half)",
        "added p50 / p99 / longest, ms",
        "longest stall plain / change / whole list, ms",
        "requests, not served",
    ]);
    for c in cells {
        table.row(vec![
            c.backends.to_string(),
            c.tenants.to_string(),
            format!("{:.2}", c.ready_secs),
            format!("{:.1} ({:.1})", c.rss_start_mb, c.hwm_start_mb),
            format!("{:.1} ({:.1}; {:.1})", c.rss_load_mb, c.hwm_load_mb, c.hwm_end_mb),
            format!("{:.2}", c.cpu_idle_percent),
            format!("{:.2}", c.cpu_load_percent),
            c.list_bytes.to_string(),
            format!("{:.0}", c.change_bytes),
            format!("{:.0}", c.idle_bytes_per_s),
            format!("{:.2}, {:.2}", c.new_connections[0], c.new_connections[1]),
            format!("{:.2} / {:.2} / {:.1}", c.added_p50_ms, c.added_p99_ms, c.added_max_ms),
            format!("{:.1} / {:.1} / {:.1}", c.stall_plain_ms, c.stall_change_ms, c.stall_whole_ms),
            format!("{}, {}", c.requests, c.not_served),
        ]);
    }
    table
}

/// Writes figures to a file, the same bytes for the same figures.
pub fn write_json(path: &Path, figures: &impl Serialize) -> Result<(), Failure> {
    let mut text = serde_json::to_string_pretty(figures).map_err(|e| Failure::run("JSON")(&e))?;
    text.push('\n');
    std::fs::write(path, text).map_err(|e| Failure::Input(format!("--json {}: {e}", path.display())))
}
