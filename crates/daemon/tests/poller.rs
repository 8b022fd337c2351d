//! Pollers of the store, driven by replies made in the test.

use std::time::Duration;

use rosemarybank_coordination::source::{Member, Start};
use rosemarybank_daemon::platform::poller::{Poller, Resource, Update};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Directory, ReplicaState, directory::Change};
use rosemarybank_standins::platform_mode::{Caller, Store};
use serde_json::json;

fn ms(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn own_member() -> Member {
    Member {
        id: "m".into(),
        addr: "10.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        millicores: 250,
    }
}

fn poller(resource: Resource) -> Poller {
    Poller::new(resource, own_member(), Start::First)
}

fn target(poller: &mut Poller, now: Time) -> String {
    poller.next_call(now).expect("a call is due").call.target.to_string()
}

const REPLICA: &str = r#"{"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"sequence":1}"#;

const CONFIG_CHANGE: &str = r#"{"events":[{"object":{"meta":{"name":"main"},"spec":{"version":8,
    "routes":[],"services":[],"limits":{"max_header_bytes":1024,"max_body_bytes":1000,
    "header_timeout_ms":3000,"idle_timeout_ms":15000}}}}],"at":7}"#;

#[test]
fn a_list_is_read_page_by_page_and_followed_by_changes() {
    let mut poller = poller(Resource::Replicas);
    assert_eq!(target(&mut poller, ms(0)), "/-/objects/servers");
    let first = format!(
        r#"{{"items":[{{"meta":{{"name":"i1"}},"spec":{REPLICA}}}],"has_more":true,"at":5}}"#
    );
    assert!(poller.handle_reply(ms(1), 200, first.as_bytes()).is_empty());
    assert_eq!(target(&mut poller, ms(1)), "/-/objects/servers?after=i1");
    let second = r#"{"items":[{"meta":{"name":"odd"},"spec":"text"}],"has_more":false,"at":6}"#;
    let updates = poller.handle_reply(ms(2), 200, second.as_bytes());
    assert!(matches!(&updates[0], Update::Invalid(name, _) if name == "odd"));
    assert!(matches!(&updates[1], Update::ReplicaList(list) if list.len() == 1));
    assert!(poller.next_call(ms(100)).is_none(), "polls are limited by their interval");
    // Later changes of the entries on the first page are in no page.
    assert_eq!(target(&mut poller, ms(800)), "/-/objects/servers?watch=5&wait_ms=0");
    let deleted = r#"{"events":[{"deleted":true,"object":{"meta":{"name":"i1"}}}],"at":9}"#;
    let updates = poller.handle_reply(ms(801), 200, deleted.as_bytes());
    assert!(
        matches!(&updates[0], Update::ReplicaChanges(it) if *it == [Change::Absent("i1".into())])
    );
}

/// Guards against requests to replicas that have left: each page of a list is read at a revision of its
/// own, and the watch began at the last one. A replica on the first page that began to drain before the
/// last page was read stayed in use until it was gone.
#[test]
fn changes_between_the_pages_of_a_list_are_seen() {
    let store = Store::start().unwrap();
    let register = |name: &str, state: &str| {
        let spec = json!({
            "service": "s", "address": "10.0.0.9:80", "zone": "a", "version": "v1", "slots": 2,
            "state": state, "cold_remaining_ms": 0, "sequence": 1,
        });
        store.put("servers", name, spec);
    };
    for number in 0..45 {
        register(&format!("i{number:02}"), "ready");
    }
    let mut poller = poller(Resource::Replicas);
    let mut directory = Directory::new(ms(1_000));
    let mut pages = 0;
    for now in (0..5_000).step_by(50).map(ms) {
        let Some(timed) = poller.next_call(now) else { continue };
        let mut caller = Caller::connect(store.addr()).unwrap();
        let reply = caller.call("GET", &timed.call.target, "", 1_000).unwrap();
        for update in poller.handle_reply(now, reply.status(), &reply.body) {
            match update {
                Update::ReplicaList(list) => directory.replace(now, list),
                Update::ReplicaChanges(changes) => directory.apply_all(now, changes),
                other => panic!("{other:?}"),
            }
        }
        pages += 1;
        if pages == 2 {
            register("i00", "draining");
            register("i01x", "ready");
            store.remove("servers", "i02");
        }
    }
    let replicas = directory.usable_replicas();
    let find = |id: &str| replicas.iter().find(|it| it.id == id).map(|it| it.state);
    assert_eq!(find("i00"), Some(ReplicaState::Draining));
    assert_eq!(find("i01x"), Some(ReplicaState::Ready));
    assert_eq!(find("i02"), None);
    assert_eq!(replicas.len(), 45);
}

