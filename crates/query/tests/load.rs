//! Hedging, budgets and admission control.

mod common;

use common::*;
use rosemarybank_protocol::{prelude::*, upstream::UpstreamErrorKind};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, AttemptOutcome, Event, Send, SendKind, Submission},
};

/// Runs `count` queries that take 5 ms each, so that the latency estimates are set. Returns the end
/// time.
fn warm_up(engine: &mut Engine, count: u64) -> Time {
    for query in 0..count {
        let now = ms(10 * query);
        let out = feed(engine, now, Event::Submit(submission(1_000_000 + query, now + ms(900))));
        for send in sends(&out) {
            feed(engine, now + ms(5), done(send.attempt, reply(&send)));
        }
    }
    ms(10 * count)
}

fn hedges(engine: &mut Engine, until: Time) -> Vec<Send> {
    let mut all = Vec::new();
    while let Some(at) = engine.next_wakeup().filter(|it| *it <= until) {
        all.extend(sends(&feed(engine, at, Event::Tick)));
    }
    assert!(all.iter().all(|it| it.kind == SendKind::Hedge));
    all
}

fn refused(error: UpstreamErrorKind) -> AttemptOutcome {
    AttemptOutcome::Refused { error, snapshots: Vec::new() }
}

/// Guards against waiting for a slow replica, and against an overtaken attempt that is not
/// cancelled.
#[test]
fn a_late_attempt_is_hedged_and_cancelled() {
    let mut engine = engine(settings(), 1, 3);
    let now = warm_up(&mut engine, 200);
    let first = sends(&feed(&mut engine, now, Event::Submit(submission(1, now + ms(900)))));
    let hedge = hedges(&mut engine, now + ms(50));
    assert_eq!(hedge.len(), 1);
    assert_ne!(hedge[0].replica, first[0].replica);
    let out = feed(&mut engine, now + ms(50), done(hedge[0].attempt, reply(&hedge[0])));
    assert!(out.contains(&Action::Cancel { attempt: first[0].attempt }));
    assert!(answer(&out).unwrap().unwrap().coverage.is_complete());
}

/// Guards against hedges that add to an overload, and against treating one slow replica with a full
/// queue as an overload. Two replicas that shed are an overload, one is not.
#[test]
fn nothing_is_hedged_when_two_replicas_shed() {
    for shedding in [1, 2] {
        let mut engine = engine(settings(), 1, 3);
        let now = warm_up(&mut engine, 200);
        let mut out = feed(&mut engine, now, Event::Submit(submission(1, now + ms(900))));
        for _ in 0..shedding {
            let send = sends(&out).remove(0);
            let shed = refused(UpstreamErrorKind::Shed);
            out = feed(&mut engine, now, done(send.attempt, shed));
        }
        assert_eq!(sends(&out).len(), 1);
        let others = 3 - shedding - 1;
        assert_eq!(hedges(&mut engine, now + ms(500)).len(), others, "{shedding} shed");
    }
    let mut engine = engine(settings(), 1, 4);
    let now = warm_up(&mut engine, 200);
    let mut out = feed(&mut engine, now, Event::Submit(submission(1, now + ms(900))));
    for _ in 0..2 {
        let send = sends(&out).remove(0);
        out = feed(&mut engine, now, done(send.attempt, refused(UpstreamErrorKind::Shed)));
    }
    assert_eq!(hedges(&mut engine, now + ms(500)), []);
}

/// Guards against hedges beyond the budget of 5% of the first attempts.
#[test]
fn nothing_is_hedged_without_budget() {
    let mut engine = engine(settings(), 1, 3);
    let now = warm_up(&mut engine, 15);
    feed(&mut engine, now, Event::Submit(submission(1, now + ms(900))));
    assert_eq!(hedges(&mut engine, now + ms(500)), []);
}

/// Guards against a retry storm: the budget is 20 plus 10% of the first attempts.
#[test]
fn retries_stop_when_the_budget_is_used_up() {
    let mut engine = engine(settings(), 1, 3);
    for query in 0..100 {
        let now = ms(query);
        let mut out = feed(&mut engine, now, Event::Submit(submission(query, now + ms(100))));
        while let Some(send) = sends(&out).first() {
            out = feed(&mut engine, now, done(send.attempt, refused(UpstreamErrorKind::Failed)));
        }
    }
    let counters = engine.counters();
    assert_eq!(counters.first_sends, 100);
    assert_eq!(counters.retries, 20 + 10 - 1, "the bucket is full before the first failure");
}

