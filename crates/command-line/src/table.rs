//! Formats JSON objects as text tables.

use serde_json::Value;

/// Formats a table with a row for each object. `columns` contains titles and paths, such as `description.id`.
pub fn table(rows: &[Value], columns: &[(&str, &str)]) -> String {
    let header: Vec<String> = columns.iter().map(|(title, _)| title.to_string()).collect();
    let cells = rows.iter().map(|row| columns.iter().map(|(_, path)| cell(row, path)).collect());
    let lines: Vec<Vec<String>> = std::iter::once(header).chain(cells).collect();
    let width = |column: usize| lines.iter().map(|line| line[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let write = |line: &Vec<String>| {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let text: Vec<String> = cells.collect();
        format!("{}\n", text.join("  ").trim_end())
    };
    lines.iter().map(write).collect()
}

fn cell(row: &Value, path: &str) -> String {
    let mut value = row;
    for key in path.split('.') {
        value = &value[key];
    }
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_string(),
        other => other.to_string(),
    }
}
