//! Every example of the help is run.

#[allow(dead_code)]
mod support;

use rosemarybank_cli::example_invocations;
use support::Workspace;

/// Guards against examples that the command does not take: an example that needs servers must
/// at least be parsed, so it fails for want of a server and not by its usage.
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

/// Guards against commands without an example, and shows the help as users see it.
#[test]
fn the_help_lists_commands_exit_codes_and_examples() {
    let workspace = Workspace::new();
    insta::assert_snapshot!("overview", workspace.stdout(&["help"]));
    insta::assert_snapshot!("command", workspace.stdout(&["bundle", "sign", "--help"]));
}

/// Guards against a group's name without a word about its commands, and against an exit code that
/// says something was done.
#[test]
fn an_unknown_command_is_a_usage_error() {
    let workspace = Workspace::new();
    for args in [&["bundle"][..], &["bundle", "role-out"], &["help", "bundle"]] {
        let out = workspace.run(args);
        assert_eq!(out.status.code(), Some(2), "{args:?}");
        assert!(String::from_utf8(out.stderr).unwrap().contains("bundle roll-out"), "{args:?}");
    }
}

/// Guards against an abort when the reader of the output closes its end early.
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