/// Guards against low-priority queries that overtake others, and against priority classes that
/// starve.
#[test]
fn the_queue_is_ordered_by_priority_with_a_guaranteed_share() {
    let mut engine = engine(settings(), 1, 3);
    let class = |it: u64| Priority::ALL[it as usize % 3];
    let mut running = Vec::new();
    let mut started = Vec::new();
    for query in 0..240 {
        let submission = Submission { priority: class(query), ..submission(query, ms(60_000)) };
        running.extend(sends(&feed(&mut engine, ms(1), Event::Submit(submission))));
    }
    let first = running.len();
    assert!(engine.queries_queued() > 200);
    // Each completed query lets queued queries start.
    for step in 0..80 {
        let send = running.remove(0);
        let out = feed(&mut engine, ms(2 + step), done(send.attempt, reply(&send)));
        started.extend(sends(&out));
        running.extend(sends(&out));
    }
    let started_of = |it: Priority| started.iter().filter(|send| class(send.query) == it).count();
    let (critical, low) = (started_of(Priority::Critical), started_of(Priority::Low));
    assert!(critical > started.len() / 2, "{critical} of {}, {first} first", started.len());
    assert!(low >= started.len() / 25, "{low} of {}", started.len());
}

/// Guards against an unbounded queue, and against shedding a higher priority class in favour of a
/// lower one.
#[test]
fn a_full_queue_sheds_the_lowest_class() {
    let mut engine = engine(settings(), 1, 3);
    let submit = |engine: &mut Engine, query, priority| {
        let submission = Submission { priority, ..submission(query, ms(60_000)) };
        feed(engine, ms(1), Event::Submit(submission))
    };
    for query in 0..264 {
        submit(&mut engine, query, Priority::Low);
    }
    assert_eq!(engine.queries_queued(), 256);
    let out = submit(&mut engine, 1_000, Priority::Low);
    let refusal = answer(&out).unwrap().unwrap_err();
    assert_eq!((refusal.kind, refusal.execution), (ErrorKind::Overloaded, Execution::NotRun));
    let out = submit(&mut engine, 1_001, Priority::Critical);
    assert!(matches!(&out[..], [Action::Answer { query, .. }] if *query != 1_001), "{out:?}");
    assert_eq!(engine.queries_queued(), 256);
}

/// Guards against queries that stay queued or start after their deadline.
#[test]
fn a_queued_query_is_refused_at_its_deadline() {
    let mut engine = engine(settings(), 1, 3);
    for query in 0..8 {
        feed(&mut engine, ms(1), Event::Submit(submission(query, ms(60_000))));
    }
    let out = feed(&mut engine, ms(1), Event::Submit(submission(100, ms(50))));
    assert_eq!(out, []);
    let out = feed(&mut engine, ms(48), Event::Tick);
    let refusal = answer(&out).unwrap().unwrap_err();
    let expected = (ErrorKind::DeadlineUnreachable, Execution::NotRun);
    assert_eq!((refusal.kind, refusal.execution), expected);
    assert_eq!(engine.queries_queued(), 0);
}

/// Guards against starting a query whose deadline is shorter than the usual query time.
#[test]
fn an_unreachable_deadline_is_refused_at_once() {
    let mut engine = engine(settings(), 1, 3);
    let now = warm_up(&mut engine, 50);
    let out = feed(&mut engine, now, Event::Submit(submission(1, now + ms(4))));
    let refusal = answer(&out).unwrap().unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::DeadlineUnreachable);
    assert_eq!(sends(&out), []);
    // An old estimate is not used to refuse a query.
    let later = now + ms(5_000);
    assert_eq!(
        sends(&feed(&mut engine, later, Event::Submit(submission(2, later + ms(4))))).len(),
        1
    );
}

/// Guards against running a search on a ledger, on an unknown service or without a bundle.
#[test]
fn requests_without_a_matching_service_are_refused() {
    let mut engine = engine(settings(), 1, 1);
    for (service, kind) in
        [("orders", ErrorKind::InvalidArgument), ("none", ErrorKind::UnknownService)]
    {
        let submission = Submission { service: service.into(), ..submission(1, ms(100)) };
        let out = feed(&mut engine, ms(1), Event::Submit(submission));
        assert_eq!(answer(&out).unwrap().unwrap_err().kind, kind);
    }
    let mut fresh = Engine::new(settings(), 1);
    let out = feed(&mut fresh, ms(1), Event::Submit(submission(1, ms(100))));
    assert_eq!(answer(&out).unwrap().unwrap_err().kind, ErrorKind::NotReady);
}

/// Guards against idle time in the estimated query time. When the estimate was the time between two
/// completions, an instance refused every query of a service forever.
#[test]
fn idle_time_does_not_count_as_query_time() {
    let mut engine = engine(settings(), 1, 3);
    let start = warm_up(&mut engine, 50) + ms(10_000);
    let mut running = Vec::new();
    for query in 0..200 {
        let submission = submission(query, start + ms(900));
        running.extend(sends(&feed(&mut engine, start, Event::Submit(submission))));
    }
    assert!(engine.queries_queued() > 0);
    for step in 0..2 {
        let send = running.remove(0);
        let out = feed(&mut engine, start + ms(5 + step), done(send.attempt, reply(&send)));
        running.extend(sends(&out));
    }
    let waiting = engine.queries_queued();
    let critical =
        Submission { priority: Priority::Critical, ..submission(1_000, start + ms(400)) };
    let out = feed(&mut engine, start + ms(8), Event::Submit(critical));
    assert_eq!(answer(&out), None);
    assert_eq!(engine.queries_queued(), waiting + 1);
}
