//! Tables in text output.

use crate::output::{Printable, Style};

/// Number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Rows under headings, in left-aligned columns.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes an empty table with headings, which are shown in upper case.
    pub(crate) fn new(head: &[&str]) -> Table {
        Table { head: head.iter().map(|text| text.to_uppercase()).collect(), rows: Vec::new() }
    }

    /// Adds a row, escaping its cells for the terminal.
    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().map(|cell| Printable(&cell).to_string()).collect());
    }

    /// Returns the table as text.
    pub(crate) fn text(&self, style: Style) -> String {
        let lines = std::iter::once(&self.head).chain(&self.rows);
        let widths: Vec<usize> = (0..self.head.len()).map(|index| self.width(index)).collect();
        let mut text = String::new();
        for (number, cells) in lines.enumerate() {
            let line = pad_cells(cells, &widths);
            text.push_str(&if number == 0 { style.head(&line) } else { line });
            text.push('\n');
        }
        text
    }

    fn width(&self, index: usize) -> usize {
        let cells = std::iter::once(&self.head).chain(&self.rows).filter_map(|row| row.get(index));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn pad_cells(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| {
        let spaces = width + COLUMN_GAP - cell.chars().count();
        format!("{cell}{}", " ".repeat(spaces))
    });
    padded.collect::<String>().trim_end().to_owned()
}
