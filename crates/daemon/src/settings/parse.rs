use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    time::Duration,
};

use compact_str::CompactString;
use rosemarybank_bundle::{PublicKey, TrustedKeys};
use serde_json::Value;

use super::{
    model::{
        AdminSettings, CallersSettings, LogFormat, LogLevel, LogSettings, MetricsSettings,
        PeersSettings, PlatformSettings, QueryPolicy, Settings, StopSettings, UpstreamsSettings,
    },
    section_reader::{SectionReader, SettingError, SettingsErrors},
};

const ADDR_HELP: &str = "write an IP address and a port, such as 127.0.0.1:8080";
const NAME_HELP: &str = "write 1 to 64 of a-z, 0-9 and `-`";
/// Longest duration that a setting may have.
const MAX_DURATION_MS: u32 = 24 * 60 * 60 * 1_000;

/// Reads a settings file.
///
/// # Errors
///
/// Returns all errors in the file.
pub fn load(file: &Path) -> Result<Settings, SettingsErrors> {
    let text = fs::read_to_string(file).map_err(|err| {
        let help = "pass the path of a readable file to --settings".to_owned();
        let error = SettingError { key: String::new(), message: err.to_string(), help };
        SettingsErrors { file: file.to_owned(), errors: vec![error] }
    })?;
    parse(&text).map_err(|errors| SettingsErrors { file: file.to_owned(), errors })
}

