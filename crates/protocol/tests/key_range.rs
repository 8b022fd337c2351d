//! Guards against range arithmetic that drops or duplicates keys, and against key ranges that are
//! changed or not validated in JSON.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rosemarybank_protocol::prelude::*;

const PROPTEST_CASES: u32 = 512;

fn runner() -> TestRunner {
    let cfg = Config { cases: PROPTEST_CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(cfg, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn small_range() -> impl Strategy<Value = KeyRange> {
    (0_u64..40, 0_u64..12)
        .prop_map(|(first, len)| KeyRange::new(first, first + len).expect("first <= last"))
}

fn range(first: u64, last: u64) -> KeyRange {
    KeyRange::new(first, last).expect("first <= last")
}

#[test]
fn subtract_returns_exactly_the_uncovered_keys() {
    let inputs = (small_range(), prop::collection::vec(small_range(), 0..6));
    runner()
        .run(&inputs, |(range, others)| {
            let rest = range.subtract(others.iter().copied());
            prop_assert!(KeyRange::are_disjoint(rest.iter().copied()));
            for key in 0..60 {
                let expected = range.contains(key) && !others.iter().any(|it| it.contains(key));
                prop_assert_eq!(rest.iter().any(|it| it.contains(key)), expected);
            }
            Ok(())
        })
        .expect("`subtract` matches a check of each single key");
}

#[test]
fn subtract_handles_the_bounds_of_the_key_space() {
    let all = KeyRange::ALL;
    assert_eq!(all.subtract([all]), []);
    assert_eq!(all.subtract([range(0, 4)]), [range(5, u64::MAX)]);
    assert_eq!(all.subtract([range(9, u64::MAX)]), [range(0, 8)]);
}

#[test]
fn json_encodes_keys_as_hexadecimal_digits() {
    let text = serde_json::to_string(&KeyRange::ALL).expect("ranges serialize to JSON");
    assert_eq!(text, r#"{"first":"0000000000000000","last":"ffffffffffffffff"}"#);
    assert_eq!(
        serde_json::from_str::<KeyRange>(&text).expect("the JSON is a valid range"),
        KeyRange::ALL
    );
}

#[test]
fn invalid_ranges_are_rejected_in_json() {
    for text in [
        r#"{"first":"2","last":"1"}"#,
        r#"{"first":"+1","last":"2"}"#,
        r#"{"first":"","last":"2"}"#,
        r#"{"first":"0","last":"10000000000000000"}"#,
        r#"{"first":0,"last":1}"#,
    ] {
        assert!(serde_json::from_str::<KeyRange>(text).is_err(), "{text}");
    }
}
