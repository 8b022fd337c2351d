//! Bursts that exceed the number of requests an instance may have in flight.

mod forward_harness;

use forward_harness::{Harness, gather_route, ms, plain_route, rejected_reply, replica, reply};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Answer, Event, RequestKey, Route};

/// Returns a harness with an urgent, a normal and a low-priority route, whose only replica takes two
/// requests at once from this instance.
fn harness() -> Harness {
    let ranked =
        |name, rank| Route { rank, latency_objective: ms(1_000), ..plain_route(name, "s") };
    let routes = vec![ranked("urgent", 0), ranked("normal", 1), ranked("low", 2)];
    let mut harness = Harness::new(routes, vec![replica("r1", "s", "a")]);
    harness.set_instance_count(20);
    harness
}

/// Returns the routes of the attempts in the order in which they were sent.
fn sent_routes(harness: &Harness, submitted: &[(RequestKey, &'static str)]) -> Vec<&'static str> {
    let name = |key| submitted.iter().find(|it| it.0 == key).expect("it was submitted").1;
    harness.sent.iter().map(|it| name(it.request)).collect()
}

/// Submits a burst while both connections are busy, then replies to one attempt after the other.
/// Returns the routes in the order in which they were sent.
fn run_burst(burst: &[&'static str]) -> Vec<&'static str> {
    let mut harness = harness();
    let mut submitted = Vec::new();
    for name in ["normal", "normal"].iter().chain(burst) {
        submitted.push((harness.submit(name), *name));
        harness.now += ms(1);
    }
    assert_eq!(harness.sent.len(), 2, "two connections are this instance's share");
    let mut answered = 0;
    while answered < harness.sent.len() {
        harness.reply_to(answered, reply(200, "p", b""));
        answered += 1;
    }
    sent_routes(&harness, &submitted)[2..].to_vec()
}

/// Guards against urgent requests that are delayed by a burst of less urgent ones.
#[test]
fn urgent_requests_go_first_and_equal_ranks_in_order() {
    let sent = run_burst(&["low", "normal", "low", "urgent", "normal"]);
    assert_eq!(sent, ["urgent", "normal", "normal", "low", "low"]);
}

/// Guards against starvation of less urgent requests.
#[test]
fn every_eighth_turn_goes_to_the_longest_wait() {
    let mut burst = vec!["low"];
    burst.extend(["urgent"; 20]);
    let sent = run_burst(&burst);
    assert_eq!(sent.iter().position(|it| *it == "low"), Some(7));
}

/// Guards against new requests that overtake queued ones.
#[test]
fn a_new_request_does_not_overtake_queued_ones() {
    let mut harness = harness();
    let mut keys = Vec::new();
    for name in ["normal", "normal", "normal"] {
        keys.push(harness.submit(name));
    }
    harness.reply_to(0, reply(200, "p", b""));
    assert_eq!(
        harness.sent[2].request, keys[2],
        "the freed capacity goes to the queued request at once"
    );
    let waiting = harness.submit("normal");
    let late = harness.submit("normal");
    harness.reply_to(1, reply(200, "p", b""));
    harness.reply_to(2, reply(200, "p", b""));
    let sent: Vec<_> = harness.sent[3..].iter().map(|it| it.request).collect();
    assert_eq!(sent, [waiting, late]);
}

/// Guards against a new request that overtakes queued ones when the backoff of a full replica ends.
#[test]
fn capacity_after_a_backoff_goes_to_queued_requests() {
    let mut harness = harness();
    harness.submit("normal");
    harness.reply_to(0, rejected_reply());
    let waiting = harness.submit("normal");
    assert_eq!(harness.sent.len(), 1, "the replica is full");
    harness.advance(ms(26));
    let new = harness.submit("normal");
    let sent: Vec<_> = harness.sent[1..].iter().map(|it| it.request).collect();
    assert_eq!(sent, [waiting, new]);
}

/// Guards against searches that fail although most of their parts are complete. After a power loss,
/// replicas still counted the connections from before and accepted few new ones. Seen in
/// ratro-links inc-cd0c.
#[test]
fn a_search_waits_for_a_queued_part_as_long_as_for_a_late_one() {
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
    assert_eq!(harness.sent[3].request, search, "the queued part gets the freed capacity");
    harness.reply_to(3, reply(200, "p2", b""));
    let answer = harness.answers.iter().find(|it| it.0 == search).map(|it| &it.1);
    assert!(matches!(answer, Some(Answer::Merged { missing: 0, .. })), "{answer:?}");
}

/// Guards against clients that wait although another instance may have free capacity.
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

/// Guards against queue entries that outlive their request.
#[test]
fn a_disconnected_client_is_removed_from_the_queue() {
    let mut harness = harness();
    for _ in 0..2 {
        harness.submit("normal");
    }
    let gone = harness.submit("urgent");
    let stays = harness.submit("low");
    harness.handle(Event::ClientDisconnected(gone));
    harness.reply_to(0, reply(200, "p", b""));
    assert_eq!(harness.sent[2].request, stays);
}
