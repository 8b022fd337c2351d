//! Quarantine entries. Their merge must not depend on the order in which they arrive.

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_coordination::quarantine::{
    Action, EntrySet, Event, Machine, Settings, WriteResult, entry_key, merge,
};
use rosemarybank_protocol::{platform::QuarantineEntry, prelude::*};

const UNIX: u64 = 1_000_000;

fn entry() -> impl Strategy<Value = QuarantineEntry> {
    (0u64..3, 0u32..3, 0u64..4, any::<bool>()).prop_map(|(fingerprint, crashes, at, released)| {
        let expires_unix_ms = UNIX + at;
        QuarantineEntry { service: "s".into(), fingerprint, crashes, expires_unix_ms, released }
    })
}

fn entries() -> impl Strategy<Value = Vec<QuarantineEntry>> {
    proptest::collection::vec(entry(), 0..12)
}

fn set<'a>(entries: impl IntoIterator<Item = &'a QuarantineEntry>) -> EntrySet {
    let mut set = EntrySet::default();
    for entry in entries {
        set.insert(entry);
    }
    set
}

fn machine() -> Machine {
    Machine::new(Settings::builder().unix_ms_at_zero(UNIX - 1).build())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x09a4_a700),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        a in entry(), b in entry(), c in entry(),
    ) {
        let alike = |e| QuarantineEntry { fingerprint: a.fingerprint, ..e };
        let (b, c) = (alike(b), alike(c));
        prop_assert_eq!(merge(&a, &b), merge(&b, &a));
        prop_assert_eq!(merge(&a, &merge(&b, &c)), merge(&merge(&a, &b), &c));
        prop_assert_eq!(merge(&a, &a), a);
    }

    #[test]
    fn the_order_of_arrival_does_not_matter(list in entries(), seed in any::<u64>()) {
        let mut shuffled: Vec<_> = list.iter().chain(&list).collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let (a, b) = (set(&list), set(shuffled));
        prop_assert_eq!(a.digest(), b.digest());
        prop_assert_eq!(a, b);
    }

    #[test]
    fn digests_differ_when_sets_differ(a in entries(), b in entries()) {
        let (a, b) = (set(&a), set(&b));
        prop_assert_eq!(a == b, a.digest() == b.digest());
    }

    /// One exchange of digests must be enough, whichever messages were lost before.
    #[test]
    fn one_exchange_of_digests_makes_two_instances_agree(a in entries(), b in entries()) {
        let (mut left, mut right) = (machine(), machine());
        left.handle(Time::ZERO, Event::PeerEntries(a), &mut Vec::new());
        right.handle(Time::ZERO, Event::PeerEntries(b), &mut Vec::new());
        let digests = (left.entries().digest(), right.entries().digest());
        let compare = |machine: &mut Machine, digest| {
            let mut out = Vec::new();
            let event = Event::PeerDigest { instance: "peer".into(), digest };
            machine.handle(Time::ZERO, event, &mut out);
            out.into_iter().filter_map(|action| match action {
                Action::PushTo { entries, .. } => Some(Event::PeerEntries(entries)),
                _ => None,
            })
        };
        let to_right = compare(&mut left, digests.1);
        let to_left = compare(&mut right, digests.0);
        to_right.for_each(|event| right.handle(Time::ZERO, event, &mut Vec::new()));
        to_left.for_each(|event| left.handle(Time::ZERO, event, &mut Vec::new()));
        prop_assert_eq!(left.entries(), right.entries());
    }
}

/// A failed write is retried, and an entry that changes during a write is written again.
#[test]
fn writes_are_repeated_until_the_store_holds_the_newest_entry() {
    let (mut machine, mut out) = (machine(), Vec::new());
    let duration = std::time::Duration::from_secs(600);
    let event = Event::Quarantined { service: "s".into(), fingerprint: 1, crashes: 2, duration };
    machine.handle(Time::ZERO, event, &mut out);
    let Some(Action::WriteStore(first)) = out.pop() else { panic!("no write: {out:?}") };
    let reply =
        |entry: &QuarantineEntry, result| Event::StoreWrite { key: entry_key(entry), result };
    machine.handle(Time::ZERO, reply(&first, WriteResult::Failed), &mut out);
    let at = machine.next_wakeup().expect("the write is repeated");
    out.clear();
    machine.handle(at, Event::Tick, &mut out);
    assert_eq!(out, [Action::WriteStore(first.clone())]);

    let release = Event::Release { service: "s".into(), fingerprint: 1 };
    machine.handle(at, release, &mut out);
    out.clear();
    machine.handle(at, reply(&first, WriteResult::Written), &mut out);
    assert!(matches!(&out[..], [Action::WriteStore(entry)] if entry.released), "{out:?}");
}

/// Stored entries must not accumulate, but an entry must stay until it has expired on every clock.
#[test]
fn expired_entries_leave_the_set_and_later_the_store() {
    let (mut machine, mut out) = (machine(), Vec::new());
    let entry = QuarantineEntry {
        service: "s".into(),
        fingerprint: 1,
        crashes: 2,
        expires_unix_ms: UNIX + 10,
        released: false,
    };
    let key = entry_key(&entry);
    machine.handle(Time::ZERO, Event::StoreEntries(vec![entry.clone()]), &mut out);
    assert!(machine.is_quarantined(Time::ZERO, &key));
    let at = machine.next_wakeup().expect("the entry expires");
    machine.handle(at, Event::Tick, &mut out);
    assert!(machine.entries().is_empty());
    out.clear();
    machine.handle(at, Event::StoreEntries(vec![entry.clone()]), &mut out);
    assert_eq!(out, []);
    machine.handle(at + Time::from_secs(300), Event::StoreEntries(vec![entry]), &mut out);
    assert_eq!(out, [Action::DeleteStore { key }]);
}

/// A store outage must not prevent an instance from serving.
#[test]
fn the_wait_for_the_store_is_bounded() {
    let mut machine = machine();
    machine.handle(Time::ZERO, Event::Start, &mut Vec::new());
    machine.handle(Time::ZERO, Event::StoreUnreachable, &mut Vec::new());
    assert!(!machine.is_loaded(Time::from_millis(2_999)));
    assert!(machine.is_loaded(Time::from_secs(3)));
}
