//! A markdown table, and the columns that it is made of.

use std::fmt::{Display, Formatter, Result};

/// A column of a table that shows one record per row.
pub struct Column<Record> {
    /// Its title.
    pub title: &'static str,
    /// Gives the text of its cell in the row of a record.
    pub cell: fn(&Record) -> String,
}

/// A markdown table.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table without rows that has these column titles.
    pub fn new(titles: &[&str]) -> Table {
        let rule = titles.iter().map(|_| "---".into()).collect();
        Table {
            rows: vec![titles.iter().copied().map(String::from).collect(), rule],
        }
    }

    /// A table of these columns with one row per record.
    pub fn of<Record>(columns: &[Column<Record>], records: &[Record]) -> Table {
        let titles: Vec<&str> = columns.iter().map(|column| column.title).collect();
        let mut table = Table::new(&titles);
        for record in records {
            let cells = columns.iter().map(|column| (column.cell)(record));
            table.row(cells.collect());
        }
        table
    }

    /// Adds a row.
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
