//! Deletion of old claims from the store.

mod common;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::{Bench, Instance, eventually, free_addrs};
use http::Method;

/// Age at which a claim is deleted, and how much older claims a collector without memory finds.
const MIN_AGE: Duration = Duration::from_secs(48 * 3_600);
const LOOK_BACK: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Path of a claim whose key was made some time ago.
fn path(age: Duration, end: &str) -> String {
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - age;
    let ms = at.as_millis();
    format!("claims/desk/{:08x}-{:04x}{end}", ms >> 16, ms & 0xffff)
}

fn is_held(bench: &Bench, path: &str) -> bool {
    let reply = bench.send(Method::GET, bench.platform, &format!("/objects/{path}"), &[], "");
    reply.status().is_success()
}

fn counted(bench: &Bench, instance: &Instance, metric: &str) -> u64 {
    let reply = bench.send(Method::GET, instance.daemon.admin_addr, "/metrics", &[], "");
    let text = String::from_utf8_lossy(reply.body()).into_owned();
    let value = text.lines().find_map(|it| it.strip_prefix(&format!("rosemarybank_{metric} ")));
    value.map_or(0, |it| it.parse().unwrap())
}

/// Guards against old claims that stay for ever, deletions of young claims and of other objects,
/// and two instances that disturb each other.
#[test]
fn old_claims_are_deleted() {
    let bench = Bench::start();
    // A collector begins with the oldest claims that it looks for.
    let old = MIN_AGE + LOOK_BACK - Duration::from_secs(200);
    let key_end = |n: u32| format!("-7abc-8def-{n:012x}");
    let old: Vec<_> = (0..30).map(|n| path(old, &key_end(n))).collect();
    let young = path(MIN_AGE - Duration::from_secs(60), &key_end(0));
    let junk = path(MIN_AGE + LOOK_BACK - Duration::from_secs(200), "-no-key");
    for path in old.iter().chain([&young, &junk]) {
        bench.put(path, r#"{"any":"content"}"#.to_owned());
    }
    let addrs = free_addrs(2);
    let start = |n: usize| {
        let name = format!("entry-{n}");
        bench.unready_instance(&name, &addrs[n].to_string(), &[addrs[1 - n]])
    };
    let fleet = [start(0), start(1)];
    eventually("the old claims are deleted", || !old.iter().any(|it| is_held(&bench, it)));
    eventually("the deletions and the other path are counted", || {
        let sum = |metric| fleet.iter().map(|it| counted(&bench, it, metric)).sum::<u64>();
        sum("claims_deleted_total") == 30 && sum("claims_unreadable_total") >= 1
    });
    assert!(is_held(&bench, &young) && is_held(&bench, &junk));
}
