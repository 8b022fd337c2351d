//! Segments, coverage and snapshots of searches.

mod common;

use common::*;
use rosemarybank_protocol::{
    prelude::*,
    upstream::{RangeCount, ShardReply, UpstreamErrorKind},
};
use rosemarybank_query::interface::{Action, AttemptOutcome, Event, Send};

fn range(first: u64, last: u64) -> KeyRange {
    KeyRange::new(first, last).unwrap()
}

fn count(range: KeyRange, records: u64) -> RangeCount {
    RangeCount { range, records }
}

fn shard_reply(send: &Send, covered: Vec<RangeCount>, keys: &[u64]) -> ShardReply {
    let hit = |key: &u64| Hit { key: *key, score: 1, record: "record".into() };
    let hits = keys.iter().map(hit).collect();
    ShardReply { snapshot: send.snapshot, covered, hits, load: Default::default() }
}

fn snapshot_retired() -> AttemptOutcome {
    AttemptOutcome::Refused { error: UpstreamErrorKind::SnapshotRetired, snapshots: vec![8] }
}

/// Guards against records that are lost or counted twice when a shard is split during a search and
/// its replica covers only a part of the requested range.
#[test]
fn keys_missing_from_a_partial_reply_go_to_another_replica() {
    let mut engine = engine(settings(), 1, 2);
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(200)))));
    let half = range(0, 999);
    let part = shard_reply(&sent[0], vec![count(half, 40)], &[5]);
    let rest = sends(&feed(&mut engine, ms(2), done(sent[0].attempt, AttemptOutcome::Reply(part))));
    assert_eq!(rest.len(), 1);
    assert_eq!(rest[0].range, range(1_000, u64::MAX));
    assert_ne!(rest[0].replica, sent[0].replica);
    let whole = shard_reply(&rest[0], vec![count(rest[0].range, 60)], &[1_000]);
    let last = feed(&mut engine, ms(3), done(rest[0].attempt, AttemptOutcome::Reply(whole)));
    let result = answer(&last).unwrap().unwrap();
    assert!(result.coverage.is_complete());
    assert_eq!(result.coverage.records_covered, 100);
    assert_eq!(result.hits.iter().map(|it| it.key).collect::<Vec<_>>(), [5, 1_000]);
}

/// Guards against replies that do not match the request: wrong, overlapping or no ranges, hits
/// outside the covered ranges, or another snapshot. Each must be rejected as a whole.
#[test]
fn mismatched_replies_are_rejected() {
    let requested = shard(0, 2);
    let mismatches: [fn(&Send) -> ShardReply; 6] = [
        |it| shard_reply(it, vec![count(KeyRange::ALL, 100)], &[]),
        |it| shard_reply(it, vec![count(range(0, 9), 5), count(range(9, 20), 5)], &[]),
        |it| shard_reply(it, vec![count(range(0, 9), 5)], &[10]),
        |it| shard_reply(it, vec![count(range(u64::MAX, u64::MAX), 5)], &[]),
        |it| shard_reply(it, vec![], &[]),
        |it| ShardReply { snapshot: 8, ..shard_reply(it, vec![count(it.range, 5)], &[]) },
    ];
    for mismatch in mismatches {
        let mut engine = engine(settings(), 2, 1);
        let sent = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(200)))));
        let (first, other) = (&sent[0], &sent[1]);
        assert_eq!(first.range, requested);
        feed(&mut engine, ms(2), done(first.attempt, AttemptOutcome::Reply(mismatch(first))));
        assert_eq!(engine.counters().rejected_replies, 1);
        let last = feed(&mut engine, ms(3), done(other.attempt, reply(other)));
        let coverage = answer(&last).unwrap().unwrap().coverage;
        let missing = MissingRange { range: requested, reason: MissingReason::Failed };
        assert_eq!(coverage.missing, [missing]);
        assert_eq!(coverage.records_covered, RECORDS);
    }
}