/// Parses the text of a settings file.
///
/// # Errors
///
/// Returns all errors in the text.
///
/// # Examples
///
/// ```
/// let errors = rosemarybank_daemon::settings::parse("instance: entry-1\n").unwrap_err();
/// assert!(errors.iter().any(|it| it.key == "callers.addr"));
/// ```
pub fn parse(text: &str) -> Result<Settings, Vec<SettingError>> {
    let value: Value = serde_saphyr::from_str(text).map_err(|err| {
        let help = "correct the YAML at the reported location".to_owned();
        vec![SettingError { key: String::new(), message: err.to_string(), help }]
    })?;
    let mut errors = Vec::new();
    let settings = read_settings(SectionReader::new(value, &mut errors));
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

/// Reads all keys. An invalid value is replaced by a placeholder or default, and its error makes
/// [`parse`] fail.
fn read_settings(mut top: SectionReader<'_>) -> Settings {
    let instance = read_name(&mut top, "instance");
    let data_centre = read_name(&mut top, "data_centre");
    let source = top.optional("source", None, "write an IP address of this machine, or null");
    let callers = read_callers(top.section("callers"));
    let peers = read_peers(top.section("peers"));
    let admin = read_admin(top.section("admin"));
    let platform = read_platform(top.section("platform"));
    let upstreams = read_upstreams(top.section("upstreams"));
    let stop = read_stop(top.section("stop"));
    let log = read_log(top.section("log"));
    let metrics = read_metrics(top.section("metrics"));
    let (trusted_keys, trusted) = read_trusted_keys(&mut top);
    if peers.others.contains(&peers.addr) {
        let help = "list only the other instances";
        top.add_error("peers.others", "this instance's own address is listed", help);
    }
    top.report_unknown_keys();
    Settings {
        instance,
        data_centre,
        source,
        callers,
        peers,
        admin,
        platform,
        upstreams,
        trusted_keys,
        trusted,
        stop,
        log,
        metrics,
    }
}

fn read_callers(mut section: SectionReader<'_>) -> CallersSettings {
    let callers = CallersSettings {
        addr: read_addr(&mut section),
        connections: section.number("connections", 1_024, (1, 100_000)),
        streams_per_connection: section.number("streams_per_connection", 128, (1, 10_000)),
        head_bytes: section.number("head_bytes", 16_384, (8_192, 1 << 20)),
        head_timeout: read_duration_ms(&mut section, "head_timeout_ms", 5_000),
        body_timeout: read_duration_ms(&mut section, "body_timeout_ms", 5_000),
        body_memory: (section.number("body_memory_mb", 64, (1, 1 << 20)) as usize) << 20,
        longest_timeout: read_duration_ms(&mut section, "longest_timeout_ms", 60_000),
        actions: section.number("actions", 512, (1, 100_000)),
    };
    section.report_unknown_keys();
    callers
}

fn read_peers(mut section: SectionReader<'_>) -> PeersSettings {
    let help = "list the peer ports of the other instances, such as [10.0.0.2:7100]";
    let peers = PeersSettings {
        addr: read_addr(&mut section),
        others: section.optional("others", Vec::new(), help),
    };
    section.report_unknown_keys();
    peers
}

fn read_admin(mut section: SectionReader<'_>) -> AdminSettings {
    let admin = AdminSettings { addr: read_addr(&mut section) };
    section.report_unknown_keys();
    admin
}

fn read_platform(mut section: SectionReader<'_>) -> PlatformSettings {
    let platform = PlatformSettings {
        addr: read_addr(&mut section),
        timeout: read_duration_ms(&mut section, "timeout_ms", 1_000),
        watch_wait: read_duration_ms(&mut section, "watch_wait_ms", 5_000),
    };
    section.report_unknown_keys();
    platform
}

fn read_upstreams(mut section: SectionReader<'_>) -> UpstreamsSettings {
    let upstreams = UpstreamsSettings {
        threads: section.number("threads", 2, (1, 64)),
        connect_timeout: read_duration_ms(&mut section, "connect_timeout_ms", 500),
        reply_memory: (section.number("reply_memory_mb", 64, (1, 1 << 20)) as usize) << 20,
        policy: section.optional("policy", QueryPolicy::Adaptive, "write adaptive or baseline"),
    };
    section.report_unknown_keys();
    upstreams
}

fn read_stop(mut section: SectionReader<'_>) -> StopSettings {
    let stop = StopSettings {
        grace: read_duration_ms(&mut section, "grace_ms", 20_000),
        unready: Duration::from_millis(
            section.number("unready_ms", 0, (0, MAX_DURATION_MS)).into(),
        ),
    };
    section.report_unknown_keys();
    stop
}

fn read_log(mut section: SectionReader<'_>) -> LogSettings {
    let log = LogSettings {
        format: section.optional("format", LogFormat::Json, "write json or terminal"),
        level: section.optional("level", LogLevel::Info, "write error, warning, info or debug"),
    };
    section.report_unknown_keys();
    log
}

fn read_metrics(mut section: SectionReader<'_>) -> MetricsSettings {
    let metrics = MetricsSettings {
        statsd: section.optional("statsd", None, ADDR_HELP),
        spans: section.number("spans", 20_000, (0, 1_000_000)),
    };
    section.report_unknown_keys();
    metrics
}

fn read_trusted_keys(top: &mut SectionReader<'_>) -> (Vec<PublicKey>, TrustedKeys) {
    let help = "list the public keys of the operators, each with name and public_key";
    let keys: Vec<PublicKey> = top.required("trusted_keys", help).unwrap_or_default();
    match TrustedKeys::new(keys.iter().cloned()) {
        Ok(trusted) => (keys, trusted),
        Err(err) => {
            top.add_error("trusted_keys", &err.to_string(), help);
            (keys, TrustedKeys::default())
        }
    }
}

fn read_name(section: &mut SectionReader<'_>, key: &'static str) -> CompactString {
    let Some(name) = section.required::<CompactString>(key, NAME_HELP) else {
        return CompactString::default();
    };
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if name.is_empty() || name.len() > 64 || !name.bytes().all(allowed) {
        section.add_error(key, &format!("`{name}` is not a valid name"), NAME_HELP);
    }
    name
}

fn read_addr(section: &mut SectionReader<'_>) -> SocketAddr {
    let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    section.required("addr", ADDR_HELP).unwrap_or(placeholder)
}

fn read_duration_ms(section: &mut SectionReader<'_>, key: &'static str, default: u32) -> Duration {
    Duration::from_millis(section.number(key, default, (1, MAX_DURATION_MS)).into())
}
