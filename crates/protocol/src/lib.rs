//! Types, messages and errors shared by every rosemarybank package.
//!
//! This package holds no decisions: it names what travels between callers, entry instances,
//! upstreams and the platform, and the closed list of errors with its table of answers.

pub mod action;
pub mod bundle;
pub mod coverage;
pub mod error;
pub mod hex_key;
pub mod id;
pub mod key_range;
pub mod peer;
pub mod platform;
pub mod prelude;
pub mod search;
pub mod upstream;
