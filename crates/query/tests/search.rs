//! Life cycle of searches from submission to answer.

mod common;

use common::*;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::{Action, AttemptOutcome, Event};

/// Guards against a shard that is missing or merged twice when nothing fails.
#[test]
fn all_shards_are_asked_and_merged() {
    let mut engine = engine(settings(), 4, 3);
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(200)))));
    assert_eq!(sent.len(), 4);
    assert!(KeyRange::ALL.subtract(sent.iter().map(|it| it.range)).is_empty());
    let mut last = Vec::new();
    for send in &sent {
        last = feed(&mut engine, ms(5), done(send.attempt, reply(send)));
    }
    let result = answer(&last).unwrap().unwrap();
    assert_eq!(result.snapshot, 7);
    assert!(result.coverage.is_complete());
    assert_eq!(result.coverage.records_total, RecordTotal::Exact(4 * RECORDS));
    assert_eq!(result.coverage.records_covered, 4 * RECORDS);
    assert_eq!(result.hits.len(), 4);
    assert_eq!((engine.queries_in_flight(), engine.attempts_in_flight()), (0, 0));
}

/// Guards against a partial answer that does not list the ranges without a reply at the deadline.
#[test]
fn the_answer_at_the_deadline_lists_missing_ranges() {
    let mut engine = engine(settings(), 2, 1);
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(100)))));
    feed(&mut engine, ms(5), done(sent[0].attempt, reply(&sent[0])));
    let last = feed(&mut engine, ms(98), Event::Tick);
    assert!(last.contains(&Action::Cancel { attempt: sent[1].attempt }));
    let coverage = answer(&last).unwrap().unwrap().coverage;
    assert_eq!(coverage.records_covered, RECORDS);
    assert_eq!(coverage.records_total, RecordTotal::Exact(2 * RECORDS));
    let missing = MissingRange { range: sent[1].range, reason: MissingReason::Deadline };
    assert_eq!(coverage.missing, [missing]);
}

/// Guards against a late reply that is merged into another query: outcomes of ended attempts must
/// be ignored.
#[test]
fn late_outcomes_are_ignored() {
    let mut engine = engine(settings(), 1, 1);
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(100)))));
    assert!(answer(&feed(&mut engine, ms(98), Event::Tick)).is_some());
    feed(&mut engine, ms(99), Event::Submit(submission(2, ms(300))));
    let late = feed(&mut engine, ms(100), done(sent[0].attempt, reply(&sent[0])));
    assert_eq!(late, []);
    assert_eq!(engine.counters().late_outcomes, 1);
}

/// Guards against attempts that continue after the caller has disconnected.
#[test]
fn attempts_of_a_disconnected_caller_are_cancelled() {
    let mut engine = engine(settings(), 3, 1);
    feed(&mut engine, ms(1), Event::Submit(submission(1, ms(100))));
    let out = feed(&mut engine, ms(2), Event::CallerGone { query: 1 });
    assert_eq!(out.len(), 3);
    assert!(out.iter().all(|it| matches!(it, Action::Cancel { .. })));
    assert_eq!(engine.attempts_in_flight(), 0);
}

/// Guards against a failed attempt that is not retried on another replica.
#[test]
fn a_failed_attempt_is_retried_on_another_replica() {
    let mut engine = engine(settings(), 1, 2);
    let first = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(100)))));
    let retry = sends(&feed(&mut engine, ms(2), done(first[0].attempt, AttemptOutcome::NotSent)));
    assert_eq!(retry.len(), 1);
    assert_ne!(retry[0].replica, first[0].replica);
}
