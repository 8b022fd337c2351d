//! Bursts that ask for more than an instance may have in flight.

mod forward_harness;

use forward_harness::{Harness, gather_route, ms, plain_route, rejected_reply, replica, reply};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Answer, Event, RequestKey, Route};

/// A harness in which a replica takes two requests of this instance at once, with an urgent route,
/// a usual one and one that can wait.
fn harness() -> Harness {
    let ranked =
        |name, rank| Route { rank, latency_objective: ms(1_000), ..plain_route(name, "s") };
    let routes = vec![ranked("urgent", 0), ranked("usual", 1), ranked("later", 2)];
    let mut harness = Harness::new(routes, vec![replica("r1", "s", "a")]);
    harness.set_instance_count(20);
    harness
}

/// Route of a send, by the order in which requests were submitted.
fn order(harness: &Harness, submitted: &[(RequestKey, &'static str)]) -> Vec<&'static str> {
    let name = |key| submitted.iter().find(|it| it.0 == key).expect("it was submitted").1;
    harness.sent.iter().map(|it| name(it.request)).collect()
}

/// Plays submissions while both connections are busy, then answers one request after the other.
fn play(burst: &[&'static str]) -> Vec<&'static str> {
    let mut harness = harness();
    let mut submitted = Vec::new();
    for name in ["usual", "usual"].iter().chain(burst) {
        submitted.push((harness.submit(name), *name));
        harness.now += ms(1);
    }
    assert_eq!(harness.sent.len(), 2, "two connections are this instance's share");
    let mut answered = 0;
    while answered < harness.sent.len() {
        harness.reply_to(answered, reply(200, "p", b""));
        answered += 1;
    }
    order(&harness, &submitted)[2..].to_vec()
}

/// Guards against a burst of less urgent requests that delays urgent ones.
#[test]
fn the_most_urgent_goes_first_and_equals_go_in_order() {
    let sent = play(&["later", "usual", "later", "urgent", "usual"]);
    assert_eq!(sent, ["urgent", "usual", "usual", "later", "later"]);
}

/// Guards against urgent requests that starve all others.
#[test]
fn the_longest_wait_gets_a_turn_whatever_its_rank() {
    let mut burst = vec!["later"];
    burst.extend(["urgent"; 20]);
    let sent = play(&burst);
    assert_eq!(sent.iter().position(|it| *it == "later"), Some(7));
}

/// Guards against a new request that takes the room for which others have waited.
#[test]
fn a_new_request_does_not_pass_those_that_wait() {
    let mut harness = harness();
    let mut keys = Vec::new();
    for name in ["usual", "usual", "usual"] {
        keys.push(harness.submit(name));
    }
    harness.reply_to(0, reply(200, "p", b""));
    assert_eq!(harness.sent[2].request, keys[2], "the room goes to the one that waits, at once");
    let waiting = harness.submit("usual");
    let late = harness.submit("usual");
    harness.reply_to(1, reply(200, "p", b""));
    harness.reply_to(2, reply(200, "p", b""));
    let sent: Vec<_> = harness.sent[3..].iter().map(|it| it.request).collect();
    assert_eq!(sent, [waiting, late]);
}

/// Guards against a new request that comes at the moment at which a full replica has room again.
#[test]
fn room_that_comes_with_time_goes_to_those_that_wait() {
    let mut harness = harness();
    harness.submit("usual");
    harness.reply_to(0, rejected_reply());
    let waiting = harness.submit("usual");
    assert_eq!(harness.sent.len(), 1, "the replica is full");
    harness.advance(ms(26));
    let new = harness.submit("usual");
    let sent: Vec<_> = harness.sent[1..].iter().map(|it| it.request).collect();
    assert_eq!(sent, [waiting, new]);
}

/// Guards against searches that fail although most of their parts are in, as on ratro-links inc-cd0c:
/// after a power loss replicas still counted the connections of before, and accepted few new ones.
#[test]
fn a_search_waits_for_its_last_part_as_long_as_for_a_late_one() {
    let replicas = vec![replica("r1", "s1", "a"), replica("r2", "s2", "a")];
    let mut harness = Harness::new(
        vec![gather_route("all", &["s1", "s2"], 1.0), plain_route("p", "s2")],
        replicas,
    );
    harness.set_instance_count(20);
    harness.submit("p");
    harness.submit("p");
    let search = harness.submit("all");
    harness.reply_to(2, reply(200, "p1", b""));
    harness.advance(ms(60));
    assert!(harness.answers.is_empty(), "{:?}", harness.answers);
    harness.reply_to(0, reply(200, "p", b""));
    assert_eq!(harness.sent[3].request, search, "the part gets the room");
    harness.reply_to(3, reply(200, "p2", b""));
    let answer = harness.answers.iter().find(|it| it.0 == search).map(|it| &it.1);
    assert!(matches!(answer, Some(Answer::Merged { missing: 0, .. })), "{answer:?}");
}

/// Guards against clients that are kept waiting although another instance may have room.
#[test]
fn a_search_of_which_nothing_was_sent_is_refused_early() {
    let mut harness = Harness::new(
        vec![gather_route("all", &["s1"], 1.0), plain_route("p", "s1")],
        vec![replica("r1", "s1", "a")],
    );
    harness.set_instance_count(20);
    harness.submit("p");
    harness.submit("p");
    let search = harness.submit("all");
    harness.advance(ms(30));
    let answer = harness.answers.iter().find(|it| it.0 == search).map(|it| &it.1);
    let is_refused = matches!(answer, Some(Answer::Refused { kind: ErrorKind::Overloaded, .. }));
    assert!(is_refused, "{answer:?}");
}

/// Guards against a place in the queue that outlives its request.
#[test]
fn a_client_that_leaves_gives_up_its_place() {
    let mut harness = harness();
    for _ in 0..2 {
        harness.submit("usual");
    }
    let gone = harness.submit("urgent");
    let stays = harness.submit("later");
    harness.handle(Event::ClientDisconnected(gone));
    harness.reply_to(0, reply(200, "p", b""));
    assert_eq!(harness.sent[2].request, stays);
}
