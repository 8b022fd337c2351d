//! Validation of idempotency keys: UUIDv7 strings whose timestamp limits how long a key is valid.

use serde::{Deserialize, Serialize};

/// Maximum age of an accepted key in milliseconds. Claims are kept for twice this time, so an
/// action can't run again after its claim has been deleted.
pub const MAX_AGE_MS: u64 = 24 * 60 * 60 * 1000;

/// Maximum time in milliseconds by which the timestamp of a key may be in the future, to allow for
/// clock skew of callers.
pub const MAX_FUTURE_MS: u64 = 5 * 60 * 1000;

/// Why an idempotency key was refused. The request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyError {
    /// Not a UUID in its 36-character form with lower-case hexadecimal digits.
    Malformed,
    /// A UUID of another version or variant.
    NotVersion7,
    /// Older than [`MAX_AGE_MS`].
    TooOld,
    /// More than [`MAX_FUTURE_MS`] in the future.
    InFuture,
}

impl std::fmt::Display for KeyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            KeyError::Malformed => "the idempotency key is not a lower-case UUID",
            KeyError::NotVersion7 => "the idempotency key is not a UUID of version 7",
            KeyError::TooOld => "the idempotency key is older than 24 hours",
            KeyError::InFuture => "the idempotency key lies more than 5 minutes in the future",
        })
    }
}

impl std::error::Error for KeyError {}

/// Validates an idempotency key against the current wall-clock time and returns its timestamp.
///
/// Both times are in milliseconds since the Unix epoch. Upper-case digits are refused because two
/// spellings of one key would name two claim objects.
///
/// # Errors
///
/// Returns an error if the key is malformed, is not a UUIDv7, or has a timestamp outside the
/// accepted window.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::key::{KeyError, check};
///
/// let key = "018cc251-f400-7abc-8def-0123456789ab";
/// assert_eq!(check(key, 1_704_067_200_000), Ok(1_704_067_200_000));
/// assert_eq!(check(key, 1_704_067_200_000 + 90_000_000), Err(KeyError::TooOld));
/// ```
pub fn check(text: &str, now_unix_ms: u64) -> Result<u64, KeyError> {
    let created = created_ms(text)?;
    if created.saturating_add(MAX_AGE_MS) < now_unix_ms {
        return Err(KeyError::TooOld);
    }
    if created > now_unix_ms.saturating_add(MAX_FUTURE_MS) {
        return Err(KeyError::InFuture);
    }
    Ok(created)
}

/// Returns the timestamp of a key in milliseconds since the Unix epoch, without checking its age.
pub(crate) fn created_ms(text: &str) -> Result<u64, KeyError> {
    let bytes = text.as_bytes();
    if bytes.len() != 36 || !bytes.iter().enumerate().all(|(i, b)| is_valid_byte(i, *b)) {
        return Err(KeyError::Malformed);
    }
    if bytes[14] != b'7' || !matches!(bytes[19], b'8' | b'9' | b'a' | b'b') {
        return Err(KeyError::NotVersion7);
    }
    let digits = [&text[..8], &text[9..13]].concat();
    u64::from_str_radix(&digits, 16).map_err(|_| KeyError::Malformed)
}

fn is_valid_byte(index: usize, byte: u8) -> bool {
    match index {
        8 | 13 | 18 | 23 => byte == b'-',
        _ => matches!(byte, b'0'..=b'9' | b'a'..=b'f'),
    }
}
