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
    fields::{Fault, Faults, Fields},
    model::{
        AdminSettings, CallersSettings, LogFormat, LogLevel, LogSettings, MetricsSettings,
        PeersSettings, PlatformSettings, QueryPolicy, Settings, StopSettings, UpstreamsSettings,
    },
};

const ADDR_REMEDY: &str = "write an IP address and a port, such as 127.0.0.1:8080";
const NAME_REMEDY: &str = "write 1 to 64 of a-z, 0-9 and `-`";
const DAY_MS: u32 = 24 * 60 * 60 * 1_000;

/// Reads a settings file.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn load(file: &Path) -> Result<Settings, Faults> {
    let text = fs::read_to_string(file).map_err(|err| {
        let remedy = "name a readable file after --settings".to_owned();
        let fault = Fault { key: String::new(), message: err.to_string(), remedy };
        Faults { file: file.to_owned(), faults: vec![fault] }
    })?;
    parse(&text).map_err(|faults| Faults { file: file.to_owned(), faults })
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Returns every fault of the text.
///
/// # Examples
///
/// ```
/// let faults = rosemarybank_daemon::settings::parse("instance: entry-1\n").unwrap_err();
/// assert!(faults.iter().any(|it| it.key == "callers.addr"));
/// ```
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let value: Value = serde_saphyr::from_str(text).map_err(|err| {
        let remedy = "correct the YAML at the place that the message names".to_owned();
        vec![Fault { key: String::new(), message: err.to_string(), remedy }]
    })?;
    let mut faults = Vec::new();
    let settings = read(Fields::new(value, &mut faults));
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// Reads all keys. Values that can't be read are replaced, because their fault is recorded.
fn read(mut top: Fields<'_>) -> Settings {
    let instance = name(&mut top, "instance");
    let data_centre = name(&mut top, "data_centre");
    let source = top.optional("source", None, "write an IP address of this machine, or null");
    let callers = callers(top.section("callers"));
    let peers = peers(top.section("peers"));
    let admin = admin(top.section("admin"));
    let platform = platform(top.section("platform"));
    let upstreams = upstreams(top.section("upstreams"));
    let stop = stop(top.section("stop"));
    let log = log(top.section("log"));
    let metrics = metrics(top.section("metrics"));
    let (trusted_keys, trusted) = trusted_keys(&mut top);
    if peers.others.contains(&peers.addr) {
        let remedy = "list only the other instances";
        top.fault("peers.others", "this instance's own address is listed", remedy);
    }
    top.finish();
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

fn callers(mut at: Fields<'_>) -> CallersSettings {
    let callers = CallersSettings {
        addr: addr(&mut at),
        connections: at.number("connections", 1_024, (1, 100_000)),
        streams_per_connection: at.number("streams_per_connection", 128, (1, 10_000)),
        head_bytes: at.number("head_bytes", 16_384, (8_192, 1 << 20)),
        head_timeout: millis(&mut at, "head_timeout_ms", 5_000),
        body_timeout: millis(&mut at, "body_timeout_ms", 5_000),
        longest_timeout: millis(&mut at, "longest_timeout_ms", 60_000),
        actions: at.number("actions", 512, (1, 100_000)),
    };
    at.finish();
    callers
}

fn peers(mut at: Fields<'_>) -> PeersSettings {
    let remedy = "list the peer ports of the other instances, such as [10.0.0.2:7100]";
    let peers =
        PeersSettings { addr: addr(&mut at), others: at.optional("others", Vec::new(), remedy) };
    at.finish();
    peers
}

fn admin(mut at: Fields<'_>) -> AdminSettings {
    let admin = AdminSettings { addr: addr(&mut at) };
    at.finish();
    admin
}

fn platform(mut at: Fields<'_>) -> PlatformSettings {
    let platform = PlatformSettings {
        addr: addr(&mut at),
        timeout: millis(&mut at, "timeout_ms", 1_000),
        watch_wait: millis(&mut at, "watch_wait_ms", 5_000),
    };
    at.finish();
    platform
}

fn upstreams(mut at: Fields<'_>) -> UpstreamsSettings {
    let upstreams = UpstreamsSettings {
        threads: at.number("threads", 2, (1, 64)),
        connect_timeout: millis(&mut at, "connect_timeout_ms", 500),
        policy: at.optional("policy", QueryPolicy::Adaptive, "write adaptive or baseline"),
    };
    at.finish();
    upstreams
}

fn stop(mut at: Fields<'_>) -> StopSettings {
    let stop = StopSettings {
        grace: millis(&mut at, "grace_ms", 20_000),
        unready: Duration::from_millis(at.number("unready_ms", 0, (0, DAY_MS)).into()),
    };
    at.finish();
    stop
}

fn log(mut at: Fields<'_>) -> LogSettings {
    let log = LogSettings {
        format: at.optional("format", LogFormat::Json, "write json or terminal"),
        level: at.optional("level", LogLevel::Info, "write error, warning, info or debug"),
    };
    at.finish();
    log
}

fn metrics(mut at: Fields<'_>) -> MetricsSettings {
    let metrics = MetricsSettings {
        statsd: at.optional("statsd", None, ADDR_REMEDY),
        spans: at.number("spans", 20_000, (0, 1_000_000)),
    };
    at.finish();
    metrics
}

fn trusted_keys(top: &mut Fields<'_>) -> (Vec<PublicKey>, TrustedKeys) {
    let remedy = "list the public keys of the operators, each with name and public_key";
    let keys: Vec<PublicKey> = top.required("trusted_keys", remedy).unwrap_or_default();
    match TrustedKeys::new(keys.iter().cloned()) {
        Ok(trusted) => (keys, trusted),
        Err(err) => {
            top.fault("trusted_keys", &err.to_string(), remedy);
            (keys, TrustedKeys::default())
        }
    }
}

fn name(at: &mut Fields<'_>, key: &'static str) -> CompactString {
    let Some(name) = at.required::<CompactString>(key, NAME_REMEDY) else {
        return CompactString::default();
    };
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if name.is_empty() || name.len() > 64 || !name.bytes().all(allowed) {
        at.fault(key, &format!("`{name}` is not a name"), NAME_REMEDY);
    }
    name
}

fn addr(at: &mut Fields<'_>) -> SocketAddr {
    let unreadable = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    at.required("addr", ADDR_REMEDY).unwrap_or(unreadable)
}

fn millis(at: &mut Fields<'_>, key: &'static str, default: u32) -> Duration {
    Duration::from_millis(at.number(key, default, (1, DAY_MS)).into())
}
