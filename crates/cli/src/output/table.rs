//! Tables of text.

use crate::output::{Printable, Style};

/// Blanks between two columns.
const GAP: usize = 2;

/// Rows under headings, aligned to the left.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table with headings.
    pub(crate) fn new(head: &[&str]) -> Table {
        Table { head: head.iter().map(|text| text.to_uppercase()).collect(), rows: Vec::new() }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().map(|cell| Printable(&cell).to_string()).collect());
    }

    /// Returns the table as text.
    pub(crate) fn text(&self, style: Style) -> String {
        let lines = std::iter::once(&self.head).chain(&self.rows);
        let widths: Vec<usize> = (0..self.head.len()).map(|at| self.width(at)).collect();
        let mut text = String::new();
        for (number, cells) in lines.enumerate() {
            let line = padded(cells, &widths);
            text.push_str(&if number == 0 { style.head(&line) } else { line });
            text.push('\n');
        }
        text
    }

    fn width(&self, at: usize) -> usize {
        let cells = std::iter::once(&self.head).chain(&self.rows).filter_map(|row| row.get(at));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn padded(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| {
        let blanks = width + GAP - cell.chars().count();
        format!("{cell}{}", " ".repeat(blanks))
    });
    padded.collect::<String>().trim_end().to_owned()
}
