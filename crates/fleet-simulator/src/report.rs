//! Figures as markdown tables, as lists of what failed, and as JSON.

mod failures;
mod fleet_table;
mod real_table;
mod table;

use crate::failure::{Failure, InputError};
use crate::simulated::scenario::Scenario;
pub use failures::{disturbed_cells, failed_cells, failed_fleets};
pub use fleet_table::fleet_table;
pub use real_table::real_table;
use serde::Serialize;
use std::path::Path;
pub use table::{Column, Table};

/// A scenario's name, as on the command line and in JSON.
fn scenario_name(scenario: Scenario) -> String {
    let json = serde_json::to_value(scenario).ok();
    let name = json.as_ref().and_then(|value| value.as_str());
    name.unwrap_or_default().to_string()
}

/// Writes figures to a file, the same bytes for the same figures.
pub fn write_json(path: &Path, figures: &impl Serialize) -> Result<(), Failure> {
    let mut text = serde_json::to_string_pretty(figures).map_err(Failure::in_step("JSON"))?;
    text.push('\n');
    std::fs::write(path, text).map_err(|source| {
        let path = path.to_path_buf();
        Failure::Input(InputError::WriteFigures { path, source })
    })
}
