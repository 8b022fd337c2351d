//! `Retry-After` times of clients that are refused at the same moment.

mod forward_harness;

use std::time::Duration;

use forward_harness::{Harness, ms, plain_route, replica};
use rosemarybank_query::forward::{Answer, Event, Failure, RetryAfterSchedule, Route};

/// Returns the `Retry-After` times of refused clients with the given ranks while no replica is
/// reachable.
fn retry_after_times(ranks: &[u32]) -> Vec<Duration> {
    let routes =
        (0..3).map(|rank| Route { rank, ..plain_route(&format!("r{rank}"), "s") }).collect();
    let mut harness = Harness::new(routes, vec![replica("r1", "s", "a")]);
    harness.submit("r0");
    harness.fail(0, Failure::Unreachable);
    harness.answers.clear();
    for rank in ranks {
        harness.submit(&format!("r{rank}"));
    }
    let delay = |it: &Answer| match it {
        Answer::Refused { retry_after: Some(delay), .. } => *delay,
        other => panic!("not refused: {other:?}"),
    };
    harness.answers.iter().map(|it| delay(&it.1)).collect()
}

/// Guards against a thundering herd: a replica crashes and all refused clients return at the same
/// moment.
#[test]
fn clients_that_are_refused_together_return_one_after_the_other() {
    let delays = retry_after_times(&[1; 12]);
    assert!(delays[0] >= ms(100), "the replica is not available earlier: {:?}", delays[0]);
    let gaps: Vec<Duration> = delays.windows(2).map(|it| it[1] - it[0]).collect();
    assert!(gaps.iter().all(|it| *it >= ms(20)), "{gaps:?}");
}

/// Guards against urgent clients that are scheduled behind many less urgent ones.
#[test]
fn an_urgent_client_does_not_queue_behind_others() {
    let delays = retry_after_times(&[2, 2, 2, 2, 0, 1, 2]);
    assert!(delays[4] < delays[1], "{delays:?}");
    assert!(delays[5] < delays[3], "{delays:?}");
    assert!(delays[6] > delays[3], "{delays:?}");
}

/// Refused clients return at the rate at which the service replies.
#[test]
fn clients_of_a_fast_service_return_sooner() {
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

/// Guards against a `Retry-After` that grows with each refusal, because clients have limited time.
#[test]
fn retry_after_is_at_most_two_seconds() {
    let delays = retry_after_times(&[1; 200]);
    assert!(delays.iter().all(|it| *it <= ms(2_000)));
}

/// Without a known replica, clients return after the next read of the replica list.
#[test]
fn without_replicas_clients_return_after_the_next_list() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], vec![replica("r1", "s", "a")]);
    harness.handle(Event::Replicas(Vec::new()));
    harness.submit("p");
    let Answer::Refused { retry_after, .. } = harness.only_answer() else { panic!("not refused") };
    assert_eq!(*retry_after, Some(ms(250)));
}
