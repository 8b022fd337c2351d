use std::collections::{HashMap, HashSet};

use rosemarybank_protocol::prelude::*;

use crate::fault::Faults;

/// Bundle format that this version of the crate supports.
const SUPPORTED_FORMAT: u32 = 1;

/// Maximum length of a name in characters. Names are part of object paths and metric labels.
const MAX_NAME_LEN: usize = 64;

/// SHA-256 of an empty token, which would allow a caller to authenticate without a token.
const EMPTY_TOKEN_SHA256: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Checks the values of a bundle and adds a fault for each invalid one.
///
/// Values that could not be read are already reported and replaced by defaults.
pub(crate) fn check_bundle(bundle: &Bundle, faults: &mut Faults) {
    if bundle.format != SUPPORTED_FORMAT {
        let message = format!("format {} is not supported", bundle.format);
        faults.add("format", message, format!("write `format: {SUPPORTED_FORMAT}`"));
    }
    check_not_empty(bundle, faults);
    check_names("services", bundle.services.iter().map(|it| &*it.name), faults);
    check_names("upstreams", bundle.upstreams.iter().map(|it| &*it.name), faults);
    check_names("callers", bundle.callers.iter().map(|it| &*it.name), faults);
    check_services(bundle, faults);
    check_upstreams(bundle, faults);
    check_callers(bundle, faults);
    check_limits(&bundle.limits, faults);
}

fn check_not_empty(bundle: &Bundle, faults: &mut Faults) {
    let lists = [("services", bundle.services.len()), ("upstreams", bundle.upstreams.len())];
    for (key, len) in lists {
        if len == 0 {
            let help = "a bundle without them would stop every request; add one";
            faults.add(key, "the list is empty", help);
        }
    }
}

fn check_names<'b>(list: &str, names: impl Iterator<Item = &'b str>, faults: &mut Faults) {
    let mut seen = HashMap::new();
    for (i, name) in names.enumerate() {
        let key = format!("{list}[{i}].name");
        let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        if name.is_empty() || name.len() > MAX_NAME_LEN || !name.bytes().all(allowed) {
            let message = format!("`{name}` is not a valid name");
            let help = format!("use 1 to {MAX_NAME_LEN} characters from a-z, 0-9 and `-`");
            faults.add(&key, message, help);
        } else if let Some(first) = seen.insert(name, i) {
            let message = format!("`{name}` is already the name of {list}[{first}]");
            faults.add(&key, message, "use a unique name");
            seen.insert(name, first);
        }
    }
}

fn check_services(bundle: &Bundle, faults: &mut Faults) {
    // If an upstream name could not be read, a valid reference to it would be reported as unknown.
    let all_names_read =
        !bundle.upstreams.iter().any(|it| it.name.is_empty()) && !faults.has_fault_at("upstreams");
    let upstreams: HashSet<_> = bundle.upstreams.iter().map(|it| &it.name).collect();
    for (i, service) in bundle.services.iter().enumerate() {
        let key = format!("services[{i}]");
        if service.timeout_ms == 0 {
            let help = "write the time that a request may take, in milliseconds";
            faults.add(
                &format!("{key}.timeout_ms"),
                "a timeout of zero would fail every request",
                help,
            );
        }
        for (j, shard) in service.shards.iter().enumerate() {
            if all_names_read && !upstreams.contains(&shard.upstream) {
                let message = format!("no upstream is named `{}`", shard.upstream);
                let key = format!("{key}.shards[{j}].upstream");
                faults.add(&key, message, "correct the name or add the upstream to `upstreams`");
            }
        }
        check_shards(service, &format!("{key}.shards"), faults);
    }
}

fn check_shards(service: &ServiceConfig, key: &str, faults: &mut Faults) {
    let is_ledger = service.kind == ServiceKind::Ledger;
    if is_ledger && service.shards.len() > 1 {
        let message =
            format!("a ledger must have one shard, but {} are listed", service.shards.len());
        faults.add(key, message, "list a single shard that covers the whole key space");
        return;
    }
    let all_ranges_read =
        (0..service.shards.len()).all(|j| !faults.has_fault_within(&format!("{key}[{j}].range")));
    if !all_ranges_read || (service.shards.is_empty() && faults.has_fault_within(key)) {
        return;
    }
    let mut shards: Vec<_> = service.shards.iter().map(|it| it.range).enumerate().collect();
    shards.sort_by_key(|&(_, range)| range);
    check_overlaps(&shards, key, faults);
    check_gaps(&shards, key, faults);
}

