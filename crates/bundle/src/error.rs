use compact_str::CompactString;
use rosemarybank_protocol::id::Version;
use thiserror::Error;

/// Why a key can't be generated or read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The key name contains an invalid character or has an invalid length.
    #[error("`{0}` is not a valid key name; use 1 to 64 characters from a-z, 0-9 and `-`")]
    InvalidName(CompactString),
    /// The key file is not valid YAML, or has missing or unknown keys.
    #[error("the key file is invalid: {0}")]
    InvalidFile(String),
    /// The value is not a base64-encoded Ed25519 key of 32 bytes.
    #[error("key `{0}` is not base64 of an Ed25519 key")]
    InvalidKey(CompactString),
    /// Two trusted keys have the same name.
    #[error("two trusted keys are named `{0}`; rename one of them")]
    DuplicateName(CompactString),
    /// The operating system provided no random bytes.
    #[error("the operating system provided no random bytes: {0}")]
    RandomSource(String),
}

/// Why a bundle can't be signed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SignError {
    /// The bundle has this number of faults; [`parse`](crate::parse) returns them.
    #[error("the bundle has {0} faults; correct them before signing")]
    InvalidBundle(usize),
    /// The version is 0; versions start at 1.
    #[error("version 0 can't be signed; the first version is 1")]
    VersionZero,
}

/// Why the verification of a signed bundle failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum VerifyError {
    /// The bundle has no signature.
    #[error("version {0} is not signed")]
    Unsigned(Version),
    /// The key of the signer is not trusted.
    #[error("version {version} is signed by `{signer}`, which is not a trusted key")]
    Untrusted {
        /// Version of the bundle.
        version: Version,
        /// Name of the signer, as stated in the bundle.
        signer: CompactString,
    },
    /// The signature was not made by the trusted key for this version and text.
    #[error(
        "version {version}: the signature of `{signer}` does not match; the bundle was changed after signing or signed with another key"
    )]
    Mismatch {
        /// Version of the bundle.
        version: Version,
        /// Name of the signer, as stated in the bundle.
        signer: CompactString,
    },
}
