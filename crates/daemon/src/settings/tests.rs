use std::path::PathBuf;

use super::*;

const MINIMAL_SETTINGS: &str = "
instance: entry-1
data_centre: maun
callers: { addr: 127.0.0.1:8080 }
peers: { addr: 127.0.0.1:7100 }
admin: { addr: 127.0.0.1:9100 }
platform: { addr: 127.0.0.1:6100 }
trusted_keys: []
";

/// Guards against new required keys: existing settings files lack them, so that instances could not
/// start after an upgrade.
#[test]
fn minimal_settings_are_accepted() {
    let settings = parse(MINIMAL_SETTINGS).unwrap();
    assert_eq!(settings.callers.connections, 1_024);
}

/// Guards against errors that hide other errors, and against unknown keys that are ignored.
#[test]
fn every_error_is_reported_with_its_key_and_help() {
    let text = "
instance: Entry 1
callers: { addr: somewhere, connections: 0, colour: red }
peers: { addr: 127.0.0.1:7100, others: [127.0.0.1:7100] }
admin: 5
platform: { addr: 127.0.0.1:6100, timeout_ms: soon }
trusted_keys: [{ name: ops, public_key: short }]
extra: 1
";
    let errors =
        SettingsErrors { file: PathBuf::from("entry.yaml"), errors: parse(text).unwrap_err() };
    insta::assert_snapshot!(errors);
}

/// Guards against a reference file that the daemon rejects, for example because a key is missing.
#[test]
fn the_reference_file_is_accepted() {
    parse(include_str!("../../../../config/rosemarybankd.yaml")).unwrap();
}
