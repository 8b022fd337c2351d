//! Garbage collection of old claims in the store.

mod common;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::{Instance, TestEnv, eventually, free_addrs};
use http::Method;

/// Age at which a claim is deleted.
const MIN_AGE: Duration = Duration::from_secs(48 * 3_600);
/// Age beyond `MIN_AGE` of the oldest claims that a newly started collector looks for.
const LOOK_BACK: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Returns the path of a claim whose key was generated `age` ago and ends with `suffix`.
fn claim_path(age: Duration, suffix: &str) -> String {
    let created = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - age;
    let ms = created.as_millis();
    format!("claims/desk/{:08x}-{:04x}{suffix}", ms >> 16, ms & 0xffff)
}

fn is_stored(env: &TestEnv, path: &str) -> bool {
    let reply = env.send(Method::GET, env.platform, &format!("/objects/{path}"), &[], "");
    reply.status().is_success()
}

fn counter_value(env: &TestEnv, instance: &Instance, metric: &str) -> u64 {
    let reply = env.send(Method::GET, instance.daemon.admin_addr, "/metrics", &[], "");
    let text = String::from_utf8_lossy(reply.body()).into_owned();
    let value = text.lines().find_map(|it| it.strip_prefix(&format!("rosemarybank_{metric} ")));
    value.map_or(0, |it| it.parse().unwrap())
}

/// Guards against old claims that are never deleted, against deleting recent claims or other
/// objects, and against two instances that interfere with each other.
#[test]
fn old_claims_are_deleted() {
    let env = TestEnv::start();
    // A new collector starts with the oldest claims that it looks for.
    let age = MIN_AGE + LOOK_BACK - Duration::from_secs(200);
    let key_suffix = |n: u32| format!("-7abc-8def-{n:012x}");
    let old: Vec<_> = (0..30).map(|n| claim_path(age, &key_suffix(n))).collect();
    let recent = claim_path(MIN_AGE - Duration::from_secs(60), &key_suffix(0));
    let invalid = claim_path(MIN_AGE + LOOK_BACK - Duration::from_secs(200), "-no-key");
    for path in old.iter().chain([&recent, &invalid]) {
        env.put(path, r#"{"any":"content"}"#.to_owned());
    }
    let addrs = free_addrs(2);
    let start = |n: usize| {
        let name = format!("entry-{n}");
        env.start_unready_instance(&name, &addrs[n].to_string(), &[addrs[1 - n]])
    };
    let fleet = [start(0), start(1)];
    eventually("the old claims are deleted", || !old.iter().any(|it| is_stored(&env, it)));
    eventually("the deletions and the invalid path are counted", || {
        let sum = |metric| fleet.iter().map(|it| counter_value(&env, it, metric)).sum::<u64>();
        sum("claims_deleted_total") == 30 && sum("claims_unreadable_total") >= 1
    });
    assert!(is_stored(&env, &recent) && is_stored(&env, &invalid));
}
