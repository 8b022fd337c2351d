use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use rosemarybank_protocol::action::ActionRequest;
use uuid::Uuid;

use super::action_report;
use crate::{
    command::{Command, Example, Requirement},
    context::Context,
    entry::EntryClient,
    error::CliError,
    http::HttpClient,
    report::Report,
};

xflags::xflags! {
    cmd action-submit {
        /// Name of the ledger service.
        required service: String
        /// Order entry or permit request in the format of the upstream.
        required body: String
        /// Idempotency key of an earlier submission of the action; generated if absent.
        optional --key key: Uuid
        /// Timeout in milliseconds; the timeout of the service if absent.
        optional --timeout-ms ms: u64
        /// Callers' port of an entry instance; $ROSEMARYBANK_ENTRY if absent.
        optional --entry addr: SocketAddr
        /// File with the caller's token; $ROSEMARYBANK_TOKEN if absent.
        optional --token-file file: PathBuf
    }
}

impl Command for ActionSubmit {
    const NAME: &'static [&'static str] = &["action", "submit"];
    const ABOUT: &'static str = "Submits a one-time action, which takes effect at most once.";
    const EXAMPLES: &'static [Example] = &[
        Example {
            about: "Submit an action; its key is printed to standard error before it is sent.",
            args: &["lot-ledger", "reserve lot 17 for Kavango"],
            requires: Requirement::Servers,
        },
        Example {
            about: "Retry after a lost response; the action takes effect at most once.",
            args: &[
                "lot-ledger",
                "reserve lot 17 for Kavango",
                "--key",
                "0190d3a4-7c1e-7b3a-9f00-3b1f2c4d5e6f",
            ],
            requires: Requirement::Servers,
        },
    ];

    fn parse(args: Vec<OsString>) -> xflags::Result<ActionSubmit> {
        ActionSubmit::from_vec(args)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let token = cx.token(self.token_file.as_deref())?;
        let entry = EntryClient::new(cx.entry_addr(self.entry)?, &token, HttpClient::http1());
        let key = self.key.unwrap_or_else(Uuid::now_v7).to_string();
        cx.note(format!("key {key}"));
        let req = ActionRequest { body: self.body.into(), timeout_ms: self.timeout_ms };
        let resp = cx.block_on(entry.submit(&self.service, &key, &req))??;
        Ok(action_report(&resp))
    }
}
