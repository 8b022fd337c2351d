use std::{ffi::OsString, net::SocketAddr};

use rosemarybank_bundle::{diff, parse};
use serde_json::json;

use crate::{
    command::{Command, Example, Requirement},
    context::Context,
    error::CliError,
    report::{Report, format_table, format_utc},
    rollout::history::{self, HistoryEntry},
    store::platform_client,
};

xflags::xflags! {
    cmd bundle-log {
        /// Prints the text of this version instead of the list.
        optional --show version: u64
        /// Address of the platform's object API; $ROSEMARYBANK_PLATFORM if absent.
        optional --platform addr: SocketAddr
    }
}

impl Command for BundleLog {
    const NAME: &'static [&'static str] = &["bundle", "log"];
    const ABOUT: &'static str = "Lists the last 20 versions, or prints the text of one.";
    const EXAMPLES: &'static [Example] = &[
        Example {
            about: "List the versions, newest first.",
            args: &[],
            requires: Requirement::Servers,
        },
        Example {
            about: "Print the text of version 6.",
            args: &["--show", "6"],
            requires: Requirement::Servers,
        },
    ];

    fn parse(args: Vec<OsString>) -> xflags::Result<BundleLog> {
        BundleLog::from_vec(args)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let store = platform_client(cx.platform_addr(self.platform)?);
        if let Some(version) = self.show {
            let entry = cx.block_on(history::read(&store, version))??;
            let entry = entry.ok_or(CliError::UnknownVersion { version })?;
            return Ok(Report::new(entry.signed.bundle.clone(), &entry));
        }
        let entries = cx.block_on(history::list(&store))??;
        let heading = ["VERSION", "SIGNER", "ROLLED OUT (UTC)", "CHANGES"];
        let mut rows = vec![heading.map(str::to_owned).to_vec()];
        let mut list = Vec::new();
        for (i, entry) in entries.iter().enumerate() {
            let HistoryEntry { signed, rolled_out_unix_ms } = entry;
            let changes = entries.get(i + 1).and_then(|previous| changes(previous, entry));
            rows.push(vec![
                signed.version.to_string(),
                signed.signer.to_string(),
                rolled_out_unix_ms.map_or("unknown".to_owned(), format_utc),
                changes.map_or("-".to_owned(), |it| it.to_string()),
            ]);
            list.push(json!({
                "version": signed.version,
                "signer": signed.signer,
                "rolled_out_unix_ms": rolled_out_unix_ms,
                "changes": changes,
            }));
        }
        Ok(Report::new(format_table(&rows), &list))
    }
}

/// Number of items that differ between two versions; `None` if one of them can't be parsed.
fn changes(previous: &HistoryEntry, after: &HistoryEntry) -> Option<usize> {
    let (old, new) = (parse(&previous.signed.bundle).ok()?, parse(&after.signed.bundle).ok()?);
    Some(diff(&old, &new).len())
}
