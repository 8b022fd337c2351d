use std::{ffi::OsString, path::PathBuf};

use rosemarybank_bundle::sign;

use super::{read_bundle, read_key};
use crate::{
    command::{Command, Example, Requirement},
    context::Context,
    error::CliError,
    report::Report,
};

xflags::xflags! {
    cmd bundle-sign {
        /// Bundle file.
        required file: PathBuf
        /// Version of the signed bundle; must be the active version plus one.
        required --version version: u64
        /// Signing key from `bundle keygen`.
        required --key file: PathBuf
    }
}

impl Command for BundleSign {
    const NAME: &'static [&'static str] = &["bundle", "sign"];
    const ABOUT: &'static str = "Prints a signed bundle for a roll-out from another machine.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Sign on a machine that has the key but no network.",
        args: &["config/bundle.yaml", "--version", "7", "--key", "keys/ops-1.key"],
        requires: Requirement::LocalFiles,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<BundleSign> {
        BundleSign::from_vec(args)
    }

    fn run(self, _: &Context) -> Result<Report, CliError> {
        let (text, _) = read_bundle(&self.file)?;
        let signed = sign(&read_key(&self.key)?, self.version, &text)?;
        let report = Report::new("", &signed);
        Ok(Report { text: format!("{}\n", report.json), ..report })
    }
}
