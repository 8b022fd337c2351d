//! Every example of the help is run.

#[allow(dead_code)]
mod support;

use rosemarybank_cli::samples;
use support::Workspace;

/// Guards against examples that the command does not take: an example that needs servers must
/// at least be parsed, so it fails for want of a server and not by its usage.
#[test]
fn every_example_is_accepted() {
    for sample in samples() {
        let workspace = Workspace::new();
        let out = workspace.run(&sample.args);
        let code = out.status.code();
        let stderr = String::from_utf8_lossy(&out.stderr);
        if sample.offline {
            assert_eq!(code, Some(0), "{:?}: {stderr}", sample.args);
        } else {
            assert_eq!(code, Some(7), "{:?}: {stderr}", sample.args);
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
