use rosemarybank_protocol::{bundle::Canary, prelude::*};
use serde_saphyr::Spanned;

use crate::{
    check,
    fault::{Fault, Faults},
    node::Node,
    reader::{Reader, Value, position},
    yaml::from_yaml,
};

/// Maximum size of a bundle in bytes. The platform's limit for an object is 1 MB, which must also
/// fit the signature and the escape sequences that JSON adds to the text.
pub const MAX_BUNDLE_LEN: usize = 900_000;

/// Parses and validates a bundle.
///
/// # Errors
///
/// Returns all faults, sorted by position. If the text is too long or is not valid YAML, only that
/// fault is returned.
///
/// # Examples
///
/// ```
/// let faults = rosemarybank_bundle::parse("format: 1\nservice: []\n").unwrap_err();
/// assert!(faults.iter().any(|it| it.key == "service" && it.message == "unknown key"));
/// assert!(faults.iter().any(|it| it.key == "services"));
/// ```
pub fn parse(text: &str) -> Result<Bundle, Vec<Fault>> {
    let mut reader = Reader::new(text);
    if text.len() > MAX_BUNDLE_LEN {
        let message =
            format!("the bundle has {} bytes; the maximum is {MAX_BUNDLE_LEN}", text.len());
        reader.faults.add("", message, "merge adjacent shards or shorten the comments");
        return Err(reader.faults.into_sorted());
    }
    let tree = match read_tree(text) {
        Ok(tree) => tree,
        Err(fault) => return Err(vec![fault]),
    };
    let root = reader.root(&tree);
    let bundle = read_bundle(&mut reader, &root);
    if !reader.faults.has_fault_at("") {
        check::check_bundle(&bundle, &mut reader.faults);
    }
    let faults = reader.faults.into_sorted();
    if faults.is_empty() { Ok(bundle) } else { Err(faults) }
}

fn read_tree(text: &str) -> Result<Spanned<Node>, Fault> {
    from_yaml(text).map_err(|e| {
        let mut faults = Faults::default();
        let location = e.location().unwrap_or(serde_saphyr::Location::UNKNOWN);
        let message = format!("invalid YAML: {}", e);
        faults.add_at(position(location), message, "fix the syntax on this line");
        faults.into_sorted().remove(0)
    })
}

fn read_bundle(reader: &mut Reader<'_>, value: &Value<'_>) -> Bundle {
    let mut mapping = reader.mapping(value);
    let format = reader.take_required(&mut mapping, "format");
    let services = reader.take_required(&mut mapping, "services");
    let upstreams = reader.take_required(&mut mapping, "upstreams");
    let callers = reader.take_required(&mut mapping, "callers");
    let limits = reader.take_optional(&mut mapping, "limits");
    reader.reject_unknown_keys(mapping);
    Bundle {
        format: format.map(|it| reader.integer(&it)).unwrap_or_default(),
        services: read_list(reader, services, read_service),
        upstreams: read_list(reader, upstreams, read_upstream),
        callers: read_list(reader, callers, read_caller),
        limits: limits.map(|it| read_limits(reader, &it)).unwrap_or_default(),
    }
}

fn read_list<T>(
    reader: &mut Reader<'_>,
    value: Option<Value<'_>>,
    read: impl Fn(&mut Reader<'_>, &Value<'_>) -> T,
) -> Vec<T> {
    let items = value.map(|it| reader.sequence(&it)).unwrap_or_default();
    items.iter().map(|it| read(reader, it)).collect()
}

fn read_service(reader: &mut Reader<'_>, value: &Value<'_>) -> ServiceConfig {
    let mut mapping = reader.mapping(value);
    let name = reader.take_required(&mut mapping, "name");
    let kind = reader.take_required(&mut mapping, "kind");
    let shards = reader.take_required(&mut mapping, "shards");
    let timeout_ms = reader.take_required(&mut mapping, "timeout_ms");
    let coverage = reader.take_optional(&mut mapping, "coverage");
    let canary = reader.take_optional(&mut mapping, "canary");
    reader.reject_unknown_keys(mapping);
    let search = ServiceKind::Search;
    ServiceConfig {
        name: name.map(|it| reader.string(&it)).unwrap_or_default(),
        kind: kind.map_or(search, |it| reader.enum_value(&it, search)),
        shards: read_list(reader, shards, read_shard),
        timeout_ms: timeout_ms.map(|it| reader.integer(&it)).unwrap_or_default(),
        coverage: coverage
            .map(|it| reader.enum_value(&it, CoverageMode::default()))
            .unwrap_or_default(),
        canary: canary.map(|it| reader.enum_value(&it, Canary::default())).unwrap_or_default(),
    }
}

