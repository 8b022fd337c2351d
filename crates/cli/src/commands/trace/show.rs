use std::{ffi::OsString, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::Value;

use crate::{
    command::{Command, Example, Needs},
    context::Context,
    entry::{bad_reply, unreachable},
    error::CliError,
    http::{Call, Http},
    report::Report,
};

/// Time for a reply of an admin port.
const TIMEOUT: Duration = Duration::from_secs(5);

xflags::xflags! {
    cmd trace-show {
        /// Identifier of the trace, 32 hexadecimal digits.
        required id: String
        /// Admin port of the instance that answered; $ROSEMARYBANK_ADMIN if absent.
        optional --admin addr: SocketAddr
    }
}

impl Command for TraceShow {
    const NAME: &'static [&'static str] = &["trace", "show"];
    const ABOUT: &'static str = "Shows the spans of one request, as its instance kept them.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Show where the time of a request went; its answer names the trace.",
        args: &["4bf92f3577b34da6a3ce929d0e0e4736"],
        needs: Needs::Servers,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<TraceShow> {
        let flags = TraceShow::from_vec(args)?;
        if flags.id.len() != 32 || !flags.id.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(xflags::Error::new("a trace id has 32 hexadecimal digits"));
        }
        Ok(flags)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let addr = cx.admin(self.admin)?;
        let path = format!("/traces/{}", self.id);
        let (method, headers, body) = (Method::GET, Vec::new(), Bytes::new());
        let call = Call { method, addr, path: &path, headers, body, timeout: TIMEOUT };
        let reply = cx.block_on(Http::http1().send(call))?;
        let reply = reply.map_err(|e| unreachable(addr, e))?;
        if reply.status() == StatusCode::NOT_FOUND {
            return Err(CliError::NoTrace { addr, id: self.id });
        }
        let trace: Value =
            serde_json::from_slice(reply.body()).map_err(|_| bad_reply(addr, &reply))?;
        Ok(Report::new(format!("{trace:#}\n"), &trace))
    }
}
