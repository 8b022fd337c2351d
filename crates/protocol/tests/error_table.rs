//! Guards against an error kind without a documented answer, and against a table that drifts.

use std::{collections::HashSet, fmt::Write};

use rosemarybank_protocol::prelude::*;

#[test]
fn table_of_answers() {
    let mut table = String::new();
    for kind in ErrorKind::ALL {
        let row = kind.spec();
        let name = serde_json::to_string(&kind).expect("a kind has a JSON form");
        writeln!(table, "{name} {} {:?}: {}", row.status, row.execution, row.help)
            .expect("a string takes all text");
    }
    insta::assert_snapshot!(table);
}

#[test]
fn list_of_kinds_has_no_duplicates() {
    assert_eq!(ErrorKind::ALL.iter().collect::<HashSet<_>>().len(), ErrorKind::ALL.len());
}
