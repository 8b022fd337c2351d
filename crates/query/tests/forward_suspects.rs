//! Requests that crash the replicas that run them.

mod forward_world;

use forward_world::{World, ms, plain, replica, reply};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Answer, Event, Failure};

const POISON: Fingerprint = 7;

fn world() -> World {
    let replicas = (0..6).map(|it| replica(&format!("r{it}"), "s", "a")).collect();
    World::new(vec![plain("p", "s")], replicas)
}

/// Sends the request and breaks every connection that carries it.
fn crash(world: &mut World) {
    let first = world.sent.len();
    world.submit("p");
    let mut index = first;
    while index < world.sent.len() {
        world.confirm(index);
        world.now += ms(1);
        world.fails(index, Failure::Broken);
        index += 1;
    }
}

/// Finds replicas unreachable whose connections broke, the last one first.
fn find_unreachable(world: &mut World) {
    for replica in std::mem::take(&mut world.reopened).into_iter().rev() {
        world.event(Event::Unreachable(replica));
    }
}

#[test]
fn a_request_that_crashes_two_replicas_is_refused() {
    let mut world = world();
    world.fingerprint = POISON;
    crash(&mut world);
    assert_eq!(world.reopened.len(), 2);
    find_unreachable(&mut world);
    assert_eq!(world.condemned, [POISON]);
    let sends = world.sent.len();
    let submission = world.submission("p");
    let answer = world.forwarder.submit(world.now, &submission, &mut Vec::new());
    assert!(matches!(answer, Err(Answer::Refused { kind: ErrorKind::Quarantined, .. })));
    assert_eq!(world.sent.len(), sends);
}

/// Replicas that lose replies stay reachable; their requests are innocent.
#[test]
fn lost_replies_condemn_nobody() {
    let mut world = world();
    world.fingerprint = POISON;
    for _ in 0..5 {
        crash(&mut world);
        world.pass(ms(20));
    }
    assert_eq!(world.condemned, [0; 0]);
}

/// A request that was in flight beside the crash succeeds at another replica.
#[test]
fn a_success_clears_a_suspicion() {
    let mut world = world();
    world.fingerprint = POISON;
    world.submit("p");
    world.confirm(0);
    world.fails(0, Failure::Broken);
    find_unreachable(&mut world);
    world.replies(1, reply(200, "proof", b""));
    let next = world.sent.len();
    world.submit("p");
    world.replies(next, reply(200, "proof", b""));
    world.submit("p");
    world.confirm(next + 1);
    world.fails(next + 1, Failure::Broken);
    find_unreachable(&mut world);
    assert_eq!(world.condemned, [0; 0]);
}

/// Each instance sees its own part of the crashes only.
#[test]
fn what_another_instance_condemned_is_refused() {
    let mut world = world();
    world.event(Event::PeerQuarantined(POISON, ms(30_000)));
    world.fingerprint = POISON;
    let submission = world.submission("p");
    assert!(world.forwarder.submit(world.now, &submission, &mut Vec::new()).is_err());
    let left: Vec<_> = world.forwarder.quarantined(world.now).collect();
    assert_eq!(left, [(POISON, ms(30_000))]);
    world.now += ms(30_001);
    assert!(world.forwarder.submit(world.now, &submission, &mut Vec::new()).is_ok());
}
