//! Clients that are refused at the same moment, and when they come back.

mod forward_harness;

use std::time::Duration;

use forward_harness::{Harness, ms, plain_route, replica};
use rosemarybank_query::forward::{Answer, Event, Failure, RetryAfterSchedule, Route};

/// Waits that refused clients of the given ranks are told, while no replica can be reached.
fn refusals(ranks: &[u32]) -> Vec<Duration> {
    let routes =
        (0..3).map(|rank| Route { rank, ..plain_route(&format!("r{rank}"), "s") }).collect();
    let mut harness = Harness::new(routes, vec![replica("r1", "s", "a")]);
    harness.submit("r0");
    harness.fail(0, Failure::Unreachable);
    harness.answers.clear();
    for rank in ranks {
        harness.submit(&format!("r{rank}"));
    }
    let wait = |it: &Answer| match it {
        Answer::Refused { retry_after: Some(wait), .. } => *wait,
        other => panic!("not refused: {other:?}"),
    };
    harness.answers.iter().map(|it| wait(&it.1)).collect()
}

/// Guards against a herd: a replica crashes, and all clients come back at the same moment.
#[test]
fn clients_that_are_refused_together_return_one_after_the_other() {
    let waits = refusals(&[1; 12]);
    assert!(waits[0] >= ms(100), "the replica is not asked again before: {:?}", waits[0]);
    let gaps: Vec<Duration> = waits.windows(2).map(|it| it[1] - it[0]).collect();
    assert!(gaps.iter().all(|it| *it >= ms(20)), "{gaps:?}");
}

/// Guards against urgent clients that are sent behind a herd of others.
#[test]
fn an_urgent_client_does_not_queue_behind_others() {
    let waits = refusals(&[2, 2, 2, 2, 0, 1, 2]);
    assert!(waits[4] < waits[1], "{waits:?}");
    assert!(waits[5] < waits[3], "{waits:?}");
    assert!(waits[6] > waits[3], "{waits:?}");
}

/// The pace at which the service answers is the pace at which clients return.
#[test]
fn a_fast_service_takes_its_clients_back_faster() {
    let spread = |every: u64| {
        let mut schedule = RetryAfterSchedule::default();
        let mut now = ms(0);
        for _ in 0..100 {
            now += ms(every);
            schedule.record_reply(now);
        }
        let first = schedule.next_delay(now, 1, now + ms(100));
        (0..9).map(|_| schedule.next_delay(now, 1, now + ms(100))).last().unwrap() - first
    };
    assert_eq!(spread(2), ms(18));
    assert!(spread(30) > ms(250));
}

/// Guards against waits that grow with each refusal: a client has a limited time.
#[test]
fn no_client_is_told_to_wait_for_longer_than_two_seconds() {
    let waits = refusals(&[1; 200]);
    assert!(waits.iter().all(|it| *it <= ms(2_000)));
}

/// Without a replica on the list, the next list is waited for.
#[test]
fn without_replicas_the_next_list_is_waited_for() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], vec![replica("r1", "s", "a")]);
    harness.handle(Event::Replicas(Vec::new()));
    harness.submit("p");
    let Answer::Refused { retry_after, .. } = harness.only_answer() else { panic!("not refused") };
    assert_eq!(*retry_after, Some(ms(250)));
}
