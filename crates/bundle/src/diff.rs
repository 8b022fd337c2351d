use std::{collections::BTreeSet, fmt};

use rosemarybank_protocol::bundle::Bundle;
use serde::Serialize;
use serde_json::Value;

/// One difference between two bundles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Path of the value, such as `services.orders.timeout_ms`. List items are identified by name.
    pub key: String,
    /// How the value changed.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// How a value changed. Values are formatted as compact JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ChangeKind {
    /// Only the new bundle contains the value.
    Added {
        /// Value in the new bundle.
        after: String,
    },
    /// Only the old bundle contains the value.
    Removed {
        /// Value in the old bundle.
        before: String,
    },
    /// The value differs between the bundles.
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

/// Returns the differences from `old` to `new`, sorted by key.
///
/// Items are matched by name, shards by key range and the services of a caller by value. Comments,
/// formatting and the order of items are therefore ignored.
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
    compare_values(
        "",
        &lists_to_maps(bundle_to_json(old)),
        &lists_to_maps(bundle_to_json(new)),
        &mut changes,
    );
    changes
}

fn bundle_to_json(bundle: &Bundle) -> Value {
    serde_json::to_value(bundle).expect("bundles have only string keys and finite numbers")
}

/// Converts each list into a map that is keyed by the name, range or text of its items.
fn lists_to_maps(value: Value) -> Value {
    match value {
        Value::Object(map) => {
            Value::Object(map.into_iter().map(|(key, value)| (key, lists_to_maps(value))).collect())
        }
        Value::Array(items) => Value::Object(
            items.into_iter().map(|item| (item_key(&item), lists_to_maps(item))).collect(),
        ),
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

fn compare_values(key: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
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
                compare_values(&key, old, new, changes);
                continue;
            }
            (None, Some(after)) => ChangeKind::Added { after: after.to_string() },
            (Some(before), None) => ChangeKind::Removed { before: before.to_string() },
            (None, None) => continue,
        };
        changes.push(Change { key, kind });
    }
}
