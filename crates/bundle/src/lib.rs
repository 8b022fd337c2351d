//! Configuration bundles: parsing, checking, differences and signatures.
//!
//! A bundle is YAML text that operators sign and roll out. [`parse`] reads it and reports every
//! fault of one text at once, each with its line, key and remedy. [`sign`] and [`verify`] bind a
//! text to a version with Ed25519. [`diff`] compares two bundles item by item.
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
mod fault;
mod key;
mod key_error;
mod node;
mod parse;
mod reader;
mod signature;
mod yaml;

pub use crate::{
    diff::{Change, ChangeKind, diff},
    fault::{Fault, Position},
    key::{KeyPair, PublicKey, TrustedKeys},
    key_error::{KeyError, SignError, VerifyError},
    parse::{MAX_BUNDLE_LEN, parse},
    signature::{canonical_text, sign, verify},
};
