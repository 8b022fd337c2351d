use rosemarybank_protocol::{bundle::Canary, prelude::*};
use serde_saphyr::Spanned;

use crate::{
    check,
    fault::{Fault, Faults},
    node::Node,
    reader::{Item, Reader, position},
    yaml::from_yaml,
};

/// Largest text of a bundle in bytes. The platform's limit for a value is 1 MB, which must also
/// hold the signature and the escapes that JSON adds to the text.
pub const MAX_BUNDLE_LEN: usize = 900_000;

/// Reads and checks a bundle.
///
/// # Errors
///
/// Returns every fault of the text in the order of its lines. Only a text that is not YAML at all
/// stops at its first fault.
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
        let message = format!("the text has {} bytes, more than {MAX_BUNDLE_LEN}", text.len());
        reader.faults.add("", message, "join neighbouring shards or shorten the comments");
        return Err(reader.faults.into_sorted());
    }
    let tree = match read_tree(text) {
        Ok(tree) => tree,
        Err(fault) => return Err(vec![fault]),
    };
    let root = reader.root(&tree);
    let bundle = read_bundle(&mut reader, &root);
    if !reader.faults.is_faulty_itself("") {
        check::check(&bundle, &mut reader.faults);
    }
    let faults = reader.faults.into_sorted();
    if faults.is_empty() { Ok(bundle) } else { Err(faults) }
}

fn read_tree(text: &str) -> Result<Spanned<Node>, Fault> {
    from_yaml(text).map_err(|e| {
        let mut faults = Faults::default();
        let at = e.location().unwrap_or(serde_saphyr::Location::UNKNOWN);
        let message = format!("the text is not readable as YAML: {}", e);
        faults.add_at(position(at), message, "correct the syntax at this line");
        faults.into_sorted().remove(0)
    })
}

fn read_bundle(reader: &mut Reader<'_>, item: &Item<'_>) -> Bundle {
    let mut map = reader.map(item);
    let format = reader.required(&mut map, "format");
    let services = reader.required(&mut map, "services");
    let upstreams = reader.required(&mut map, "upstreams");
    let callers = reader.required(&mut map, "callers");
    let limits = reader.optional(&mut map, "limits");
    reader.finish(map);
    Bundle {
        format: format.map(|it| reader.number(&it)).unwrap_or_default(),
        services: read_list(reader, services, read_service),
        upstreams: read_list(reader, upstreams, read_upstream),
        callers: read_list(reader, callers, read_caller),
        limits: limits.map(|it| read_limits(reader, &it)).unwrap_or_default(),
    }
}

fn read_list<T>(
    reader: &mut Reader<'_>,
    item: Option<Item<'_>>,
    read: impl Fn(&mut Reader<'_>, &Item<'_>) -> T,
) -> Vec<T> {
    let items = item.map(|it| reader.list(&it)).unwrap_or_default();
    items.iter().map(|it| read(reader, it)).collect()
}

fn read_service(reader: &mut Reader<'_>, item: &Item<'_>) -> ServiceConfig {
    let mut map = reader.map(item);
    let name = reader.required(&mut map, "name");
    let kind = reader.required(&mut map, "kind");
    let shards = reader.required(&mut map, "shards");
    let timeout_ms = reader.required(&mut map, "timeout_ms");
    let coverage = reader.optional(&mut map, "coverage");
    let canary = reader.optional(&mut map, "canary");
    reader.finish(map);
    let search = ServiceKind::Search;
    ServiceConfig {
        name: name.map(|it| reader.text(&it)).unwrap_or_default(),
        kind: kind.map_or(search, |it| reader.word(&it, search)),
        shards: read_list(reader, shards, read_shard),
        timeout_ms: timeout_ms.map(|it| reader.number(&it)).unwrap_or_default(),
        coverage: coverage.map(|it| reader.word(&it, CoverageMode::default())).unwrap_or_default(),
        canary: canary.map(|it| reader.word(&it, Canary::default())).unwrap_or_default(),
    }
}

fn read_shard(reader: &mut Reader<'_>, item: &Item<'_>) -> ShardConfig {
    let mut map = reader.map(item);
    let range = reader.required(&mut map, "range");
    let upstream = reader.required(&mut map, "upstream");
    reader.finish(map);
    ShardConfig {
        range: range.map_or(KeyRange::ALL, |it| read_range(reader, &it)),
        upstream: upstream.map(|it| reader.text(&it)).unwrap_or_default(),
    }
}

fn read_range(reader: &mut Reader<'_>, item: &Item<'_>) -> KeyRange {
    let mut map = reader.map(item);
    let first = reader.required(&mut map, "first");
    let last = reader.required(&mut map, "last");
    reader.finish(map);
    let first = first.map_or(0, |it| reader.hex(&it));
    let last = last.map_or(u64::MAX, |it| reader.hex(&it));
    KeyRange::new(first, last).unwrap_or_else(|| {
        let message = "the last key is below the first key";
        reader.faults.add(&item.key, message, "exchange `first` and `last`");
        KeyRange::ALL
    })
}

fn read_upstream(reader: &mut Reader<'_>, item: &Item<'_>) -> UpstreamConfig {
    let mut map = reader.map(item);
    let name = reader.required(&mut map, "name");
    let slots = reader.required(&mut map, "slots");
    let connections = reader.required(&mut map, "connections");
    reader.finish(map);
    UpstreamConfig {
        name: name.map(|it| reader.text(&it)).unwrap_or_default(),
        slots: slots.map(|it| reader.number(&it)).unwrap_or_default(),
        connections: connections.map(|it| reader.number(&it)).unwrap_or_default(),
    }
}

fn read_caller(reader: &mut Reader<'_>, item: &Item<'_>) -> CallerConfig {
    let mut map = reader.map(item);
    let name = reader.required(&mut map, "name");
    let token_sha256 = reader.required(&mut map, "token_sha256");
    let priority = reader.required(&mut map, "priority");
    let services = reader.required(&mut map, "services");
    reader.finish(map);
    let normal = Priority::Normal;
    CallerConfig {
        name: name.map(|it| reader.text(&it)).unwrap_or_default(),
        token_sha256: token_sha256.map(|it| reader.text(&it)).unwrap_or_default(),
        priority: priority.map_or(normal, |it| reader.word(&it, normal)),
        services: read_list(reader, services, |reader, it| reader.text(it)),
    }
}

fn read_limits(reader: &mut Reader<'_>, item: &Item<'_>) -> Limits {
    let mut map = reader.map(item);
    let concurrent_queries = reader.optional(&mut map, "concurrent_queries");
    let queued_queries = reader.optional(&mut map, "queued_queries");
    let hedge_percent = reader.optional(&mut map, "hedge_percent");
    let retry_percent = reader.optional(&mut map, "retry_percent");
    let body_bytes = reader.optional(&mut map, "body_bytes");
    reader.finish(map);
    let mut or = |item: Option<Item<'_>>, default| item.map_or(default, |it| reader.number(&it));
    let default = Limits::default();
    Limits {
        concurrent_queries: or(concurrent_queries, default.concurrent_queries),
        queued_queries: or(queued_queries, default.queued_queries),
        hedge_percent: or(hedge_percent, default.hedge_percent),
        retry_percent: or(retry_percent, default.retry_percent),
        body_bytes: or(body_bytes, default.body_bytes),
    }
}
