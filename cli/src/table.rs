//! Plain text tables with aligned columns.

/// A row of headings and rows of cells.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these headings.
    pub fn new(headings: &[&str]) -> Self {
        Table { rows: vec![headings.iter().map(|h| (*h).to_owned()).collect()] }
    }

    /// Appends a row.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Renders the table as text, with a newline after each row.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width =
            |at: usize| self.rows.iter().filter_map(|r| r.get(at)).map(String::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut out = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            out.push_str(line.trim_end());
            out.push('\n');
        }
        out
    }
}
