//! Bundle commands that need no server.

#[allow(dead_code)]
mod support;

use std::{fs, os::unix::fs::PermissionsExt};

use support::Workspace;

/// Guards against faults without their file name, and against an exit code that reports success.
#[test]
fn check_names_the_file_of_each_fault() {
    let workspace = Workspace::new();
    fs::write(workspace.path().join("bad.yaml"), "format: 1\nservices: []\ncallers: []\n").unwrap();
    let out = workspace.run(&["bundle", "check", "bad.yaml", "config/bundle.yaml"]);
    assert_eq!(out.status.code(), Some(1));
    insta::assert_snapshot!(String::from_utf8(out.stdout).unwrap());
    assert_eq!(workspace.run(&["bundle", "check"]).status.code(), Some(2));
    assert_eq!(workspace.run(&["bundle", "check", "none.yaml"]).status.code(), Some(8));
}

/// Guards against differences that the exit code does not report, and against output with `--json`
/// that is not a single JSON value.
#[test]
fn diff_sets_the_exit_code_and_prints_json() {
    let workspace = Workspace::new();
    let text = fs::read_to_string(workspace.path().join("config/bundle.yaml")).unwrap();
    let text = text.replace("retry_percent: 10", "retry_percent: 5");
    fs::write(workspace.path().join("new.yaml"), text).unwrap();
    let out = workspace.run(&["bundle", "diff", "config/bundle.yaml", "new.yaml", "--json"]);
    assert_eq!(out.status.code(), Some(1));
    let json: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(json[0]["key"], "limits.retry_percent");
}

/// Guards against a signing key that other users can read or that a second run overwrites.
#[test]
fn keygen_creates_a_private_key_file_and_never_overwrites() {
    let workspace = Workspace::new();
    let secret = workspace.path().join("keys/ops-1.key");
    let text = fs::read_to_string(&secret).unwrap();
    assert_eq!(fs::metadata(&secret).unwrap().permissions().mode() & 0o777, 0o600);
    let second_run = workspace.run(&["bundle", "keygen", "ops-1", "--dir", "keys"]);
    assert_eq!(second_run.status.code(), Some(8));
    assert_eq!(fs::read_to_string(&secret).unwrap(), text);
}
