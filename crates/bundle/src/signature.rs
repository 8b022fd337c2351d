use base64::{Engine, prelude::BASE64_STANDARD};
use ed25519_dalek::{Signature, Signer};
use rosemarybank_protocol::{id::Version, platform::SignedBundle};

use crate::{
    error::{SignError, VerifyError},
    key::{KeyPair, TrustedKeys},
    parse::parse,
};

/// Returns the form of a bundle text that is signed: without a byte order mark, with `\n` line
/// endings, and with trailing whitespace replaced by a single line ending.
///
/// Comments are kept, so that a roll-back restores the text that the operators wrote.
///
/// # Examples
///
/// ```
/// assert_eq!(rosemarybank_bundle::canonical_text("format: 1\r\n\r\n"), "format: 1\n");
/// ```
#[must_use]
pub fn canonical_text(text: &str) -> String {
    let text = text.trim_start_matches('\u{feff}').replace("\r\n", "\n");
    format!("{}\n", text.trim_end())
}

/// Signs a bundle text for the given version.
///
/// # Errors
///
/// Returns an error if the text has faults or the version is 0.
///
/// # Examples
///
/// ```
/// use rosemarybank_bundle::{KeyPair, SignError, sign};
///
/// let key = KeyPair::generate("ops-1").unwrap();
/// assert_eq!(sign(&key, 1, "format: 1\n"), Err(SignError::InvalidBundle(3)));
/// ```
pub fn sign(key: &KeyPair, version: Version, text: &str) -> Result<SignedBundle, SignError> {
    if version == 0 {
        return Err(SignError::VersionZero);
    }
    let bundle = canonical_text(text);
    parse(&bundle).map_err(|faults| SignError::InvalidBundle(faults.len()))?;
    let signature = key.signing_key().sign(&signed_message(version, &bundle));
    let signature = BASE64_STANDARD.encode(signature.to_bytes()).into();
    Ok(SignedBundle { version, signer: key.name().clone(), bundle, signature })
}

/// Verifies that a trusted key signed the version and the text of a bundle.
///
/// The text is not parsed, because an instance must reject a tampered bundle before parsing it.
///
/// # Errors
///
/// Returns an error if the bundle is unsigned, signed by an unknown key or changed after signing.
pub fn verify(signed: &SignedBundle, trusted: &TrustedKeys) -> Result<(), VerifyError> {
    let version = signed.version;
    if signed.signature.is_empty() {
        return Err(VerifyError::Unsigned(version));
    }
    let signer = signed.signer.clone();
    let Some(key) = trusted.get(&signer) else {
        return Err(VerifyError::Untrusted { version, signer });
    };
    let bytes = BASE64_STANDARD.decode(&*signed.signature).ok();
    let signature = bytes.and_then(|bytes| Signature::from_slice(&bytes).ok());
    let message = signed_message(version, &signed.bundle);
    match signature.map(|it| key.verify_strict(&message, &it)) {
        Some(Ok(())) => Ok(()),
        _ => Err(VerifyError::Mismatch { version, signer }),
    }
}

fn signed_message(version: Version, bundle: &str) -> Vec<u8> {
    format!("{version}\n{bundle}").into_bytes()
}
