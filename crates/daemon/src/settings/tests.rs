use std::path::PathBuf;

use super::*;

const LEAST: &str = "
instance: entry-1
data_centre: maun
callers: { addr: 127.0.0.1:8080 }
peers: { addr: 127.0.0.1:7100 }
admin: { addr: 127.0.0.1:9100 }
platform: { addr: 127.0.0.1:6100 }
trusted_keys: []
";

/// Guards against a key that became required, which would stop instances at their next start.
#[test]
fn the_least_settings_are_accepted() {
    let settings = parse(LEAST).unwrap();
    assert_eq!(settings.callers.connections, 1_024);
}

/// Guards against faults that hide each other, and against unknown keys that are ignored.
#[test]
fn every_fault_is_reported_with_its_key_and_remedy() {
    let text = "
instance: Entry 1
callers: { addr: somewhere, connections: 0, colour: red }
peers: { addr: 127.0.0.1:7100, others: [127.0.0.1:7100] }
admin: 5
platform: { addr: 127.0.0.1:6100, timeout_ms: soon }
trusted_keys: [{ name: ops, public_key: short }]
extra: 1
";
    let faults = Faults { file: PathBuf::from("entry.yaml"), faults: parse(text).unwrap_err() };
    insta::assert_snapshot!(faults);
}

/// Guards against a reference file that the daemon refuses or that lacks a key.
#[test]
fn the_reference_file_is_accepted() {
    parse(include_str!("../../../../config/rosemarybankd.yaml")).unwrap();
}
