//! Bursts that ask for more than an instance may have in flight.

mod forward_world;

use forward_world::{World, gather, ms, not_run, plain, replica, reply};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Answer, Event, RequestKey, Route};

/// A world in which a replica takes two requests of this instance at once, with an urgent route,
/// a usual one and one that can wait.
fn world() -> World {
    let ranked = |name, rank| Route { rank, latency_objective: ms(1_000), ..plain(name, "s") };
    let routes = vec![ranked("urgent", 0), ranked("usual", 1), ranked("later", 2)];
    let mut world = World::new(routes, vec![replica("r1", "s", "a")]);
    world.join(20);
    world
}

/// Route of a send, by the order in which requests were submitted.
fn order(world: &World, submitted: &[(RequestKey, &'static str)]) -> Vec<&'static str> {
    let name = |key| submitted.iter().find(|it| it.0 == key).expect("it was submitted").1;
    world.sent.iter().map(|it| name(it.request)).collect()
}

/// Plays submissions while both connections are busy, then answers one request after the other.
fn play(burst: &[&'static str]) -> Vec<&'static str> {
    let mut world = world();
    let mut submitted = Vec::new();
    for name in ["usual", "usual"].iter().chain(burst) {
        submitted.push((world.submit(name), *name));
        world.now += ms(1);
    }
    assert_eq!(world.sent.len(), 2, "two connections are this instance's share");
    let mut answered = 0;
    while answered < world.sent.len() {
        world.replies(answered, reply(200, "p", b""));
        answered += 1;
    }
    order(&world, &submitted)[2..].to_vec()
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
    let mut world = world();
    let mut keys = Vec::new();
    for name in ["usual", "usual", "usual"] {
        keys.push(world.submit(name));
    }
    world.replies(0, reply(200, "p", b""));
    assert_eq!(world.sent[2].request, keys[2], "the room goes to the one that waits, at once");
    let waiting = world.submit("usual");
    let late = world.submit("usual");
    world.replies(1, reply(200, "p", b""));
    world.replies(2, reply(200, "p", b""));
    let sent: Vec<_> = world.sent[3..].iter().map(|it| it.request).collect();
    assert_eq!(sent, [waiting, late]);
}

/// Guards against a new request that comes at the moment at which a full replica has room again.
#[test]
fn room_that_comes_with_time_goes_to_those_that_wait() {
    let mut world = world();
    world.submit("usual");
    world.replies(0, not_run());
    let waiting = world.submit("usual");
    assert_eq!(world.sent.len(), 1, "the replica is full");
    world.pass(ms(26));
    let new = world.submit("usual");
    let sent: Vec<_> = world.sent[1..].iter().map(|it| it.request).collect();
    assert_eq!(sent, [waiting, new]);
}

/// Guards against searches that fail although most of their parts are in, as on ratro-links inc-cd0c:
/// after a power loss replicas still counted the connections of before, and accepted few new ones.
#[test]
fn a_search_waits_for_its_last_part_as_long_as_for_a_late_one() {
    let replicas = vec![replica("r1", "s1", "a"), replica("r2", "s2", "a")];
    let mut world = World::new(vec![gather("all", &["s1", "s2"], 1.0), plain("p", "s2")], replicas);
    world.join(20);
    world.submit("p");
    world.submit("p");
    let search = world.submit("all");
    world.replies(2, reply(200, "p1", b""));
    world.pass(ms(60));
    assert!(world.answers.is_empty(), "{:?}", world.answers);
    world.replies(0, reply(200, "p", b""));
    assert_eq!(world.sent[3].request, search, "the part gets the room");
    world.replies(3, reply(200, "p2", b""));
    let answer = world.answers.iter().find(|it| it.0 == search).map(|it| &it.1);
    assert!(matches!(answer, Some(Answer::Merged { missing: 0, .. })), "{answer:?}");
}

/// Guards against clients that are kept waiting although another instance may have room.
#[test]
fn a_search_of_which_nothing_was_sent_is_refused_early() {
    let mut world = World::new(
        vec![gather("all", &["s1"], 1.0), plain("p", "s1")],
        vec![replica("r1", "s1", "a")],
    );
    world.join(20);
    world.submit("p");
    world.submit("p");
    let search = world.submit("all");
    world.pass(ms(30));
    let answer = world.answers.iter().find(|it| it.0 == search).map(|it| &it.1);
    let is_refused = matches!(answer, Some(Answer::Refused { kind: ErrorKind::Overloaded, .. }));
    assert!(is_refused, "{answer:?}");
}

/// Guards against a place in the queue that outlives its request.
#[test]
fn a_client_that_leaves_gives_up_its_place() {
    let mut world = world();
    for _ in 0..2 {
        world.submit("usual");
    }
    let gone = world.submit("urgent");
    let stays = world.submit("later");
    world.event(Event::ClientDisconnected(gone));
    world.replies(0, reply(200, "p", b""));
    assert_eq!(world.sent[2].request, stays);
}
