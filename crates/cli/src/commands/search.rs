use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use rosemarybank_protocol::{prelude::*, search::DEFAULT_HIT_LIMIT};

use super::parse_enum;
use crate::{
    command::{Command, Example, Requirement},
    context::Context,
    entry::EntryClient,
    error::CliError,
    exit::ExitStatus,
    http::HttpClient,
    report::{Report, format_table},
};

xflags::xflags! {
    cmd search {
        /// Name of the service.
        required service: String
        /// Text to search for.
        required query: String
        /// Callers' port of an entry instance; $ROSEMARYBANK_ENTRY if absent.
        optional --entry addr: SocketAddr
        /// File with the caller's token; $ROSEMARYBANK_TOKEN if absent.
        optional --token-file file: PathBuf
        /// Maximum number of hits; 20 if absent.
        optional --limit hits: u32
        /// Timeout in milliseconds; the timeout of the service if absent.
        optional --timeout-ms ms: u64
        /// `complete` or `partial`; the coverage mode of the service if absent.
        optional --coverage mode: String
    }
}

impl Command for Search {
    const NAME: &'static [&'static str] = &["search"];
    const ABOUT: &'static str = "Searches a service and shows the hits and their coverage.";
    const EXAMPLES: &'static [Example] = &[
        Example {
            about: "Search; exit code 1 means that the response does not cover all records.",
            args: &["order-desk", "walnut", "--limit", "5"],
            requires: Requirement::Servers,
        },
        Example {
            about: "Require coverage of all records within 300 ms.",
            args: &["order-desk", "walnut", "--coverage", "complete", "--timeout-ms", "300"],
            requires: Requirement::Servers,
        },
    ];

    fn parse(args: Vec<OsString>) -> xflags::Result<Search> {
        let flags = Search::from_vec(args)?;
        coverage(&flags)?;
        Ok(flags)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let token = cx.token(self.token_file.as_deref())?;
        let entry = EntryClient::new(cx.entry_addr(self.entry)?, &token, HttpClient::http1());
        let req = SearchRequest {
            query: self.query.clone(),
            limit: self.limit.unwrap_or(DEFAULT_HIT_LIMIT),
            timeout_ms: self.timeout_ms,
            coverage: coverage(&self).map_err(|e| CliError::Usage(e.to_string()))?,
        };
        let resp = cx.block_on(entry.search(&self.service, &req))??;
        let status = if resp.complete { ExitStatus::Success } else { ExitStatus::Findings };
        Ok(Report::new(text(&resp), &resp).with_status(status))
    }
}

fn coverage(flags: &Search) -> xflags::Result<Option<CoverageMode>> {
    flags.coverage.as_deref().map(|word| parse_enum("--coverage", word)).transpose()
}

fn text(resp: &SearchResponse) -> String {
    let mut rows = vec![vec!["KEY".into(), "SCORE".into(), "RECORD".into()]];
    rows.extend(resp.hits.iter().map(|hit| {
        vec![format!("{:016x}", hit.key), hit.score.to_string(), hit.record.to_string()]
    }));
    let SearchResponse { snapshot, trace_id, .. } = resp;
    format!(
        "{}\n{}snapshot {snapshot}\ntrace    {trace_id}\n",
        format_table(&rows),
        coverage_text(&resp.coverage)
    )
}

/// Formats the coverage of a response, with one line per missing range.
pub(crate) fn coverage_text(coverage: &Coverage) -> String {
    let total = match coverage.records_total {
        RecordTotal::Exact(total) => total.to_string(),
        RecordTotal::AtLeast(total) => format!("at least {total}"),
    };
    let state = if coverage.is_complete() { "complete" } else { "partial" };
    let mut text = format!("coverage {state}: {} of {total} records\n", coverage.records_covered);
    for MissingRange { range, reason } in &coverage.missing {
        let reason = serde_json::to_value(reason).unwrap_or_default();
        let reason = reason.as_str().unwrap_or_default().replace('_', " ");
        text.push_str(&format!("missing  {range}: {reason}\n"));
    }
    text
}
