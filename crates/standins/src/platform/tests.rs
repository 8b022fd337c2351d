//! Tests of the object store.

use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::value::RawValue;

use super::store::{Compacted, Condition, Conflict, Store};

fn value(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).unwrap()
}

/// A conditional write or deletion must fail without a change when its condition does not hold.
#[test]
fn conditions_are_checked() {
    let mut store = Store::default();
    let first = store.put("a", Condition::Absent, value("1")).unwrap();
    assert_eq!(
        store.put("a", Condition::Absent, value("2")),
        Err(Conflict { current: Some(first) })
    );
    let second = store.put("a", Condition::Version(first), value("2")).unwrap();
    let stale = store.put("a", Condition::Version(first), value("3"));
    assert_eq!(stale, Err(Conflict { current: Some(second) }));
    assert_eq!(store.get("a").unwrap().value.get(), "2");
    assert_eq!(
        store.delete("a", Condition::Version(first)),
        Err(Conflict { current: Some(second) })
    );
    store.delete("a", Condition::Version(second)).unwrap();
    assert_eq!(store.delete("a", Condition::None), Err(Conflict { current: None }));
}

/// A watch from a revision that the change log no longer covers must fail; it would miss changes.
#[test]
fn compacted_revisions_are_rejected() {
    let mut store = Store::default();
    store.put("a", Condition::None, value("1")).unwrap();
    store.compact();
    assert_eq!(store.changes("", 0).unwrap_err(), Compacted);
    assert!(store.changes("", 1).unwrap().is_empty());
    assert_eq!(store.changes("", 2).unwrap_err(), Compacted);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Applying the changes since a list to this list must give the current list, or a watch misses
    /// changes.
    #[test]
    fn changes_update_an_old_list_to_the_current_one(
        before in prop::collection::vec((0u8..6, prop::option::of(0u8..9)), 0..20),
        after in prop::collection::vec((0u8..6, prop::option::of(0u8..9)), 0..20),
    ) {
        let mut store = Store::default();
        apply(&mut store, &before);
        let mut list: std::collections::BTreeMap<_, _> =
            store.list("p/").into_iter().map(|it| (it.path, it.version)).collect();
        let revision = store.revision();
        apply(&mut store, &after);
        for change in store.changes("p/", revision).unwrap() {
            match change.value {
                Some(_) => list.insert(change.path, change.version),
                None => list.remove(&change.path),
            };
        }
        let current: std::collections::BTreeMap<_, _> =
            store.list("p/").into_iter().map(|it| (it.path, it.version)).collect();
        prop_assert_eq!(list, current);
    }
}

fn apply(store: &mut Store, changes: &[(u8, Option<u8>)]) {
    for (name, new) in changes {
        let path = if *name < 4 { format!("p/{name}") } else { format!("q/{name}") };
        match new {
            Some(it) => drop(store.put(&path, Condition::None, value(&it.to_string()))),
            None => drop(store.delete(&path, Condition::None)),
        }
    }
}
