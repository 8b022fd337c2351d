use std::{ffi::OsString, path::PathBuf};

use rosemarybank_bundle::diff;

use super::read_bundle;
use crate::{
    command::{Command, Example, Requirement},
    context::Context,
    error::CliError,
    exit::ExitStatus,
    report::Report,
};

xflags::xflags! {
    cmd bundle-diff {
        /// Old bundle.
        required old: PathBuf
        /// New bundle.
        required new: PathBuf
    }
}

impl Command for BundleDiff {
    const NAME: &'static [&'static str] = &["bundle", "diff"];
    const ABOUT: &'static str = "Lists the items that differ between two bundles.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Compare two bundles, ignoring order and comments; exit code 1 means that they \
                differ.",
        args: &["config/bundle.yaml", "config/bundle.yaml"],
        requires: Requirement::LocalFiles,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<BundleDiff> {
        BundleDiff::from_vec(args)
    }

    fn run(self, _: &Context) -> Result<Report, CliError> {
        let changes = diff(&read_bundle(&self.old)?.1, &read_bundle(&self.new)?.1);
        let text: String = changes.iter().map(|change| format!("{change}\n")).collect();
        let status = if changes.is_empty() { ExitStatus::Success } else { ExitStatus::Findings };
        Ok(Report::new(text, &changes).with_status(status))
    }
}
