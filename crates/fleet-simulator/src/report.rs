//! Figures as markdown tables, as lists of what failed, and as JSON.

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

/// Writes figures to a file, the same bytes for the same figures.
pub fn write_json(path: &Path, figures: &impl Serialize) -> Result<(), Failure> {
    let mut text = serde_json::to_string_pretty(figures).map_err(Failure::in_step("JSON"))?;
    text.push('\n');
    std::fs::write(path, text).map_err(|source| {
        let path = path.to_path_buf();
        Failure::Input(InputError::WriteFigures { path, source })
    })
}
