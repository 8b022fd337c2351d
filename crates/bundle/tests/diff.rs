//! Tests of bundle comparison.

use rosemarybank_bundle::{diff, parse};

const EXAMPLE: &str = include_str!("../../../config/bundle.yaml");

fn changes(new: &str) -> String {
    let changes = diff(&parse(EXAMPLE).unwrap(), &parse(new).unwrap());
    changes.iter().map(|change| format!("{change}\n")).collect()
}

/// Guards against reporting changes to comments or formatting.
#[test]
fn comments_and_formatting_are_ignored() {
    let lines = EXAMPLE.lines().filter(|it| !it.trim_start().starts_with('#'));
    assert_eq!(changes(&lines.collect::<Vec<_>>().join("\n")), "");
}

/// Guards against comparing items by position, which reports every item after an inserted one.
#[test]
fn items_are_matched_by_name() {
    let new = EXAMPLE
        .replace("slots: 2\n    connections: 100", "slots: 3\n    connections: 90")
        .replace("upstreams:\n", "upstreams:\n  - { name: new, slots: 1, connections: 1 }\n")
        .replace("last: 7fffffffffffffff", "last: 8fffffffffffffff")
        .replace("first: 8000000000000000", "first: 9000000000000000")
        .replace("services: [order-desk, lot-ledger]", "services: [lot-ledger]")
        .replace("night-report", "day-report")
        .replace("retry_percent: 10", "retry_percent: 0");
    insta::assert_snapshot!(changes(&new));
}
