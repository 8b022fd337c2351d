//! Reading and checking bundles.

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_bundle::{MAX_BUNDLE_LEN, parse};
use rosemarybank_protocol::bundle::{Bundle, Limits};

const EXAMPLE: &str = include_str!("../../../config/bundle.yaml");

fn faults(text: &str) -> String {
    let faults = parse(text).expect_err("the text has faults");
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

/// Guards against a reader that drifts from the types that the daemon uses.
#[test]
fn the_example_reads_as_serde_reads_it() {
    let by_serde: Bundle = serde_saphyr::from_str(EXAMPLE).unwrap();
    assert_eq!(parse(EXAMPLE).unwrap(), by_serde);
}

/// Guards against a key that the reference does not show, and against wrong defaults in it.
#[test]
fn the_example_shows_every_key_and_the_default_limits() {
    let bundle = parse(EXAMPLE).unwrap();
    assert_eq!(bundle.limits, Limits::default());
    let json = serde_json::to_value(&bundle).unwrap();
    for (list, item) in [("services", 0), ("upstreams", 0), ("callers", 0)] {
        for key in json[list][item].as_object().unwrap().keys() {
            assert!(
                EXAMPLE.contains(&format!("{key}: ")) || EXAMPLE.contains(&format!("{key}:\n"))
            );
        }
    }
    for key in json["limits"].as_object().unwrap().keys() {
        assert!(EXAMPLE.contains(&format!("\n  {key}: ")), "{key}");
    }
}

/// Guards against stopping at the first fault and against faults without a place.
#[test]
fn all_faults_of_a_text_are_reported_at_their_lines() {
    insta::assert_snapshot!(faults(include_str!("faulty.yaml")));
}

/// Guards against gaps and overlaps at the ends of the key space and inside a wider shard.
#[test]
fn shards_must_tile_the_key_space() {
    let service = |shards: &str| {
        format!(
            "format: 1\nservices:\n  - name: s\n    kind: search\n    timeout_ms: 1\n    \
             shards:\n{shards}upstreams: [{{ name: u, slots: 1, connections: 1 }}]\ncallers: []\n"
        )
    };
    let shard = |first: &str, last: &str| {
        format!("      - {{ range: {{ first: {first}, last: {last} }}, upstream: u }}\n")
    };
    let cases = [
        [shard("1", "fffffffffffffffe"), String::new()],
        [shard("0", "8"), shard("a", "ffffffffffffffff")],
        [shard("0", "ffffffffffffffff"), shard("10", "1f")],
        [shard("0", "8"), shard("8", "ffffffffffffffff")],
        [shard("9", "8"), String::new()],
    ];
    let report: Vec<_> = cases.iter().map(|it| faults(&service(&it.concat()))).collect();
    insta::assert_snapshot!(report.join("---\n"));
}

/// Guards against keys that YAML reads as octal numbers, floats, exponents or infinity.
#[test]
fn plain_scalars_keep_their_text() {
    for text in ["00000000000001e3", "1e66666666666665", "0000000000000010", "5e99999999999999"] {
        let key = u64::from_str_radix(text, 16).unwrap();
        let next = format!("{:016x}", key + 1);
        let text = EXAMPLE.replace("7fffffffffffffff", text).replace("8000000000000000", &next);
        let shards = parse(&text).unwrap().services.remove(0).shards;
        assert_eq!((shards[0].range.last(), shards[1].range.first()), (key, key + 1));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against further forms of keys that YAML reads as something else. A digit, an `e` and
    /// digits are the forms most like a number, so they are drawn more often than by chance.
    #[test]
    fn any_key_can_be_a_bound(text in "[0-9]{0,7}e?[0-9a-f]{0,8}") {
        let key = u64::from_str_radix(&text, 16).unwrap_or_default();
        let last = if text.is_empty() { "0" } else { &text };
        let next = format!("{:x}", key + 1);
        let text = EXAMPLE.replace("7fffffffffffffff", last).replace("8000000000000000", &next);
        let shards = parse(&text).unwrap().services.remove(0).shards;
        prop_assert_eq!((shards[0].range.last(), shards[1].range.first()), (key, key + 1));
    }
}

/// Guards against a silent choice between two values and against unbounded input.
#[test]
fn unreadable_texts_are_one_fault() {
    let cases = ["", "format: 1\nformat: 1\n", "a: [1\n", "- 1\n"];
    let report: Vec<_> = cases.iter().map(|it| faults(it)).collect();
    insta::assert_snapshot!(report.join("---\n"));
    let long = parse(&" ".repeat(MAX_BUNDLE_LEN + 1)).unwrap_err();
    assert!(long[0].message.contains("900001 bytes"), "{}", long[0]);
}

/// Guards against bundles of the demo that can't be rolled out.
#[test]
fn the_bundles_of_the_two_users_have_no_faults() {
    for text in
        [include_str!("../../../config/kavango.yaml"), include_str!("../../../config/rwanda.yaml")]
    {
        let bundle = parse(text).unwrap();
        assert_eq!(bundle.services[0].shards.len(), 10);
    }
}