/// Guards against hits beyond the limit, in the wrong order, or lost by pruning.
#[test]
fn hits_are_merged_by_score_then_key() {
    let mut engine = engine(settings(), 2, 1);
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(200)))));
    let mut last = Vec::new();
    for send in &sent {
        let first = send.range.first();
        let hits = (0..40).map(|it| Hit {
            key: first + it,
            score: (it % 5) as u32,
            record: "record".into(),
        });
        let hits = hits.collect();
        let mut reply = shard_reply(send, vec![count(send.range, RECORDS)], &[]);
        reply.hits = hits;
        last = feed(&mut engine, ms(2), done(send.attempt, AttemptOutcome::Reply(reply)));
    }
    let keys: Vec<_> = answer(&last).unwrap().unwrap().hits.iter().map(|it| it.key).collect();
    let second = shard(1, 2).first();
    let expected = [4, 9, 14, 19, 24, 29, 34, 39, second + 4, second + 9];
    assert_eq!(keys, expected);
}

/// Guards against an exact total that does not follow from the reports, and against losing the
/// record counts that removed replicas had reported.
#[test]
fn record_totals_follow_from_reported_counts() {
    let mut engine = engine(settings(), 3, 1);
    feed(&mut engine, ms(1), Event::GoingAway { replica: name(1, 0) });
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(200)))));
    assert_eq!(sent.len(), 2);
    feed(&mut engine, ms(2), done(sent[0].attempt, reply(&sent[0])));
    let last = feed(&mut engine, ms(2), done(sent[1].attempt, reply(&sent[1])));
    let coverage = answer(&last).unwrap().unwrap().coverage;
    assert_eq!(coverage.records_total, RecordTotal::Exact(3 * RECORDS));
    let missing = MissingRange { range: shard(1, 3), reason: MissingReason::NoReplica };
    assert_eq!(coverage.missing, [missing]);

    let mut engine = engine_without_shard_one();
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(200)))));
    let last = feed(&mut engine, ms(2), done(sent[0].attempt, reply(&sent[0])));
    let coverage = answer(&last).unwrap().unwrap().coverage;
    assert_eq!(coverage.records_total, RecordTotal::AtLeast(RECORDS));
}

fn engine_without_shard_one() -> rosemarybank_query::engine::Engine {
    let mut engine = engine(settings(), 2, 1);
    let mut gone = status(name(1, 0), KeyRange::ALL, &[]);
    gone.holdings.clear();
    feed(&mut engine, ms(1), Event::ReplicaStatus(gone));
    // Only replica 0 holds this snapshot, and it has not reported the record count of the other
    // shard.
    let mut fresh = status(name(0, 0), shard(0, 2), &[9]);
    fresh.incarnation = 2;
    feed(&mut engine, ms(1), Event::ReplicaStatus(fresh));
    engine
}

/// Guards against an incomplete answer to a search with complete coverage, and against attempts for
/// such a search when a shard has no replica.
#[test]
fn incomplete_results_are_errors_with_complete_coverage() {
    let mut complete = submission(1, ms(200));
    complete.coverage = CoverageMode::Complete;
    let mut engine = engine(settings(), 2, 1);
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(complete.clone())));
    feed(&mut engine, ms(2), done(sent[0].attempt, reply(&sent[0])));
    let last = feed(&mut engine, ms(2), done(sent[1].attempt, AttemptOutcome::NotSent));
    let refusal = answer(&last).unwrap().unwrap_err();
    assert_eq!((refusal.kind, refusal.execution), (ErrorKind::Incomplete, Execution::Partial));
    assert_eq!(refusal.coverage.unwrap().records_covered, RECORDS);

    feed(&mut engine, ms(3), Event::GoingAway { replica: name(1, 0) });
    complete.query = 2;
    let out = feed(&mut engine, ms(4), Event::Submit(complete));
    assert_eq!(sends(&out), []);
    let refusal = answer(&out).unwrap().unwrap_err();
    assert_eq!((refusal.kind, refusal.execution), (ErrorKind::NoReplica, Execution::NotRun));
    assert!(refusal.retry_after.is_some());
}

