use std::collections::{HashMap, HashSet};

use rosemarybank_protocol::prelude::*;

use crate::fault::Faults;

/// Format that this version of the package reads.
const FORMAT: u32 = 1;

/// Longest name in characters; names are parts of object paths and of metric names.
const MAX_NAME_LEN: usize = 64;

/// SHA-256 of the empty text, which would let a caller in without a token.
const EMPTY_TOKEN_SHA256: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Finds the faults of a bundle whose values have the right types.
pub(crate) fn check(bundle: &Bundle, faults: &mut Faults) {
    if bundle.format != FORMAT {
        let message = format!("format {} is not supported", bundle.format);
        faults.add("format", message, format!("write `format: {FORMAT}`"));
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
            let message = format!("`{name}` is not a name");
            let help = format!("use 1 to {MAX_NAME_LEN} of a-z, 0-9 and `-`");
            faults.add(&key, message, help);
        } else if let Some(first) = seen.insert(name, i) {
            let message = format!("`{name}` is already the name of {list}[{first}]");
            faults.add(&key, message, "give each item its own name");
            seen.insert(name, first);
        }
    }
}

fn check_services(bundle: &Bundle, faults: &mut Faults) {
    // Without all the names, a reference to an unreadable one would be reported as dangling.
    let names_known = !bundle.upstreams.iter().any(|it| it.name.is_empty())
        && !faults.is_faulty_itself("upstreams");
    let upstreams: HashSet<_> = bundle.upstreams.iter().map(|it| &it.name).collect();
    for (i, service) in bundle.services.iter().enumerate() {
        let key = format!("services[{i}]");
        if service.timeout_ms == 0 {
            let help = "write the milliseconds that a request may take";
            faults.add(&format!("{key}.timeout_ms"), "a time-out of zero ends every request", help);
        }
        for (j, shard) in service.shards.iter().enumerate() {
            if names_known && !upstreams.contains(&shard.upstream) {
                let message = format!("no upstream is named `{}`", shard.upstream);
                let key = format!("{key}.shards[{j}].upstream");
                faults.add(&key, message, "correct the name or add it to `upstreams`");
            }
        }
        check_shards(service, &format!("{key}.shards"), faults);
    }
}

fn check_shards(service: &ServiceConfig, key: &str, faults: &mut Faults) {
    let ledger = service.kind == ServiceKind::Ledger;
    if ledger && service.shards.len() > 1 {
        let message = format!("a ledger has one shard, not {}", service.shards.len());
        faults.add(key, message, "keep the shard of the whole key space and remove the others");
        return;
    }
    let ranges_known =
        (0..service.shards.len()).all(|j| !faults.is_faulty(&format!("{key}[{j}].range")));
    if !ranges_known || (service.shards.is_empty() && faults.is_faulty(key)) {
        return;
    }
    let mut shards: Vec<_> = service.shards.iter().map(|it| it.range).enumerate().collect();
    shards.sort_by_key(|&(_, range)| range);
    check_overlaps(&shards, key, faults);
    check_gaps(&shards, key, faults);
}

fn check_overlaps(sorted: &[(usize, KeyRange)], key: &str, faults: &mut Faults) {
    let mut widest: Option<(usize, KeyRange)> = None;
    for &(j, range) in sorted {
        if let Some((other, covered)) = widest
            && covered.last() >= range.first()
        {
            let message = format!("{range} overlaps {covered} of {key}[{other}]");
            let help = "let each shard begin one key after the last key of the one before";
            faults.add(&format!("{key}[{j}].range"), message, help);
        }
        if widest.is_none_or(|(_, covered)| covered.last() < range.last()) {
            widest = Some((j, range));
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
        let help = "the shards of a service tile the key space; extend a shard or add one";
        faults.add(&at, format!("no shard holds the keys {gap}"), help);
    }
}

fn check_upstreams(bundle: &Bundle, faults: &mut Faults) {
    for (i, upstream) in bundle.upstreams.iter().enumerate() {
        let numbers = [("slots", upstream.slots), ("connections", upstream.connections)];
        for (name, number) in numbers {
            if number == 0 {
                let message = format!("`{}` would take no request", upstream.name);
                let help = "write the number that one replica has, at least 1";
                faults.add(&format!("upstreams[{i}].{name}"), message, help);
            }
        }
    }
}

fn check_callers(bundle: &Bundle, faults: &mut Faults) {
    let names_known = !bundle.services.iter().any(|it| it.name.is_empty())
        && !faults.is_faulty_itself("services");
    let services: HashSet<_> = bundle.services.iter().map(|it| &it.name).collect();
    let mut hashes = HashMap::new();
    for (i, caller) in bundle.callers.iter().enumerate() {
        let key = format!("callers[{i}]");
        check_token(caller, &key, &mut hashes, faults);
        let mut listed = HashSet::new();
        for (j, service) in caller.services.iter().enumerate() {
            let key = format!("{key}.services[{j}]");
            if names_known && !services.contains(service) {
                let message = format!("no service is named `{service}`");
                faults.add(&key, message, "correct the name or add it to `services`");
            } else if !listed.insert(service) {
                let message = format!("`{service}` is listed twice");
                faults.add(&key, message, "remove one of them");
            }
        }
    }
}

fn check_token<'b>(
    caller: &'b CallerConfig,
    key: &str,
    hashes: &mut HashMap<&'b str, &'b str>,
    faults: &mut Faults,
) {
    let key = format!("{key}.token_sha256");
    let hash = &*caller.token_sha256;
    let digits_only = hash.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if hash.len() != 64 || !digits_only {
        let help = "write the SHA-256 of the caller's token as 64 lower-case hexadecimal digits";
        faults.add(&key, "this is not a SHA-256", help);
    } else if hash == EMPTY_TOKEN_SHA256 {
        let help = "give the caller a random token and write its SHA-256";
        faults.add(&key, "this is the SHA-256 of an empty token", help);
    } else if let Some(other) = hashes.insert(hash, &caller.name) {
        let message = format!("caller `{other}` has the same token");
        faults.add(&key, message, "give each caller its own token");
    }
}

fn check_limits(limits: &Limits, faults: &mut Faults) {
    let at_least_one =
        [("concurrent_queries", limits.concurrent_queries), ("body_bytes", limits.body_bytes)];
    for (name, number) in at_least_one {
        if number == 0 {
            let help = "write at least 1 or remove the line to use the default";
            faults.add(&format!("limits.{name}"), "zero would refuse every request", help);
        }
    }
    let percents =
        [("hedge_percent", limits.hedge_percent), ("retry_percent", limits.retry_percent)];
    for (name, number) in percents {
        if number > 100 {
            let help = "write 0 to 100";
            faults.add(&format!("limits.{name}"), format!("{number} is above 100 percent"), help);
        }
    }
}
