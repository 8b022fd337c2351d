//! Tests of the help texts and their examples.

#[allow(dead_code)]
mod support;

use rosemarybank_cli::example_invocations;
use support::Workspace;

/// Guards against examples with invalid arguments. An example that needs servers must fail because
/// it can't connect, not with a usage error.
#[test]
fn every_example_is_accepted() {
    for example in example_invocations() {
        let workspace = Workspace::new();
        let out = workspace.run(&example.args);
        let code = out.status.code();
        let stderr = String::from_utf8_lossy(&out.stderr);
        if example.offline {
            assert_eq!(code, Some(0), "{:?}: {stderr}", example.args);
        } else {
            assert_eq!(code, Some(7), "{:?}: {stderr}", example.args);
        }
    }
}

/// Guards against unintended changes of the help texts.
#[test]
fn the_help_lists_commands_exit_codes_and_examples() {
    let workspace = Workspace::new();
    insta::assert_snapshot!("overview", workspace.stdout(&["help"]));
    insta::assert_snapshot!("command", workspace.stdout(&["bundle", "sign", "--help"]));
}

/// Guards against an error for an unknown command that does not list the commands of the group, and
/// against an exit code that reports success.
#[test]
fn an_unknown_command_is_a_usage_error() {
    let workspace = Workspace::new();
    for args in [&["bundle"][..], &["bundle", "role-out"], &["help", "bundle"]] {
        let out = workspace.run(args);
        assert_eq!(out.status.code(), Some(2), "{args:?}");
        assert!(String::from_utf8(out.stderr).unwrap().contains("bundle roll-out"), "{args:?}");
    }
}

/// Guards against a panic or a failure when the reader of the output closes the pipe early.
#[test]
fn a_closed_pipe_does_not_change_the_exit_code() {
    let workspace = Workspace::new();
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let status = std::process::Command::new(env!("CARGO_BIN_EXE_rosemarybank"))
        .args(["bundle", "sign", "config/bundle.yaml", "--version", "7", "--key", "keys/ops-1.key"])
        .current_dir(workspace.path())
        .stdout(writer)
        .status()
        .unwrap();
    assert_eq!(status.code(), Some(0));
}