fn read_shard(reader: &mut Reader<'_>, value: &Value<'_>) -> ShardConfig {
    let mut mapping = reader.mapping(value);
    let range = reader.take_required(&mut mapping, "range");
    let upstream = reader.take_required(&mut mapping, "upstream");
    reader.reject_unknown_keys(mapping);
    ShardConfig {
        range: range.map_or(KeyRange::ALL, |it| read_range(reader, &it)),
        upstream: upstream.map(|it| reader.string(&it)).unwrap_or_default(),
    }
}

fn read_range(reader: &mut Reader<'_>, value: &Value<'_>) -> KeyRange {
    let mut mapping = reader.mapping(value);
    let first = reader.take_required(&mut mapping, "first");
    let last = reader.take_required(&mut mapping, "last");
    reader.reject_unknown_keys(mapping);
    let first = first.map_or(0, |it| reader.record_key(&it));
    let last = last.map_or(u64::MAX, |it| reader.record_key(&it));
    KeyRange::new(first, last).unwrap_or_else(|| {
        let message = "the last key is below the first key";
        reader.faults.add(&value.key, message, "swap `first` and `last`");
        KeyRange::ALL
    })
}

fn read_upstream(reader: &mut Reader<'_>, value: &Value<'_>) -> UpstreamConfig {
    let mut mapping = reader.mapping(value);
    let name = reader.take_required(&mut mapping, "name");
    let slots = reader.take_required(&mut mapping, "slots");
    let connections = reader.take_required(&mut mapping, "connections");
    reader.reject_unknown_keys(mapping);
    UpstreamConfig {
        name: name.map(|it| reader.string(&it)).unwrap_or_default(),
        slots: slots.map(|it| reader.integer(&it)).unwrap_or_default(),
        connections: connections.map(|it| reader.integer(&it)).unwrap_or_default(),
    }
}

fn read_caller(reader: &mut Reader<'_>, value: &Value<'_>) -> CallerConfig {
    let mut mapping = reader.mapping(value);
    let name = reader.take_required(&mut mapping, "name");
    let token_sha256 = reader.take_required(&mut mapping, "token_sha256");
    let priority = reader.take_required(&mut mapping, "priority");
    let services = reader.take_required(&mut mapping, "services");
    reader.reject_unknown_keys(mapping);
    let normal = Priority::Normal;
    CallerConfig {
        name: name.map(|it| reader.string(&it)).unwrap_or_default(),
        token_sha256: token_sha256.map(|it| reader.string(&it)).unwrap_or_default(),
        priority: priority.map_or(normal, |it| reader.enum_value(&it, normal)),
        services: read_list(reader, services, |reader, it| reader.string(it)),
    }
}

fn read_limits(reader: &mut Reader<'_>, value: &Value<'_>) -> Limits {
    let mut mapping = reader.mapping(value);
    let concurrent_queries = reader.take_optional(&mut mapping, "concurrent_queries");
    let queued_queries = reader.take_optional(&mut mapping, "queued_queries");
    let hedge_percent = reader.take_optional(&mut mapping, "hedge_percent");
    let retry_percent = reader.take_optional(&mut mapping, "retry_percent");
    let body_bytes = reader.take_optional(&mut mapping, "body_bytes");
    reader.reject_unknown_keys(mapping);
    let mut number_or =
        |value: Option<Value<'_>>, default| value.map_or(default, |it| reader.integer(&it));
    let default = Limits::default();
    Limits {
        concurrent_queries: number_or(concurrent_queries, default.concurrent_queries),
        queued_queries: number_or(queued_queries, default.queued_queries),
        hedge_percent: number_or(hedge_percent, default.hedge_percent),
        retry_percent: number_or(retry_percent, default.retry_percent),
        body_bytes: number_or(body_bytes, default.body_bytes),
    }
}
