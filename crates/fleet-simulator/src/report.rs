//! Output of results: markdown tables, lists of failed checks, and JSON files.

mod failures;
mod fleet_table;
mod real_table;
mod table;

use crate::failure::{Failure, InputError};
pub use failures::{disturbed_cells, failed_cells, failed_fleets};
pub use fleet_table::fleet_table;
pub use real_table::real_table;
use serde::Serialize;
use std::path::Path;
pub use table::{Column, Table};

/// Writes results to a JSON file. Equal results give identical bytes.
pub fn write_json(path: &Path, results: &impl Serialize) -> Result<(), Failure> {
    let mut text = serde_json::to_string_pretty(results)
        .map_err(Failure::in_step("serializing the results as JSON"))?;
    text.push('\n');
    std::fs::write(path, text).map_err(|source| {
        let path = path.to_path_buf();
        Failure::Input(InputError::WriteResults { path, source })
    })
}