fn check_overlaps(sorted: &[(usize, KeyRange)], key: &str, faults: &mut Faults) {
    // The shard with the highest last key so far.
    let mut furthest: Option<(usize, KeyRange)> = None;
    for &(j, range) in sorted {
        if let Some((other, covered)) = furthest
            && covered.last() >= range.first()
        {
            let message = format!("{range} overlaps {covered} of {key}[{other}]");
            let help = "start each shard one key after the last key of the previous shard";
            faults.add(&format!("{key}[{j}].range"), message, help);
        }
        if furthest.is_none_or(|(_, covered)| covered.last() < range.last()) {
            furthest = Some((j, range));
        }
    }
}

fn check_gaps(sorted: &[(usize, KeyRange)], key: &str, faults: &mut Faults) {
    for gap in KeyRange::ALL.subtract(sorted.iter().map(|&(_, range)| range)) {
        let before = sorted.iter().rev().find(|(_, range)| range.last() < gap.first());
        let at = match (before, sorted.first()) {
            (Some((j, _)), _) => format!("{key}[{j}].range.last"),
            (None, Some((j, _))) => format!("{key}[{j}].range.first"),
            (None, None) => key.to_owned(),
        };
        let help = "the shards of a service must cover the key space; extend a shard or add one";
        faults.add(&at, format!("no shard covers the keys {gap}"), help);
    }
}

fn check_upstreams(bundle: &Bundle, faults: &mut Faults) {
    for (i, upstream) in bundle.upstreams.iter().enumerate() {
        let values = [("slots", upstream.slots), ("connections", upstream.connections)];
        for (name, value) in values {
            if value == 0 {
                let message = format!("zero would prevent all requests to `{}`", upstream.name);
                let help = "write the limit of a single replica, at least 1";
                faults.add(&format!("upstreams[{i}].{name}"), message, help);
            }
        }
    }
}

fn check_callers(bundle: &Bundle, faults: &mut Faults) {
    let all_names_read =
        !bundle.services.iter().any(|it| it.name.is_empty()) && !faults.has_fault_at("services");
    let services: HashSet<_> = bundle.services.iter().map(|it| &it.name).collect();
    let mut callers_by_hash = HashMap::new();
    for (i, caller) in bundle.callers.iter().enumerate() {
        let key = format!("callers[{i}]");
        check_token(caller, &key, &mut callers_by_hash, faults);
        let mut listed = HashSet::new();
        for (j, service) in caller.services.iter().enumerate() {
            let key = format!("{key}.services[{j}]");
            if all_names_read && !services.contains(service) {
                let message = format!("no service is named `{service}`");
                faults.add(&key, message, "correct the name or add the service to `services`");
            } else if !listed.insert(service) {
                let message = format!("`{service}` is listed twice");
                faults.add(&key, message, "remove the duplicate");
            }
        }
    }
}

fn check_token<'b>(
    caller: &'b CallerConfig,
    key: &str,
    callers_by_hash: &mut HashMap<&'b str, &'b str>,
    faults: &mut Faults,
) {
    let key = format!("{key}.token_sha256");
    let hash = &*caller.token_sha256;
    let digits_only = hash.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if hash.len() != 64 || !digits_only {
        let help = "write the SHA-256 of the caller's token as 64 lowercase hexadecimal digits";
        faults.add(&key, "expected a SHA-256", help);
    } else if hash == EMPTY_TOKEN_SHA256 {
        let help = "generate a random token for the caller and write its SHA-256";
        faults.add(&key, "this is the SHA-256 of an empty token", help);
    } else if let Some(other) = callers_by_hash.insert(hash, &caller.name) {
        let message = format!("caller `{other}` has the same token");
        faults.add(&key, message, "use a different token for each caller");
    }
}

fn check_limits(limits: &Limits, faults: &mut Faults) {
    let non_zero =
        [("concurrent_queries", limits.concurrent_queries), ("body_bytes", limits.body_bytes)];
    for (name, value) in non_zero {
        if value == 0 {
            let help = "write at least 1 or remove the line to use the default";
            faults.add(&format!("limits.{name}"), "zero would refuse every request", help);
        }
    }
    let percentages =
        [("hedge_percent", limits.hedge_percent), ("retry_percent", limits.retry_percent)];
    for (name, value) in percentages {
        if value > 100 {
            let help = "write 0 to 100";
            faults.add(&format!("limits.{name}"), format!("{value} is above 100 percent"), help);
        }
    }
}
