use std::{ffi::OsString, net::SocketAddr};

use rosemarybank_protocol::platform::QuarantineEntry;
use serde::Deserialize;

use crate::{
    admin::AdminClient,
    command::{Command, Example, Requirement},
    context::Context,
    error::CliError,
    report::{Report, format_table, format_utc},
};

xflags::xflags! {
    cmd quarantine-list {
        /// Admin port of an entry instance; $ROSEMARYBANK_ADMIN if absent.
        optional --admin addr: SocketAddr
    }
}

/// Response body of `GET /quarantine`.
#[derive(Deserialize)]
struct QuarantineResponse {
    entries: Vec<QuarantineEntry>,
}

impl Command for QuarantineList {
    const NAME: &'static [&'static str] = &["quarantine", "list"];
    const ABOUT: &'static str = "Lists requests that are rejected because they crash upstreams.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "List them; all instances have the same entries.",
        args: &[],
        requires: Requirement::Servers,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<QuarantineList> {
        QuarantineList::from_vec(args)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let admin = AdminClient::new(cx.admin_addr(self.admin)?);
        let resp = cx.block_on(admin.get::<QuarantineResponse>("/quarantine"))??;
        let entries = resp.map(|it| it.entries).unwrap_or_default();
        let heading = ["SERVICE", "FINGERPRINT", "CRASHES", "EXPIRES (UTC)", "RELEASED"];
        let mut rows = vec![heading.map(str::to_owned).to_vec()];
        rows.extend(entries.iter().map(row));
        Ok(Report::new(format_table(&rows), &entries))
    }
}

fn row(entry: &QuarantineEntry) -> Vec<String> {
    vec![
        entry.service.to_string(),
        format!("{:016x}", entry.fingerprint),
        entry.crashes.to_string(),
        format_utc(entry.expires_unix_ms),
        if entry.released { "yes" } else { "no" }.to_owned(),
    ]
}
