//! Tables of figures as text.

use std::fmt::Display;
use std::io::{self, Write};

/// A table of figures, aligned when it is written.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table with the names of its columns.
    pub fn new(columns: &[&str]) -> Table {
        let columns = columns.iter().map(|each| (*each).to_owned()).collect();
        Table { rows: vec![columns] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: &[&dyn Display]) {
        self.rows.push(cells.iter().map(|each| each.to_string()).collect());
    }

    /// Writes the table, first column to the left and figures to the right.
    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|at| self.width(at)).collect();
        for row in &self.rows {
            for (at, cell) in row.iter().enumerate() {
                let width = widths[at];
                match at {
                    0 => write!(to, "  {cell:<width$}")?,
                    _ => write!(to, "  {cell:>width$}")?,
                }
            }
            writeln!(to)?;
        }
        Ok(())
    }

    fn width(&self, at: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(at));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// Formats a part of one as a percentage with two digits.
pub fn percent(part: f64) -> String {
    format!("{:.2}%", part * 100.0)
}
