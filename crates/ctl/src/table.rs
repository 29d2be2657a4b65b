//! Prints rows as a table, or as JSON for programs.

use serde_json::Value;

/// Prints rows with the given columns, or all their keys as JSON.
pub fn print(rows: &[Value], columns: &[&str], json: bool) {
    if json {
        say!("{}", Value::from(rows.to_vec()));
        return;
    }
    let cell = |row: &Value, column: &str| match &row[column] {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    };
    let mut lines = vec![columns.iter().map(|c| c.to_uppercase()).collect::<Vec<_>>()];
    lines.extend(rows.iter().map(|row| columns.iter().map(|c| cell(row, c)).collect()));
    let width = |n: usize| lines.iter().map(|l| l[n].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(text, w)| format!("{text:w$}"));
        say!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}
