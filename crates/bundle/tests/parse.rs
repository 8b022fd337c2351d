//! Tests of bundle parsing and validation.

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_bundle::{MAX_BUNDLE_LEN, parse};
use rosemarybank_protocol::bundle::{Bundle, Limits};

const EXAMPLE: &str = include_str!("../../../config/bundle.yaml");

fn faults(text: &str) -> String {
    let faults = parse(text).expect_err("the bundle has faults");
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

/// Guards against a parser that differs from the serde definitions of the bundle types.
#[test]
fn the_example_parses_to_the_same_bundle_as_with_serde() {
    let expected: Bundle = serde_saphyr::from_str(EXAMPLE).unwrap();
    assert_eq!(parse(EXAMPLE).unwrap(), expected);
}

/// Guards against keys that the example bundle omits, and against wrong default limits in it.
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

/// Guards against a parser that stops at the first fault or reports faults without their position.
#[test]
fn all_faults_are_reported_with_their_positions() {
    insta::assert_snapshot!(faults(include_str!("faulty.yaml")));
}

/// Guards against undetected gaps and overlaps at the ends of the key space or within a larger
/// shard.
#[test]
fn gaps_and_overlaps_of_shards_are_reported() {
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

/// Guards against unquoted record keys that YAML parses as octal numbers, floats or infinity.
#[test]
fn unquoted_record_keys_are_not_parsed_as_numbers() {
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

    /// Guards against other record keys that YAML parses as numbers. The pattern favours digits
    /// with an `e` in between, because YAML parses these as floats.
    #[test]
    fn any_record_key_can_bound_a_shard(text in "[0-9]{0,7}e?[0-9a-f]{0,8}") {
        let key = u64::from_str_radix(&text, 16).unwrap_or_default();
        let last = if text.is_empty() { "0" } else { &text };
        let next = format!("{:x}", key + 1);
        let text = EXAMPLE.replace("7fffffffffffffff", last).replace("8000000000000000", &next);
        let shards = parse(&text).unwrap().services.remove(0).shards;
        prop_assert_eq!((shards[0].range.last(), shards[1].range.first()), (key, key + 1));
    }
}

/// Guards against silently accepting one of two duplicate keys, and against unlimited input.
#[test]
fn unparsable_texts_are_reported_as_one_fault() {
    let cases = ["", "format: 1\nformat: 1\n", "a: [1\n", "- 1\n"];
    let report: Vec<_> = cases.iter().map(|it| faults(it)).collect();
    insta::assert_snapshot!(report.join("---\n"));
    let long = parse(&" ".repeat(MAX_BUNDLE_LEN + 1)).unwrap_err();
    assert!(long[0].message.contains("900001 bytes"), "{}", long[0]);
}

/// Guards against demo bundles that can't be rolled out.
#[test]
fn the_demo_bundles_have_no_faults() {
    for text in
        [include_str!("../../../config/kavango.yaml"), include_str!("../../../config/rwanda.yaml")]
    {
        let bundle = parse(text).unwrap();
        assert_eq!(bundle.services[0].shards.len(), 10);
    }
}
