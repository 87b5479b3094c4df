//! Text tables for the reports.

use std::fmt::Display;
use std::io::{self, Write};

/// A table whose columns are aligned when it is written.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table with the given column names and no rows.
    pub fn new(columns: &[&str]) -> Table {
        let columns = columns.iter().map(|each| (*each).to_owned()).collect();
        Table { rows: vec![columns] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: &[&dyn Display]) {
        self.rows.push(cells.iter().map(|each| each.to_string()).collect());
    }

    /// Writes the table, with the first column aligned to the left and the others to the right.
    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        for row in &self.rows {
            for (column, cell) in row.iter().enumerate() {
                let width = widths[column];
                match column {
                    0 => write!(to, "  {cell:<width$}")?,
                    _ => write!(to, "  {cell:>width$}")?,
                }
            }
            writeln!(to)?;
        }
        Ok(())
    }

    /// Returns the length of the longest cell of a column.
    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// Formats a fraction as a percentage with two decimals.
pub fn percent(fraction: f64) -> String {
    format!("{:.2}%", fraction * 100.0)
}
