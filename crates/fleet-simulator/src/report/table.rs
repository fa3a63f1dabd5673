//! Markdown tables and their columns.

use std::fmt::{Display, Formatter, Result};

/// A column of a table that shows one record per row.
pub struct Column<Record> {
    /// The column's title.
    pub title: &'static str,
    /// Returns the column's text for a record.
    pub text: fn(&Record) -> String,
}

/// A markdown table.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these column titles and no rows.
    pub fn new(titles: &[&str]) -> Table {
        let rule = titles.iter().map(|_| "---".into()).collect();
        Table {
            rows: vec![titles.iter().copied().map(String::from).collect(), rule],
        }
    }

    /// A table with these columns and one row per record.
    pub fn of<Record>(columns: &[Column<Record>], records: &[Record]) -> Table {
        let titles: Vec<&str> = columns.iter().map(|column| column.title).collect();
        let mut table = Table::new(&titles);
        for record in records {
            let values = columns.iter().map(|column| (column.text)(record));
            table.row(values.collect());
        }
        table
    }

    /// Appends a row.
    pub fn row(&mut self, values: Vec<String>) {
        self.rows.push(values);
    }
}

impl Display for Table {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        self.rows
            .iter()
            .try_for_each(|row| writeln!(f, "| {} |", row.join(" | ")))
    }
}
