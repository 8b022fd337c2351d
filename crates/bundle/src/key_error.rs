use compact_str::CompactString;
use rosemarybank_protocol::id::Version;
use thiserror::Error;

/// Why a key can't be made or read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The name holds a character that is not allowed, or has a wrong length.
    #[error("`{0}` is not a key name; use 1 to 64 of a-z, 0-9 and `-`")]
    Name(CompactString),
    /// The text of a key file can't be read.
    #[error("the key file is not readable: {0}")]
    File(String),
    /// The key is not base64 of 32 bytes of an Ed25519 key.
    #[error("key `{0}` is not base64 of an Ed25519 key")]
    Encoding(CompactString),
    /// Two trusted keys have one name.
    #[error("two trusted keys are named `{0}`; rename one")]
    Duplicate(CompactString),
    /// The operating system gave no random bytes.
    #[error("the operating system gave no random bytes: {0}")]
    Random(String),
}

/// Why a text can't be signed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SignError {
    /// The text has faults; use [`parse`](crate::parse) to list them.
    #[error("the bundle has {0} faults; correct them before signing")]
    Faulty(usize),
    /// Versions start at 1.
    #[error("version 0 can't be signed; the first version is 1")]
    VersionZero,
}

/// Why a signed bundle is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum VerifyError {
    /// No signature is there.
    #[error("version {0} carries no signature")]
    Unsigned(Version),
    /// The signer is not among the trusted keys.
    #[error("version {version} is signed by `{signer}`, which is not a trusted key")]
    Untrusted {
        /// Version of the bundle.
        version: Version,
        /// Name that the bundle gives.
        signer: CompactString,
    },
    /// The signature is not that of the trusted key over this version and text.
    #[error(
        "version {version}: the signature of `{signer}` does not match; the bundle was changed after signing or signed with another key"
    )]
    Mismatch {
        /// Version of the bundle.
        version: Version,
        /// Name that the bundle gives.
        signer: CompactString,
    },
}
