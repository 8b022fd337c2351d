use std::{ffi::OsString, net::SocketAddr};

use rosemarybank_bundle::{diff, parse};
use serde_json::json;

use crate::{
    command::{Command, Example, Needs},
    context::Context,
    error::CliError,
    report::{Report, table, utc},
    rollout::history::{self, HistoryEntry},
    store::connect,
};

xflags::xflags! {
    cmd bundle-log {
        /// Prints the text of this version instead of the list.
        optional --show version: u64
        /// Platform's object API; $ROSEMARYBANK_PLATFORM if absent.
        optional --platform addr: SocketAddr
    }
}

impl Command for BundleLog {
    const NAME: &'static [&'static str] = &["bundle", "log"];
    const ABOUT: &'static str = "Lists the last 20 versions, or prints the text of one of them.";
    const EXAMPLES: &'static [Example] = &[
        Example { about: "List the versions, the newest first.", args: &[], needs: Needs::Servers },
        Example {
            about: "Print the text of version 6.",
            args: &["--show", "6"],
            needs: Needs::Servers,
        },
    ];

    fn parse(args: Vec<OsString>) -> xflags::Result<BundleLog> {
        BundleLog::from_vec(args)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let store = connect(cx.platform(self.platform)?);
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
            let changes = entries.get(i + 1).and_then(|before| changes(before, entry));
            rows.push(vec![
                signed.version.to_string(),
                signed.signer.to_string(),
                rolled_out_unix_ms.map_or("unknown".to_owned(), utc),
                changes.map_or("-".to_owned(), |it| it.to_string()),
            ]);
            list.push(json!({
                "version": signed.version,
                "signer": signed.signer,
                "rolled_out_unix_ms": rolled_out_unix_ms,
                "changes": changes,
            }));
        }
        Ok(Report::new(table(&rows), &list))
    }
}

/// Number of items that differ from the version before, if both texts can be read.
fn changes(before: &HistoryEntry, after: &HistoryEntry) -> Option<usize> {
    let (old, new) = (parse(&before.signed.bundle).ok()?, parse(&after.signed.bundle).ok()?);
    Some(diff(&old, &new).len())
}
