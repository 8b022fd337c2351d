use std::{ffi::OsString, net::SocketAddr};

use rosemarybank_protocol::platform::QuarantineEntry;
use serde::Deserialize;

use crate::{
    admin::Admin,
    command::{Command, Example, Needs},
    context::Context,
    error::CliError,
    report::{Report, table, utc},
};

xflags::xflags! {
    cmd quarantine-list {
        /// Admin port of an entry instance; $ROSEMARYBANK_ADMIN if absent.
        optional --admin addr: SocketAddr
    }
}

/// Answer of `/quarantine`.
#[derive(Deserialize)]
struct Document {
    entries: Vec<QuarantineEntry>,
}

impl Command for QuarantineList {
    const NAME: &'static [&'static str] = &["quarantine", "list"];
    const ABOUT: &'static str = "Lists the requests that are refused because they crash upstreams.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "List them; every instance holds the same entries.",
        args: &[],
        needs: Needs::Servers,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<QuarantineList> {
        QuarantineList::from_vec(args)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let admin = Admin::new(cx.admin(self.admin)?);
        let document = cx.block_on(admin.get::<Document>("/quarantine"))??;
        let entries = document.map(|it| it.entries).unwrap_or_default();
        let heading = ["SERVICE", "FINGERPRINT", "CRASHES", "EXPIRES (UTC)", "RELEASED"];
        let mut rows = vec![heading.map(str::to_owned).to_vec()];
        rows.extend(entries.iter().map(row));
        Ok(Report::new(table(&rows), &entries))
    }
}

fn row(entry: &QuarantineEntry) -> Vec<String> {
    vec![
        entry.service.to_string(),
        format!("{:016x}", entry.fingerprint),
        entry.crashes.to_string(),
        utc(entry.expires_unix_ms),
        if entry.released { "yes" } else { "no" }.to_owned(),
    ]
}
