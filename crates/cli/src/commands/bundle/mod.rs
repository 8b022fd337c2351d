//! Commands for bundles.

pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod keygen;
pub(crate) mod log;
pub(crate) mod roll_out;
pub(crate) mod sign;
pub(crate) mod status;

use std::path::Path;

use rosemarybank_bundle::{KeyPair, parse};
use rosemarybank_protocol::bundle::Bundle;

use crate::{context::read_file, error::CliError};

/// Reads and parses a bundle file; fails if it has faults.
fn read_bundle(path: &Path) -> Result<(String, Bundle), CliError> {
    let text = read_file(path)?;
    let bundle =
        parse(&text).map_err(|faults| CliError::InvalidBundle { path: path.to_owned(), faults })?;
    Ok((text, bundle))
}

/// Reads a signing key file.
fn read_key(path: &Path) -> Result<KeyPair, CliError> {
    let text = read_file(path)?;
    KeyPair::from_text(&text)
        .map_err(|source| CliError::InvalidKeyFile { path: path.to_owned(), source })
}
