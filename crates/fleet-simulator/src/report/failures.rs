//! The lines that the commands print below their tables: failed checks, and cells whose times were
//! distorted because other processes used the CPU.

use super::real_table::cpu_wait;
use crate::real::cell::Cell;
use crate::simulated::results::FleetResults;
use crate::simulated::FleetRun;

/// The time within which a restarted proxy has to be ready, s.
const MAX_READY_SECS: f64 = 10.0;
/// The longest CPU wait of an undisturbed cell, in % of the time. If the proxy of a cell waited
/// longer for a core, the measured times and stalls show the effect of other load on the machine.
const MAX_CPU_WAIT_PERCENT: f64 = 1.0;

/// The failed checks of the cells, one line each. Rejected and slow requests fail no check, because
/// other load on the machine can cause them.
pub fn failed_cells(cells: &[Cell]) -> Vec<String> {
    cells.iter().flat_map(failed_cell_checks).collect()
}

fn failed_cell_checks(cell: &Cell) -> Vec<String> {
    let name = cell_name(cell);
    let mut failed = Vec::new();
    if cell.ready_secs > MAX_READY_SECS {
        let ready_secs = cell.ready_secs;
        failed.push(format!(
            "{name}: ready after {ready_secs:.2} s, limit {MAX_READY_SECS} s"
        ));
    }
    let unanswered = cell.requests.not_served.no_response;
    if unanswered > 0 {
        failed.push(format!("{name}: requests without a response: {unanswered}"));
    }
    failed
}

fn cell_name(cell: &Cell) -> String {
    format!("{} backends x {} tenants", cell.backends, cell.tenants)
}

/// The cells whose times were distorted by other load on the machine, one line each.
pub fn disturbed_cells(cells: &[Cell]) -> Vec<String> {
    let disturbed = cells.iter().filter(|cell| is_disturbed(cell));
    disturbed.map(disturbed_cell).collect()
}

fn is_disturbed(cell: &Cell) -> bool {
    let waits = cell.cpu.cpu_wait_percent;
    waits
        .into_iter()
        .any(|percent| percent > MAX_CPU_WAIT_PERCENT)
}

fn disturbed_cell(cell: &Cell) -> String {
    let name = cell_name(cell);
    let waits = cpu_wait(cell);
    format!("{name}: CPU wait when idle / under load / under probes: {waits} % of the time")
}

/// The failed checks of the fleets, one line each.
pub fn failed_fleets(runs: &[FleetRun]) -> Vec<String> {
    runs.iter()
        .flat_map(|run| failed_fleet_checks(&run.results))
        .collect()
}

fn failed_fleet_checks(results: &FleetResults) -> impl Iterator<Item = String> + '_ {
    let setup = &results.setup;
    let scenario = setup.scenario.name();
    let failed = results.checks.iter().filter(|check| !check.passed);
    failed.map(move |check| {
        format!(
            "{scenario}, {} proxies x {} backends: {}: measured {}, bound {}",
            setup.proxies, setup.backends, check.name, check.measured, check.bound
        )
    })
}
