//! Commands against the platform stand-in.

#[allow(dead_code)]
mod support;

use std::net::SocketAddr;

use rosemarybank_protocol::{
    action::ActionOutcome,
    platform::{Claim, ClaimState, DataCentreStatus, InstanceStatus},
};
use rosemarybank_standins::platform::Store;
use support::{
    Workspace,
    servers::{platform, put_object},
};

const KEY: &str = "0190d3a4-7c1e-7b3a-9f00-3b1f2c4d5e6f";

fn status(data_centre: &str, versions: &[(&str, u64)]) -> DataCentreStatus {
    let instances = versions.iter().map(|(name, version)| InstanceStatus {
        instance: (*name).into(),
        data_centre: data_centre.into(),
        version: Some(*version),
        ready: true,
    });
    DataCentreStatus { instances: instances.collect() }
}

/// Runs commands in sequence and returns their output and exit codes as a transcript.
fn run_commands(platform: SocketAddr, commands: &[&[&str]]) -> String {
    let workspace = Workspace::new();
    let mut text = String::new();
    for command in commands {
        let out = workspace.run_at(&platform.to_string(), command);
        let code = out.status.code().unwrap();
        text.push_str(&format!("$ {}\n", command.join(" ")));
        text.push_str(&String::from_utf8_lossy(&out.stdout));
        text.push_str(&String::from_utf8_lossy(&out.stderr));
        text.push_str(&format!("exit {code}\n\n"));
    }
    text
}

/// Guards against a rollback that reuses an old version number, and against a roll-out that is
/// reported as accepted before a majority of the instances has it.
#[test]
fn versions_are_rolled_out_rolled_back_and_listed() {
    let mut store = Store::default();
    put_object(&mut store, "status/maun", &status("maun", &[("entry-1", 2), ("entry-2", 1)]));
    put_object(&mut store, "status/kigali", &status("kigali", &[("entry-3", 2)]));
    let key = ["--key", "keys/ops-1.key"];
    let text = run_commands(
        platform(store),
        &[
            &["bundle", "status"],
            &["bundle", "roll-out", "config/bundle.yaml", key[0], key[1], "--no-wait"],
            &["bundle", "roll-out", "config/bundle.yaml", key[0], key[1]],
            &["bundle", "roll-out", "--from-version", "1", key[0], key[1], "--wait-ms", "1"],
            &["bundle", "roll-out", "--from-version", "9", key[0], key[1]],
            &["bundle", "roll-out", "config/bundle.yaml", key[0], key[1], "--expect", "2"],
            &["bundle", "status", "--instances", "4"],
            &["bundle", "log", "--show", "4"],
            &["instances"],
        ],
    );
    insta::assert_snapshot!(text);
}

/// Guards against settling an action that an instance may still send, and against changing an
/// outcome that the caller may already have received.
#[test]
fn only_unknown_outcomes_are_settled() {
    let claim = |state| Claim { fingerprint: 7, state };
    let unknown = ActionOutcome::Unknown { reason: "the connection broke".into() };
    let mut store = Store::default();
    let path = |caller: &str| format!("claims/{caller}/{KEY}");
    let sending = ClaimState::Sending { owner: "entry-2".into(), nonce: 5 };
    put_object(&mut store, &path("unknown"), &claim(ClaimState::Ended { outcome: unknown }));
    put_object(&mut store, &path("sending"), &claim(sending));
    let text = run_commands(
        platform(store),
        &[
            &["action", "settle", "unknown", KEY, "--done", "lot 17"],
            &["action", "settle", "unknown", KEY, "--not-run", "mistake"],
            &["action", "settle", "sending", KEY, "--not-run", "not in the ledger"],
            &["action", "settle", "sending", KEY, "--not-run", "-", "--holder-stopped"],
            &["action", "settle", "nobody", KEY, "--done", "-"],
        ],
    );
    insta::assert_snapshot!(text);
}

/// Guards against two concurrent roll-outs that both replace the same version.
#[test]
fn exactly_one_concurrent_roll_out_succeeds() {
    let platform = platform(Store::default()).to_string();
    let workspace = Workspace::new();
    let first =
        ["bundle", "roll-out", "config/bundle.yaml", "--key", "keys/ops-1.key", "--no-wait"];
    assert!(workspace.run_at(&platform, &first).status.success());
    let codes: Vec<_> = std::thread::scope(|scope| {
        let roll_outs: Vec<_> = (0..4)
            .map(|_| {
                scope.spawn(|| {
                    let args = [&first[..], &["--expect", "1"]].concat();
                    workspace.run_at(&platform, &args).status.code()
                })
            })
            .collect();
        roll_outs.into_iter().map(|it| it.join().unwrap()).collect()
    });
    assert_eq!(codes.iter().filter(|code| **code == Some(0)).count(), 1, "{codes:?}");
    assert_eq!(codes.iter().filter(|code| **code == Some(3)).count(), 3, "{codes:?}");
}
