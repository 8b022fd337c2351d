//! Checks of the documents against the code.

#[allow(dead_code)]
mod support;

use std::{fs, path::Path};

use rosemarybank_protocol::{coverage::MissingReason, error::ErrorKind};
use serde::Serialize;
use support::Workspace;

fn read_document(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)).unwrap()
}

fn json_name(value: impl Serialize) -> String {
    serde_json::to_value(value).unwrap().as_str().unwrap().to_owned()
}

/// Guards against error kinds, statuses and help texts that differ between `docs/api.md` and the
/// code.
#[test]
fn api_document_lists_every_error_kind() {
    let mut table = "| error | status | execution | help |\n|---|---|---|---|\n".to_owned();
    for kind in ErrorKind::ALL {
        let row = kind.spec();
        let (status, execution) = (row.status, json_name(row.execution));
        table.push_str(&format!(
            "| `{}` | {status} | `{execution}` | {} |\n",
            json_name(kind),
            row.help
        ));
    }
    let document = read_document("api.md");
    let (_, rest) = document.split_once("<!-- errors: begin -->\n").unwrap();
    let (shown, _) = rest.split_once("<!-- errors: end -->").unwrap();
    assert_eq!(shown.trim(), table.trim(), "docs/api.md must hold:\n{table}");
}

/// Guards against reasons that `docs/api.md` does not explain.
#[test]
fn api_document_lists_every_missing_range_reason() {
    let document = read_document("api.md");
    for reason in MissingReason::ALL {
        assert!(document.contains(&format!("\n| `{}` |", json_name(reason))), "{reason:?}");
    }
}

/// Guards against exit codes and commands that `docs/OPERATIONS.md` does not list.
#[test]
fn operations_document_lists_commands_and_exit_codes() {
    let help = Workspace::new().stdout(&["help"]);
    let document = read_document("OPERATIONS.md");
    let (commands, codes) = help.split_once("EXIT CODES:\n").unwrap();
    for line in codes.lines().filter(|line| !line.trim().is_empty()) {
        let (code, meaning) = line.trim().split_once("  ").unwrap();
        assert!(document.contains(&format!("| {code} | {meaning} |")), "{line}");
    }
    for line in commands.lines().filter_map(|line| line.strip_prefix("    ")) {
        let name = line.split("  ").next().unwrap();
        assert!(document.contains(&format!("`rosemarybank {name}")), "{name}");
    }
}
