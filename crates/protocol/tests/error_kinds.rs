//! Guards against unintended changes to the HTTP status, execution state or help text of an error
//! kind.

use std::{collections::HashSet, fmt::Write};

use rosemarybank_protocol::prelude::*;

#[test]
fn every_kind_has_its_status_execution_and_help() {
    let mut table = String::new();
    for kind in ErrorKind::ALL {
        let spec = kind.spec();
        let name = serde_json::to_string(&kind).expect("error kinds serialize to JSON");
        writeln!(table, "{name} {} {:?}: {}", spec.status, spec.execution, spec.help)
            .expect("writing to a string does not fail");
    }
    insta::assert_snapshot!(table);
}

#[test]
fn the_list_of_kinds_has_no_duplicates() {
    assert_eq!(ErrorKind::ALL.iter().collect::<HashSet<_>>().len(), ErrorKind::ALL.len());
}
