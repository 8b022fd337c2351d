use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

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
    cmd action-show {
        /// Name of the ledger service.
        required service: String
        /// Idempotency key of the action.
        required key: Uuid
        /// Callers' port of an entry instance; $ROSEMARYBANK_ENTRY if absent.
        optional --entry addr: SocketAddr
        /// File with the caller's token; $ROSEMARYBANK_TOKEN if absent.
        optional --token-file file: PathBuf
    }
}

impl Command for ActionShow {
    const NAME: &'static [&'static str] = &["action", "show"];
    const ABOUT: &'static str = "Shows the outcome of an action as its caller sees it.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Show an action; exit code 5 means not run, 6 outcome unknown.",
        args: &["lot-ledger", "0190d3a4-7c1e-7b3a-9f00-3b1f2c4d5e6f"],
        requires: Requirement::Servers,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<ActionShow> {
        ActionShow::from_vec(args)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let token = cx.token(self.token_file.as_deref())?;
        let entry = EntryClient::new(cx.entry_addr(self.entry)?, &token, HttpClient::http1());
        let resp = cx.block_on(entry.get_action(&self.service, &self.key.to_string()))??;
        Ok(action_report(&resp))
    }
}
