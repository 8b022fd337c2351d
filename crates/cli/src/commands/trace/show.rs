use std::{ffi::OsString, net::SocketAddr};

use serde_json::Value;

use crate::{
    admin::AdminClient,
    command::{Command, Example, Requirement},
    context::Context,
    error::CliError,
    report::Report,
};

xflags::xflags! {
    cmd trace-show {
        /// Trace id: 32 hexadecimal digits.
        required id: String
        /// Admin port of the instance that handled the request; $ROSEMARYBANK_ADMIN if absent.
        optional --admin addr: SocketAddr
    }
}

impl Command for TraceShow {
    const NAME: &'static [&'static str] = &["trace", "show"];
    const ABOUT: &'static str = "Shows the recorded spans of a request.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Show where a request spent its time; its response contains the trace id.",
        args: &["4bf92f3577b34da6a3ce929d0e0e4736"],
        requires: Requirement::Servers,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<TraceShow> {
        let flags = TraceShow::from_vec(args)?;
        if flags.id.len() != 32 || !flags.id.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(xflags::Error::new("a trace id must have 32 hexadecimal digits"));
        }
        Ok(flags)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let admin = AdminClient::new(cx.admin_addr(self.admin)?);
        let path = format!("/traces/{}", self.id);
        let trace = cx.block_on(admin.get::<Value>(&path))??;
        let addr = admin.addr();
        let trace = trace.ok_or(CliError::TraceNotFound { addr, id: self.id })?;
        Ok(Report::new(format!("{trace:#}\n"), &trace))
    }
}
