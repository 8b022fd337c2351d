use chrono::DateTime;
use serde::Serialize;
use serde_json::Value;

use crate::exit::ExitStatus;

/// Result of a command, as text for people and as JSON for scripts.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) text: String,
    pub(crate) json: Value,
    pub(crate) status: ExitStatus,
}

impl Report {
    /// Creates a report with the status [`ExitStatus::Success`].
    pub(crate) fn new(text: impl Into<String>, json: &impl Serialize) -> Report {
        let json = serde_json::to_value(json).expect("reports have text keys and finite numbers");
        Report { text: text.into(), json, status: ExitStatus::Success }
    }

    /// Replaces the status.
    pub(crate) fn with_status(self, status: ExitStatus) -> Report {
        Report { status, ..self }
    }
}

/// Formats rows as aligned columns; the first row is the heading.
pub(crate) fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<_> = (0..columns).map(|column| width(column).unwrap_or_default()).collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<_> =
            row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:<width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Formats milliseconds since the Unix epoch as date and time in UTC.
pub(crate) fn format_utc(unix_ms: u64) -> String {
    let time = i64::try_from(unix_ms).ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(
        || "out of range".to_owned(),
        |time| time.format("%Y-%m-%d %H:%M:%S").to_string(),
    )
}
