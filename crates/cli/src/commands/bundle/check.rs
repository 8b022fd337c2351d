use std::{ffi::OsString, path::PathBuf};

use rosemarybank_bundle::parse;
use serde_json::json;

use crate::{
    command::{Command, Example, Requirement},
    context::{Context, read_file},
    error::CliError,
    exit::ExitStatus,
    report::Report,
};

xflags::xflags! {
    cmd bundle-check {
        /// Bundle files.
        repeated files: PathBuf
    }
}

impl Command for BundleCheck {
    const NAME: &'static [&'static str] = &["bundle", "check"];
    const ABOUT: &'static str =
        "Lists the faults of bundle files with line, key and suggested fix.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Check the reference bundle; exit code 1 means that it has faults.",
        args: &["config/bundle.yaml"],
        requires: Requirement::LocalFiles,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<BundleCheck> {
        let flags = BundleCheck::from_vec(args)?;
        if flags.files.is_empty() {
            return Err(xflags::Error::new("name at least one file"));
        }
        Ok(flags)
    }

    fn run(self, _: &Context) -> Result<Report, CliError> {
        let mut text = String::new();
        let mut files = Vec::new();
        let mut status = ExitStatus::Success;
        for path in &self.files {
            let shown = path.display();
            let faults = parse(&read_file(path)?).err().unwrap_or_default();
            for fault in &faults {
                text.push_str(&format!("{shown}:{fault}\n"));
                status = ExitStatus::Findings;
            }
            text.push_str(&format!("{shown}: {} faults\n", faults.len()));
            files.push(json!({ "file": path, "faults": faults }));
        }
        Ok(Report::new(text, &files).with_status(status))
    }
}