/// Guards against a refusal without missing ranges when no replica is known.
#[test]
fn without_replicas_all_keys_are_missing() {
    let mut engine = engine(settings(), 2, 0);
    for (query, coverage) in [(1, CoverageMode::Partial), (2, CoverageMode::Complete)] {
        let mut submission = submission(query, ms(200));
        submission.coverage = coverage;
        let out = feed(&mut engine, ms(1), Event::Submit(submission));
        let refusal = answer(&out).unwrap().unwrap_err();
        assert_eq!((refusal.kind, refusal.execution), (ErrorKind::NoReplica, Execution::NotRun));
        let coverage = refusal.coverage.unwrap();
        assert_eq!(coverage.records_total, RecordTotal::AtLeast(0));
        let all = MissingRange { range: KeyRange::ALL, reason: MissingReason::NoReplica };
        assert_eq!(coverage.missing, [all]);
    }
}

/// Guards against the use of a new snapshot before every shard has it.
#[test]
fn the_newest_complete_snapshot_is_used() {
    let mut engine = engine(settings(), 2, 2);
    let snapshot_after = |engine: &mut _, query, statuses: &[(u64, u64)]| {
        for (s, r) in statuses {
            let status = status(name(*s, *r), shard(*s, 2), &[7, 8]);
            feed(engine, ms(1), Event::ReplicaStatus(status));
        }
        let sent = sends(&feed(engine, ms(1), Event::Submit(submission(query, ms(200)))));
        sent.iter().map(|it| it.snapshot).collect::<Vec<_>>()
    };
    assert_eq!(snapshot_after(&mut engine, 1, &[(0, 0), (0, 1)]), [7, 7]);
    assert_eq!(snapshot_after(&mut engine, 2, &[(1, 0)]), [8, 8]);
}

/// Guards against an answer from two snapshots when a snapshot is retired during a search.
#[test]
fn a_retired_snapshot_restarts_the_query() {
    let mut engine = engine(settings(), 2, 1);
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(200)))));
    feed(&mut engine, ms(2), done(sent[0].attempt, reply(&sent[0])));
    for s in 0..2 {
        let status = status(name(s, 0), shard(s, 2), &[8]);
        feed(&mut engine, ms(3), Event::ReplicaStatus(status));
    }
    let rerun = sends(&feed(&mut engine, ms(4), done(sent[1].attempt, snapshot_retired())));
    assert_eq!(rerun.iter().map(|it| it.snapshot).collect::<Vec<_>>(), [8, 8]);
    feed(&mut engine, ms(5), done(rerun[0].attempt, reply(&rerun[0])));
    let result = answer(&feed(&mut engine, ms(5), done(rerun[1].attempt, reply(&rerun[1]))));
    let result = result.unwrap().unwrap();
    assert_eq!((result.snapshot, result.coverage.records_covered), (8, 2 * RECORDS));
    assert_eq!(result.hits.len(), 2);
}

/// Guards against discarding the replies on a retired snapshot when there is no other snapshot. The
/// answer must be partial and list the missing keys.
#[test]
fn a_retired_snapshot_without_successor_gives_a_partial_answer() {
    let mut engine = engine(settings(), 2, 1);
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(submission(1, ms(200)))));
    feed(&mut engine, ms(2), done(sent[0].attempt, reply(&sent[0])));
    let last = feed(&mut engine, ms(4), done(sent[1].attempt, snapshot_retired()));
    let result = answer(&last).unwrap().unwrap();
    assert_eq!(result.snapshot, 7);
    let missing = MissingRange { range: sent[1].range, reason: MissingReason::SnapshotRetired };
    assert_eq!(result.coverage.missing, [missing]);
}

/// Guards against waiting for the deadline when all replicas have failed.
#[test]
fn the_answer_is_immediate_when_no_replica_is_left() {
    let mut engine = engine(settings(), 1, 2);
    let mut out = feed(&mut engine, ms(1), Event::Submit(submission(1, ms(900))));
    for _ in 0..2 {
        let send = sends(&out).remove(0);
        out = feed(&mut engine, ms(2), done(send.attempt, AttemptOutcome::NotSent));
    }
    let refusal = answer(&out).unwrap().unwrap_err();
    assert_eq!((refusal.kind, refusal.execution), (ErrorKind::Incomplete, Execution::Partial));
    assert!(!out.iter().any(|it| matches!(it, Action::Cancel { .. })));
}
