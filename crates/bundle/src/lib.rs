//! Configuration bundles: parsing, validation, comparison and signatures.
//!
//! A bundle is a YAML document that operators sign and roll out. [`parse`] reads and validates a
//! bundle and returns all of its faults at once, each with its position, key and a suggested fix.
//! [`sign`] and [`verify`] bind a text to a version with an Ed25519 signature. [`diff`] lists the
//! differences between two bundles.
//!
//! # Examples
//!
//! ```
//! use rosemarybank_bundle::{KeyPair, TrustedKeys, parse, sign, verify};
//!
//! let text = "format: 1
//! services:
//!   - name: licences
//!     kind: ledger
//!     timeout_ms: 2000
//!     shards:
//!       - { range: { first: 0000000000000000, last: ffffffffffffffff }, upstream: licence-office }
//! upstreams:
//!   - { name: licence-office, slots: 6, connections: 50 }
//! callers: []
//! ";
//! let bundle = parse(text).expect("the bundle has no faults");
//! assert_eq!(bundle.upstreams[0].slots, 6);
//!
//! let key = KeyPair::generate("ops-1")?;
//! let signed = sign(&key, 7, text)?;
//! verify(&signed, &TrustedKeys::new([key.public_key()])?)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod check;
mod diff;
mod error;
mod fault;
mod key;
mod node;
mod parse;
mod reader;
mod signature;
mod yaml;

pub use crate::{
    diff::{Change, ChangeKind, diff},
    error::{KeyError, SignError, VerifyError},
    fault::{Fault, Position},
    key::{KeyPair, PublicKey, TrustedKeys},
    parse::{MAX_BUNDLE_LEN, parse},
    signature::{canonical_text, sign, verify},
};