/// Guards against followers that take an old list for a new one: the age of the list is that of its
/// first page, and a reply without content makes no list newer.
#[test]
fn a_read_counts_from_the_first_page_and_only_with_content() {
    let mut poller = poller(Resource::Replicas);
    let page = |name: &str, has_more: bool| {
        format!(
            r#"{{"items":[{{"meta":{{"name":"{name}"}},"spec":{REPLICA}}}],"has_more":{has_more},"at":5}}"#
        )
    };
    target(&mut poller, ms(10));
    poller.handle_reply(ms(20), 200, page("i1", true).as_bytes());
    assert_eq!(poller.read_at(), None, "the list is not complete");
    target(&mut poller, ms(3_000));
    poller.handle_reply(ms(3_010), 200, page("i2", false).as_bytes());
    assert_eq!(poller.read_at(), Some(ms(10)));
    target(&mut poller, ms(4_000));
    poller.handle_reply(ms(4_010), 200, br#"{"events":[],"at":6}"#);
    assert_eq!(poller.read_at(), Some(ms(4_000)));
    target(&mut poller, ms(5_000));
    poller.handle_reply(ms(5_010), 410, b"{}");
    assert_eq!(poller.read_at(), Some(ms(4_000)), "410 has no changes");
}

/// The store may compact its history. A watch from a compacted revision gets 410, and the poller
/// lists again.
#[test]
fn a_compacted_history_causes_a_new_list() {
    let mut poller = poller(Resource::Config);
    target(&mut poller, ms(0));
    poller.handle_reply(ms(1), 200, br#"{"items":[],"at":5}"#);
    assert_eq!(target(&mut poller, ms(2)), "/-/objects/config?watch=5&wait_ms=2500");
    poller.handle_reply(ms(3), 410, b"{}");
    assert_eq!(target(&mut poller, ms(3)), "/-/objects/config");
}

/// Guards against discarding the reply to a watch that was in flight during a suspension. An instance
/// whose sources were cut off one after the other was suspended and resumed every 1.5 s; each time the
/// watch was replaced by a list that had to wait for it, and the reply with the new configuration was
/// discarded. Seen in ratro-links trouble-3 --seed 757980887202.
#[test]
fn a_watch_in_flight_goes_on_after_a_suspension() {
    let mut poller = poller(Resource::Config);
    target(&mut poller, ms(0));
    poller.handle_reply(ms(1), 200, br#"{"items":[],"at":5}"#);
    target(&mut poller, ms(2));
    poller.suspend();
    poller.resume(ms(3));
    let updates = poller.handle_reply(ms(4), 200, CONFIG_CHANGE.as_bytes());
    assert!(matches!(&updates[..], [Update::Config(table, _)] if table.version == 8));
    assert_eq!(target(&mut poller, ms(4)), "/-/objects/config?watch=7&wait_ms=2500");
    // Without a call in flight, the poller starts with a list.
    poller.call_failed(ms(5));
    poller.suspend();
    poller.resume(ms(6));
    assert_eq!(target(&mut poller, ms(6)), "/-/objects/config");
}

/// Counts the calls within 5 s when `end` ends each of them.
fn calls_in_5_s(poller: &mut Poller, end: impl Fn(&mut Poller, Time)) -> usize {
    let mut calls = 0;
    for now in (0..5_000).step_by(10).map(ms) {
        if poller.next_call(now).is_some() {
            calls += 1;
            end(poller, now);
        }
    }
    calls
}

/// Guards against a second without service after all instances lost power: with the backoff of a
/// running instance, a store that was back after 0.3 s was called again after 0.6 to 0.9 s.
#[test]
fn backoff_is_short_until_the_first_success_unless_calls_are_rejected() {
    let unanswered =
        calls_in_5_s(&mut poller(Resource::Config), |poller, now| poller.call_failed(now));
    assert!((30..=50).contains(&unanswered), "{unanswered} calls in 5 s");
    let rejected = calls_in_5_s(&mut poller(Resource::Config), |poller, now| {
        poller.handle_reply(now, 429, b"{}");
    });
    assert!((5..=10).contains(&rejected), "{rejected} calls in 5 s");
}

/// Calls back off while the store is unreachable. After its recovery, changes are fetched at the
/// shorter recovery interval.
#[test]
fn failures_back_off_and_recovery_shortens_the_interval() {
    let mut poller = poller(Resource::Replicas);
    target(&mut poller, ms(0));
    poller.handle_reply(ms(0), 200, br#"{"items":[],"at":5}"#);
    let calls = calls_in_5_s(&mut poller, |poller, now| poller.call_failed(now));
    assert!((5..=10).contains(&calls), "{calls} calls in 5 s");
    let mut now = ms(5_000);
    while poller.next_call(now).is_none() {
        now += ms(10);
    }
    poller.handle_reply(now, 200, br#"{"events":[],"at":6}"#);
    assert!(poller.next_call(now + ms(250)).is_some(), "replicas register within two seconds");
}

#[test]
fn a_suspended_poller_makes_no_calls() {
    let mut poller = poller(Resource::Replicas);
    poller.suspend();
    assert!(poller.next_call(ms(10_000)).is_none());
    poller.resume(ms(10_000));
    assert!(poller.next_call(ms(10_000)).is_some());
}

/// An instance that restarts finds its registration in place, and the store replies with 409.
#[test]
fn an_existing_registration_is_accepted() {
    let mut poller = poller(Resource::Instances);
    let call = poller.next_call(ms(0)).unwrap().call;
    assert_eq!((call.method, call.target.as_str()), ("POST", "/-/objects/rosemarybank-instances"));
    poller.handle_reply(ms(1), 409, b"{}");
    assert!(poller.next_call(ms(600)).is_none(), "the others register at the same time");
    assert_eq!(target(&mut poller, ms(601)), "/-/objects/rosemarybank-instances?allow_stale=1");
}

/// An instance that restarts is usually still registered, and then makes no other call than a list. It
/// registers when the list lacks it, and replaces a registration with another address.
#[test]
fn a_restarted_instance_writes_its_registration_only_if_needed() {
    let own = r#"{"id":"m","addr":"10.0.0.1:1","data_centre":"a","millicores":250}"#;
    let moved = own.replace("10.0.0.1", "10.0.0.7");
    let cases = [
        (format!(r#"[{{"meta":{{"name":"m"}},"spec":{own}}}]"#), None),
        ("[]".to_owned(), Some(("POST", "/-/objects/rosemarybank-instances"))),
        (
            format!(r#"[{{"meta":{{"name":"m"}},"spec":{moved}}}]"#),
            Some(("PUT", "/-/objects/rosemarybank-instances/m")),
        ),
    ];
    for (items, expected) in cases {
        let mut poller = Poller::new(Resource::Instances, own_member(), Start::Later);
        assert_eq!(target(&mut poller, ms(0)), "/-/objects/rosemarybank-instances?allow_stale=1");
        let reply = format!(r#"{{"items":{items},"at":5}}"#);
        poller.handle_reply(ms(5), 200, reply.as_bytes());
        let call = poller.next_call(ms(5)).map(|it| it.call);
        let call = call.as_ref().map(|it| (it.method, it.target.as_str()));
        assert_eq!(call, expected, "{items}");
    }
}

/// Guards against an instance that is not registered any more and never notices: its restart deleted
/// the registration, but a list that was seconds old still had it. A list that may be older than the
/// registration is no reason to write it again.
#[test]
fn a_lost_registration_is_written_again() {
    let mut poller = Poller::new(Resource::Instances, own_member(), Start::Later);
    let empty = br#"{"items":[],"at":5}"#;
    target(&mut poller, ms(0));
    poller.handle_reply(ms(5), 200, empty);
    assert_eq!(poller.next_call(ms(5)).unwrap().call.method, "POST");
    poller.handle_reply(ms(9), 201, b"{}");
    let mut writes = Vec::new();
    for now in (10..30_000).step_by(10).map(ms) {
        let Some(timed) = poller.next_call(now) else { continue };
        match timed.call.method {
            "GET" => poller.handle_reply(now, 200, empty),
            _ => {
                writes.push(now);
                poller.handle_reply(now, 201, b"{}")
            }
        };
    }
    assert!(writes[0] >= ms(5_009), "{writes:?}");
    assert!((2..=5).contains(&writes.len()), "{writes:?}");
}
