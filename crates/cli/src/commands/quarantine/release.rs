use std::{ffi::OsString, net::SocketAddr};

use serde_json::json;

use crate::{
    admin::AdminClient,
    command::{Command, Example, Requirement},
    context::Context,
    error::CliError,
    report::Report,
};

xflags::xflags! {
    cmd quarantine-release {
        /// Service, as shown by `quarantine list`.
        required service: String
        /// Fingerprint, as shown by `quarantine list`: 16 hexadecimal digits.
        required fingerprint: String
        /// Admin port of an entry instance; $ROSEMARYBANK_ADMIN if absent.
        optional --admin addr: SocketAddr
    }
}

impl Command for QuarantineRelease {
    const NAME: &'static [&'static str] = &["quarantine", "release"];
    const ABOUT: &'static str = "Allows a quarantined request again.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Release a request after its upstreams were fixed; all instances apply the release.",
        args: &["order-desk", "9f2c1b7a00d4e5f6"],
        requires: Requirement::Servers,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<QuarantineRelease> {
        let flags = QuarantineRelease::from_vec(args)?;
        let fingerprint = &flags.fingerprint;
        if fingerprint.len() != 16 || !fingerprint.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(xflags::Error::new("a fingerprint must have 16 hexadecimal digits"));
        }
        Ok(flags)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        let admin = AdminClient::new(cx.admin_addr(self.admin)?);
        let QuarantineRelease { service, fingerprint, .. } = self;
        let path = format!("/quarantine/{service}/{fingerprint}");
        match cx.block_on(admin.delete(&path))?? {
            Some(()) => {
                let json = json!({ "service": service, "fingerprint": fingerprint });
                Ok(Report::new(format!("{service}/{fingerprint}: released\n"), &json))
            }
            None => Err(CliError::NotQuarantined { addr: admin.addr(), service, fingerprint }),
        }
    }
}
