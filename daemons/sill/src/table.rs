//! Tables for people.

use std::fmt::{self, Display, Formatter};

/// Rows under a heading, each column as wide as its widest cell.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table with a heading.
    pub fn new(heading: &[&str]) -> Self {
        let mut table = Self::default();
        table.row(heading);
        table
    }

    /// Adds a row.
    pub fn row<C>(&mut self, cells: &[C])
    where
        C: Display,
    {
        self.rows.push(cells.iter().map(|cell| one_line(&cell.to_string())).collect());
    }
}

/// Texts of others may hold line breaks and control characters, which must not forge a row.
fn one_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}

impl Display for Table {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            writeln!(f, "{}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
        }
        Ok(())
    }
}
