use super::stats::RunSummary;
use crate::report::format_table;

/// A column of [`median_table`] and its value.
type Column = (&'static str, fn(&RunSummary) -> f64);

/// Column headings of [`row`].
const HEADINGS: [&str; 12] = [
    "RUN",
    "OFFERED/S",
    "ACHIEVED/S",
    "P50 MS",
    "P90 MS",
    "P99 MS",
    "P99.9 MS",
    "MAX MS",
    "COMPLETE",
    "COVERAGE",
    "EXTRA LOAD",
    "ERRORS",
];

/// Formats named run summaries, one row each.
pub(crate) fn summary_table<'a>(
    rows: impl IntoIterator<Item = (String, &'a RunSummary)>,
) -> String {
    let mut lines = vec![HEADINGS.map(str::to_owned).to_vec()];
    lines.extend(rows.into_iter().map(|(name, summary)| row(name, summary)));
    format_table(&lines)
}

/// Formats the median, minimum and maximum of each column over several runs.
pub(crate) fn median_table(name: &str, runs: &[RunSummary]) -> String {
    let columns: [Column; 8] = [
        ("achieved/s", |it| it.achieved_per_s),
        ("p50 ms", |it| it.p50_ms),
        ("p90 ms", |it| it.p90_ms),
        ("p99 ms", |it| it.p99_ms),
        ("p99.9 ms", |it| it.p999_ms),
        ("max ms", |it| it.max_ms),
        ("complete", |it| it.complete_share),
        ("coverage", |it| it.coverage_share),
    ];
    let mut values: Vec<_> =
        columns.map(|(column, value)| (column, runs.iter().map(value).collect::<Vec<_>>())).into();
    let extra_load: Vec<_> = runs.iter().filter_map(|it| it.extra_load).collect();
    if !extra_load.is_empty() {
        values.push(("extra load", extra_load));
    }
    let mut rows = vec![["RUN", "COLUMN", "MEDIAN", "MIN", "MAX"].map(str::to_owned).to_vec()];
    for (column, values) in values {
        let (median, min, max) = median_min_max(values);
        rows.push(vec![
            name.to_owned(),
            column.to_owned(),
            format!("{median:.3}"),
            format!("{min:.3}"),
            format!("{max:.3}"),
        ]);
    }
    format_table(&rows)
}

/// Returns the median, minimum and maximum of the values; zeros if there are none.
pub(crate) fn median_min_max(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    let at = |index: usize| values.get(index).copied().unwrap_or_default();
    let len = values.len();
    let median = match len % 2 {
        0 => f64::midpoint(at((len / 2).saturating_sub(1)), at(len / 2)),
        _ => at(len / 2),
    };
    (median, at(0), at(len.saturating_sub(1)))
}

fn row(name: String, summary: &RunSummary) -> Vec<String> {
    let errors: Vec<_> =
        summary.errors.iter().map(|(kind, count)| format!("{kind}={count}")).collect();
    let errors = if errors.is_empty() { "-".to_owned() } else { errors.join(",") };
    let ms = |value: f64| format!("{value:.2}");
    let share = |value: f64| format!("{value:.4}");
    vec![
        name,
        format!("{:.1}", summary.offered_per_s),
        format!("{:.1}", summary.achieved_per_s),
        ms(summary.p50_ms),
        ms(summary.p90_ms),
        ms(summary.p99_ms),
        ms(summary.p999_ms),
        ms(summary.max_ms),
        share(summary.complete_share),
        share(summary.coverage_share),
        summary.extra_load.map_or("-".to_owned(), share),
        errors,
    ]
}
