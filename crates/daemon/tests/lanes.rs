//! The calls to the store, driven by hand.

use std::time::Duration;

use rosemarybank_coordination::source::Member;
use rosemarybank_daemon::platform::lanes::{Lane, News, Subject};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::directory::Change;

fn ms(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn lane(subject: Subject) -> Lane {
    let own = Member {
        id: "m".into(),
        addr: "10.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        millicores: 250,
    };
    Lane::new(subject, own)
}

fn target(lane: &mut Lane, now: Time) -> String {
    lane.next_call(now).expect("a call is due").call.target.to_string()
}

const REPLICA: &str =
    r#"{"service":"s","address":"10.0.0.9:80","zone":"a","slots":2,"state":"ready"}"#;

#[test]
fn pages_are_collected_and_then_changes_are_fetched() {
    let mut lane = lane(Subject::Replicas);
    assert_eq!(target(&mut lane, ms(0)), "/-/objects/servers");
    let first = format!(
        r#"{{"items":[{{"meta":{{"name":"i1"}},"spec":{REPLICA}}}],"has_more":true,"at":5}}"#
    );
    assert!(lane.replied(ms(1), 200, first.as_bytes()).is_empty());
    assert_eq!(target(&mut lane, ms(1)), "/-/objects/servers?after=i1");
    let second = r#"{"items":[{"meta":{"name":"odd"},"spec":"text"}],"has_more":false,"at":6}"#;
    let news = lane.replied(ms(2), 200, second.as_bytes());
    assert!(matches!(&news[0], News::Unusable(name, _) if name == "odd"));
    assert!(matches!(&news[1], News::ReplicaList(list) if list.len() == 1));
    assert!(lane.next_call(ms(100)).is_none(), "each look is priced");
    assert_eq!(target(&mut lane, ms(800)), "/-/objects/servers?watch=6&wait_ms=0");
    let gone = r#"{"events":[{"deleted":true,"object":{"meta":{"name":"i1"}}}],"at":9}"#;
    let news = lane.replied(ms(801), 200, gone.as_bytes());
    assert!(matches!(&news[0], News::ReplicaChanges(it) if *it == [Change::Absent("i1".into())]));
}

/// The store may forget its history; the lane then begins with a list.
#[test]
fn a_forgotten_history_begins_with_a_list() {
    let mut lane = lane(Subject::Config);
    target(&mut lane, ms(0));
    lane.replied(ms(1), 200, br#"{"items":[],"at":5}"#);
    assert_eq!(target(&mut lane, ms(2)), "/-/objects/config?watch=5&wait_ms=2500");
    lane.replied(ms(3), 410, b"{}");
    assert_eq!(target(&mut lane, ms(3)), "/-/objects/config");
}

/// Guards against a fault of the first measured run: the reply of a watch that was open when the
/// lane began anew was read as a list.
#[test]
fn a_reply_to_an_older_call_is_ignored() {
    let mut lane = lane(Subject::Config);
    target(&mut lane, ms(0));
    lane.replied(ms(1), 200, br#"{"items":[],"at":5}"#);
    target(&mut lane, ms(2));
    lane.suspend();
    lane.resume(ms(3));
    assert!(lane.replied(ms(4), 200, br#"{"events":[],"at":7}"#).is_empty());
    assert!(!lane.has_failed());
    assert_eq!(target(&mut lane, ms(4)), "/-/objects/config");
}

/// Calls of a lane, each of which ends in the same way.
fn calls_in_5_s(lane: &mut Lane, end: impl Fn(&mut Lane, Time)) -> usize {
    let mut calls = 0;
    for now in (0..5_000).step_by(10).map(ms) {
        if lane.next_call(now).is_some() {
            calls += 1;
            end(lane, now);
        }
    }
    calls
}

/// Guards against a second without service after a power loss of all instances, as on kspoon-search
/// fresh-033d: the store was back after 0.3 s and was asked again after 0.6 to 0.9 s.
#[test]
fn an_instance_that_knows_nothing_asks_often() {
    let silent = calls_in_5_s(&mut lane(Subject::Config), |lane, now| lane.failed(now));
    assert!((30..=50).contains(&silent), "{silent} calls in 5 s");
    let refused = calls_in_5_s(&mut lane(Subject::Config), |lane, now| {
        lane.replied(now, 429, b"{}");
    });
    assert!((5..=10).contains(&refused), "{refused} calls in 5 s");
}

/// While the store is away it is asked at growing intervals, and soon again after its return.
#[test]
fn failures_back_off_and_the_return_is_looked_at_closely() {
    let mut lane = lane(Subject::Replicas);
    target(&mut lane, ms(0));
    lane.replied(ms(0), 200, br#"{"items":[],"at":5}"#);
    let calls = calls_in_5_s(&mut lane, |lane, now| lane.failed(now));
    assert!((5..=10).contains(&calls), "{calls} calls in 5 s");
    let mut now = ms(5_000);
    while lane.next_call(now).is_none() {
        now += ms(10);
    }
    lane.replied(now, 200, br#"{"events":[],"at":6}"#);
    assert!(lane.next_call(now + ms(250)).is_some(), "replicas register within two seconds");
}

#[test]
fn a_suspended_lane_makes_no_calls() {
    let mut lane = lane(Subject::Replicas);
    lane.suspend();
    assert!(lane.next_call(ms(10_000)).is_none());
    lane.resume(ms(10_000));
    assert!(lane.next_call(ms(10_000)).is_some());
}

/// An instance that registered in an earlier lifetime is registered.
#[test]
fn an_instance_registers_once() {
    let mut lane = lane(Subject::Instances);
    let call = lane.next_call(ms(0)).unwrap().call;
    assert_eq!((call.method, call.target.as_str()), ("POST", "/-/objects/rosemarybank-instances"));
    lane.replied(ms(1), 409, b"{}");
    assert_eq!(target(&mut lane, ms(1)), "/-/objects/rosemarybank-instances?allow_stale=1");
}
