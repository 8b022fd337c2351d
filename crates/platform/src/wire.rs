//! Paths and bodies on the wire.

use bytes::Bytes;
use compact_str::CompactString;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::outcome::{CallError, ObjectVersion};

/// Escapes all but unreserved characters and the separator of path segments.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

#[derive(Deserialize)]
pub(crate) struct ListBody {
    pub(crate) revision: u64,
    pub(crate) objects: Vec<EntryBody>,
}

#[derive(Deserialize)]
pub(crate) struct WatchBody {
    pub(crate) revision: u64,
    pub(crate) changes: Vec<EntryBody>,
}

#[derive(Deserialize)]
pub(crate) struct EntryBody {
    pub(crate) path: CompactString,
    pub(crate) version: ObjectVersion,
    pub(crate) value: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
pub(crate) struct ChangedBody {
    pub(crate) version: ObjectVersion,
}

#[derive(Deserialize)]
pub(crate) struct ConflictBody {
    pub(crate) current: Option<ObjectVersion>,
}

pub(crate) fn object_target(path: &str) -> String {
    format!("/objects/{}", utf8_percent_encode(path, ESCAPED))
}

pub(crate) fn list_target(prefix: &str) -> String {
    format!("/list?prefix={}", utf8_percent_encode(prefix, ESCAPED))
}

pub(crate) fn watch_target(prefix: &str, after: u64, wait_ms: u128) -> String {
    let prefix = utf8_percent_encode(prefix, ESCAPED);
    format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}")
}

pub(crate) fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|err| CallError::Malformed(err.to_string().into()))
}

impl EntryBody {
    pub(crate) fn value(value: Box<RawValue>) -> Bytes {
        Bytes::from(String::from(Box::<str>::from(value)))
    }
}
