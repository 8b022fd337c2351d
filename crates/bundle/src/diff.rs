use std::{collections::BTreeSet, fmt};

use rosemarybank_protocol::bundle::Bundle;
use serde::Serialize;
use serde_json::Value;

/// One difference between two bundles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Path of the item by names, such as `services.orders.timeout_ms`.
    pub key: String,
    /// What happened to it.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// What happened to an item. Values are compact JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ChangeKind {
    /// Only the new bundle has it.
    Added {
        /// Its value.
        after: String,
    },
    /// Only the old bundle has it.
    Removed {
        /// Its value.
        before: String,
    },
    /// Its value differs.
    Changed {
        /// Value in the old bundle.
        before: String,
        /// Value in the new bundle.
        after: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match &self.kind {
            ChangeKind::Added { after } => write!(f, "+ {key}: {after}"),
            ChangeKind::Removed { before } => write!(f, "- {key}: {before}"),
            ChangeKind::Changed { before, after } => write!(f, "~ {key}: {before} -> {after}"),
        }
    }
}

/// The differences from `old` to `new`, in the order of their keys.
///
/// Items are matched by name, shards by key range and a caller's services as a set, so that order,
/// comments and layout of the text make no difference.
///
/// # Examples
///
/// ```
/// use rosemarybank_bundle::diff;
/// use rosemarybank_protocol::bundle::{Bundle, Limits, UpstreamConfig};
///
/// let upstream = UpstreamConfig { name: "stock".into(), slots: 2, connections: 25 };
/// let old = Bundle {
///     format: 1,
///     services: vec![],
///     upstreams: vec![upstream],
///     callers: vec![],
///     limits: Limits::default(),
/// };
/// let mut new = old.clone();
/// new.upstreams[0].slots = 4;
/// let changes: Vec<_> = diff(&old, &new).iter().map(ToString::to_string).collect();
/// assert_eq!(changes, ["~ upstreams.stock.slots: 2 -> 4"]);
/// ```
#[must_use]
pub fn diff(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", &keyed(value(old)), &keyed(value(new)), &mut changes);
    changes
}

fn value(bundle: &Bundle) -> Value {
    serde_json::to_value(bundle).expect("a bundle has only text keys and finite numbers")
}

/// Turns each list into a map by the name, the range or the text of its items.
fn keyed(value: Value) -> Value {
    match value {
        Value::Object(map) => {
            Value::Object(map.into_iter().map(|(key, value)| (key, keyed(value))).collect())
        }
        Value::Array(items) => {
            Value::Object(items.into_iter().map(|item| (item_key(&item), keyed(item))).collect())
        }
        scalar => scalar,
    }
}

fn item_key(item: &Value) -> String {
    let text = |value: &Value| value.as_str().map(ToOwned::to_owned);
    let range =
        |value: &Value| Some(format!("{}-{}", text(&value["first"])?, text(&value["last"])?));
    text(item)
        .or_else(|| text(&item["name"]))
        .or_else(|| range(&item["range"]))
        .unwrap_or_else(|| item.to_string())
}

fn compare(key: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    let (Value::Object(old), Value::Object(new)) = (old, new) else {
        if old != new {
            let kind = ChangeKind::Changed { before: old.to_string(), after: new.to_string() };
            changes.push(Change { key: key.to_owned(), kind });
        }
        return;
    };
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for name in names {
        let key = if key.is_empty() { name.clone() } else { format!("{key}.{name}") };
        let kind = match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => {
                compare(&key, old, new, changes);
                continue;
            }
            (None, Some(after)) => ChangeKind::Added { after: after.to_string() },
            (Some(before), None) => ChangeKind::Removed { before: before.to_string() },
            (None, None) => continue,
        };
        changes.push(Change { key, kind });
    }
}
