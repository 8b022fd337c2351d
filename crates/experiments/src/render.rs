//! Renders reports as plain text and as Markdown.

use std::fmt::Write as _;

use crate::report::{Bound, Report, Verdict};

/// Minimum number of rounds; reports with fewer are marked as trials.
const MIN_ROUNDS: u32 = 5;

/// Introduction of the Markdown document.
pub const DOCUMENT_HEAD: &str = "# Measurements

This page is the output of the project's load and experiment tool:

```sh
cargo build --release --locked --workspace --bins
target/release/experiments all --markdown > docs/measurements.md
```

Everything runs on one machine over loopback against the stand-ins of this repository. Delays between data
centres are emulated by the stand-ins from the address that a request comes from. A round measures every case
once, with both policies in alternation; each table shows the median, the least and the greatest value over
the rounds. `adaptive` is the policy of the product and `baseline` the one that is kept for comparison.
Latencies count from the intended send time of an open-loop generator.
";

/// Renders a report as a section of the Markdown document.
#[must_use]
pub fn markdown(report: &Report) -> String {
    let mut text = format!("\n## {}\n\n{}\n\n", report.scenario, report.setup);
    let Report { command, seed, commit, machine, rounds, took_s, .. } = report;
    if *rounds < MIN_ROUNDS {
        let _ = writeln!(text, "**Trial with fewer than {MIN_ROUNDS} rounds.**\n");
    }
    let _ = writeln!(
        text,
        "Command: `{command}`. Seed {seed}, commit `{commit}`, {rounds} rounds, {took_s:.0} s, {machine}.\n"
    );
    text.push_str("| case | measure | median | min | max | n |\n|---|---|---|---|---|---|\n");
    for row in &report.rows {
        let it = row.spread;
        let [median, min, max] = [it.median, it.min, it.max].map(format_number);
        let (case, measure, count) = (&row.case, &row.measure, it.count);
        let _ = writeln!(text, "| {case} | {measure} | {median} | {min} | {max} | {count} |");
    }
    text.push('\n');
    for verdict in &report.verdicts {
        let _ = writeln!(text, "- {}", verdict_line(verdict));
    }
    let _ = write!(text, "\n{}\n", report.limits);
    text
}

/// Renders a report as plain text with aligned columns.
#[must_use]
pub fn plain(report: &Report) -> String {
    let Report { scenario, command, seed, commit, machine, rounds, took_s, .. } = report;
    let mut text = format!(
        "{scenario}: {command}\nseed {seed}, commit {commit}, {rounds} rounds, {took_s:.0} s, {machine}\n"
    );
    let _ = writeln!(
        text,
        "{:<36} {:<44} {:>10} {:>10} {:>10} {:>3}",
        "CASE", "MEASURE", "MEDIAN", "MIN", "MAX", "N"
    );
    for row in &report.rows {
        let it = row.spread;
        let [median, min, max] = [it.median, it.min, it.max].map(format_number);
        let _ = writeln!(
            text,
            "{:<36} {:<44} {median:>10} {min:>10} {max:>10} {:>3}",
            row.case, row.measure, it.count
        );
    }
    for verdict in &report.verdicts {
        let _ = writeln!(text, "{}", verdict_line(verdict));
    }
    text
}

/// Renders one line that states whether a target was met.
#[must_use]
pub fn verdict_line(verdict: &Verdict) -> String {
    let bound = match verdict.bound {
        Bound::AtMost => "at most",
        Bound::AtLeast => "at least",
    };
    let status = if verdict.met { "met" } else { "missed" };
    let measured = verdict.measured.map_or("no value".to_owned(), format_number);
    format!(
        "**{status}**: {}: {measured}, target {bound} {}",
        verdict.target,
        format_number(verdict.limit)
    )
}

/// Formats a number with about four significant digits.
#[must_use]
pub fn format_number(value: f64) -> String {
    match value.abs() {
        it if it >= 1_000.0 => format!("{value:.0}"),
        it if it >= 100.0 => format!("{value:.1}"),
        it if it >= 10.0 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}
