//! Bundle deltas. A wrong delta would fail signature verification, and the whole bundle would be
//! fetched instead.

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_coordination::config::{DeltaError, apply_delta, make_delta};
use rosemarybank_protocol::{
    peer::{ConfigDelta, LineEdit},
    platform::SignedBundle,
};

fn bundle(version: u64, text: impl Into<String>) -> SignedBundle {
    SignedBundle { version, signer: "ops".into(), bundle: text.into(), signature: "c2ln".into() }
}

/// Generates texts with few distinct lines, so that lines match in several ways.
fn text() -> impl Strategy<Value = String> {
    proptest::collection::vec("[abc\r]{0,2}", 0..40).prop_map(|lines| lines.join("\n"))
}

fn edits() -> impl Strategy<Value = Vec<LineEdit>> {
    let edit = (0u32..9, 0u32..9, proptest::collection::vec("[ab\n]{0,2}", 0..3))
        .prop_map(|(start, removed, inserted)| LineEdit { start, removed, inserted });
    proptest::collection::vec(edit, 0..4)
}

/// Returns the length of a longest common subsequence, using dynamic programming.
fn common_len(old: &[&str], new: &[&str]) -> usize {
    let mut row = vec![0; new.len() + 1];
    for a in old {
        let mut diagonal = 0;
        for (j, b) in new.iter().enumerate() {
            let above = row[j + 1];
            row[j + 1] = if a == b { diagonal + 1 } else { above.max(row[j]) };
            diagonal = above;
        }
    }
    row[new.len()]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x0d31_7a00),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_delta_gives_the_target_with_the_fewest_lines(old in text(), new in text()) {
        let (old, new) = (bundle(3, old), bundle(4, new));
        let delta = make_delta(&old, &new);
        prop_assert_eq!(apply_delta(&old, &delta), Ok(new.clone()));
        let inserted: usize = delta.edits.iter().map(|e| e.inserted.len()).sum();
        let lines: (Vec<_>, Vec<_>) =
            (old.bundle.split('\n').collect(), new.bundle.split('\n').collect());
        prop_assert_eq!(inserted, lines.1.len() - common_len(&lines.0, &lines.1));
    }

    /// A peer with another version of the software may send invalid edits, which must not cause a
    /// panic.
    #[test]
    fn arbitrary_edits_never_panic(old in text(), edits in edits(), base in 2u64..5) {
        let delta = ConfigDelta {
            base,
            version: 4,
            signer: "ops".into(),
            signature: "c2ln".into(),
            edits,
        };
        if let Ok(new) = apply_delta(&bundle(3, old), &delta) {
            prop_assert_eq!(new.version, 4);
        }
    }
}

#[test]
fn edits_that_do_not_fit_are_refused() {
    let old = bundle(3, "a\nb");
    let delta = |base, version, edits| ConfigDelta {
        base,
        version,
        signer: "ops".into(),
        signature: "c2ln".into(),
        edits,
    };
    let edit =
        |start, removed, line: &str| LineEdit { start, removed, inserted: vec![line.into()] };
    let cases = [
        (delta(2, 4, vec![]), DeltaError::WrongBase { held: 3, base: 2 }),
        (delta(3, 3, vec![]), DeltaError::NotNewer { version: 3 }),
        (delta(3, 4, vec![edit(1, 2, "x")]), DeltaError::OutOfBounds { edit: 0 }),
        (delta(3, 4, vec![edit(1, u32::MAX, "x")]), DeltaError::OutOfBounds { edit: 0 }),
        (delta(3, 4, vec![edit(1, 1, "x"), edit(0, 1, "y")]), DeltaError::OutOfOrder { edit: 1 }),
        (delta(3, 4, vec![edit(0, 1, "x\ny")]), DeltaError::LineEnd { edit: 0 }),
    ];
    for (delta, error) in cases {
        assert_eq!(apply_delta(&old, &delta), Err(error));
    }
}

/// Without a search for equal lines between the changes, the delta would contain nearly the whole
/// text.
#[test]
fn changes_far_apart_in_a_large_bundle_give_a_small_delta() {
    let mut lines: Vec<String> = (0..30_000).map(|i| format!("replica: entry-{i}")).collect();
    let old = bundle(1, lines.join("\n"));
    lines[10] = "replica: first".into();
    lines.remove(29_000);
    let new = bundle(2, lines.join("\n"));
    let delta = make_delta(&old, &new);
    assert_eq!(delta.edits.len(), 2);
    assert_eq!(apply_delta(&old, &delta), Ok(new));
}

/// Above the limit of the search the delta replaces the whole text, which is larger but correct.
#[test]
fn a_rewritten_bundle_still_round_trips() {
    let text = |word: &str| (0..3_000).map(|i| format!("{word}-{i}\n")).collect::<String>();
    let (old, new) = (bundle(1, text("a")), bundle(2, text("b")));
    let delta = make_delta(&old, &new);
    assert_eq!(delta.edits.len(), 1);
    assert_eq!(apply_delta(&old, &delta), Ok(new));
}
