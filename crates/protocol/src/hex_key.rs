//! Serde functions for record keys, for use with `#[serde(with = "hex_key")]`.
//!
//! Human-readable formats encode a key as 16 hexadecimal digits, because many JSON parsers lose
//! precision in numbers above 2^53. Binary formats encode it as an integer.

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Serializes a record key.
///
/// # Errors
///
/// Returns any error of the serializer.
pub fn serialize<S: Serializer>(key: &u64, ser: S) -> Result<S::Ok, S::Error> {
    if ser.is_human_readable() {
        ser.collect_str(&format_args!("{key:016x}"))
    } else {
        ser.serialize_u64(*key)
    }
}

/// Deserializes a record key.
///
/// # Errors
///
/// Returns an error if a human-readable key is not 1 to 16 hexadecimal digits.
pub fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<u64, D::Error> {
    if !de.is_human_readable() {
        return u64::deserialize(de);
    }
    let text = compact_str::CompactString::deserialize(de)?;
    let digits_only = text.bytes().all(|b| b.is_ascii_hexdigit());
    if text.is_empty() || text.len() > 16 || !digits_only {
        return Err(D::Error::custom("a record key must be 1 to 16 hexadecimal digits"));
    }
    u64::from_str_radix(&text, 16).map_err(D::Error::custom)
}
