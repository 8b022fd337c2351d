use std::{
    ffi::OsString,
    fs::OpenOptions,
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

use rosemarybank_bundle::KeyPair;
use serde_json::json;

use crate::{
    command::{Command, Example, Requirement},
    context::{Context, write_error},
    error::CliError,
    report::Report,
};

xflags::xflags! {
    cmd bundle-keygen {
        /// Name of the signer: 1 to 64 characters of a-z, 0-9 and `-`.
        required name: String
        /// Directory for the key files; the current directory if absent.
        optional --dir dir: PathBuf
    }
}

impl Command for BundleKeygen {
    const NAME: &'static [&'static str] = &["bundle", "keygen"];
    const ABOUT: &'static str =
        "Generates a signing key: <name>.key (keep it private) and <name>.pub.";
    const EXAMPLES: &'static [Example] = &[Example {
        about: "Generate a key; add the contents of new-key.pub to trusted_keys of each instance.",
        args: &["new-key", "--dir", "keys"],
        requires: Requirement::LocalFiles,
    }];

    fn parse(args: Vec<OsString>) -> xflags::Result<BundleKeygen> {
        BundleKeygen::from_vec(args)
    }

    fn run(self, _: &Context) -> Result<Report, CliError> {
        let key = KeyPair::generate(self.name)?;
        let dir = self.dir.unwrap_or_default();
        let secret = dir.join(format!("{}.key", key.name()));
        let public = dir.join(format!("{}.pub", key.name()));
        write_new(&secret, 0o600, &key.to_text()).map_err(write_error(&secret))?;
        write_new(&public, 0o644, &key.public_key().to_text()).map_err(write_error(&public))?;
        let text = format!("{}\n{}\n", secret.display(), public.display());
        Ok(Report::new(text, &json!({ "secret_file": secret, "public_file": public })))
    }
}

/// Writes a new file; fails if it exists, because an overwritten signing key can't be recovered.
fn write_new(path: &Path, mode: u32, text: &str) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}
