//! Validation of idempotency keys. Accepting a key outside its validity window could execute an
//! action again after its claim was deleted.

use rosemarybank_coordination::key::{KeyError, MAX_AGE_MS, MAX_FUTURE_MS, check};

const KEY: &str = "018cc251-f400-7abc-8def-0123456789ab";
const CREATED: u64 = 1_704_067_200_000;

#[test]
fn the_validity_window_includes_both_ends() {
    assert_eq!(check(KEY, CREATED + MAX_AGE_MS), Ok(CREATED));
    assert_eq!(check(KEY, CREATED + MAX_AGE_MS + 1), Err(KeyError::TooOld));
    assert_eq!(check(KEY, CREATED - MAX_FUTURE_MS), Ok(CREATED));
    assert_eq!(check(KEY, CREATED - MAX_FUTURE_MS - 1), Err(KeyError::InFuture));
}

/// Two accepted spellings of one key would create two claims, so the action could run twice.
#[test]
fn each_key_has_one_accepted_spelling() {
    for text in [
        "018CC251-F400-7ABC-8DEF-0123456789AB",
        "018cc251f4007abc8def0123456789ab",
        "{018cc251-f400-7abc-8def-0123456789a",
        "018cc251-f400-7abc-8def-0123456789a",
        "018cc251-f400-7abc-8def-0123456789ab ",
        "018cc251-f400-7abc-8def-0123456789a\u{e9}",
        "+18cc251-f400-7abc-8def-0123456789ab",
        "",
    ] {
        assert_eq!(check(text, CREATED), Err(KeyError::Malformed), "{text}");
    }
}

#[test]
fn other_versions_and_variants_are_refused() {
    for text in ["018cc251-f400-4abc-8def-0123456789ab", "018cc251-f400-7abc-cdef-0123456789ab"] {
        assert_eq!(check(text, CREATED), Err(KeyError::NotVersion7), "{text}");
    }
}
