//! Test harness: simulated replicas with known records, and checks of every action of the engine.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use rosemarybank_protocol::{
    prelude::*,
    upstream::{
        Holding, Load, RangeCount, ReplicaState, ReplicaStatus, ShardReply, UpstreamErrorKind,
    },
};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, AttemptOutcome, Dispatch, Event, Send, SendAction, SendKind, Submission},
    settings::{Policy, Settings},
};

use crate::common::{bundle, entry, ledger_entry, ms, name, shard};

pub const SHARDS: u64 = 4;
pub const REPLICAS: u64 = 3;
const RECORDS: u64 = 400;

/// Keys of the records of a snapshot. They are evenly spaced and differ between snapshots.
fn keys(snapshot: SnapshotId, range: KeyRange) -> impl Iterator<Item = u64> {
    let key = move |it: u64| it * (u64::MAX / RECORDS) + snapshot;
    (0..RECORDS).map(key).filter(move |it| range.contains(*it))
}

pub fn count(snapshot: SnapshotId, range: KeyRange) -> RangeCount {
    RangeCount { range, records: keys(snapshot, range).count() as u64 }
}

fn hits(snapshot: SnapshotId, range: KeyRange) -> Vec<Hit> {
    let hit = |key| Hit { key, score: (key % 7) as u32, record: "record".into() };
    keys(snapshot, range).map(hit).collect()
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    Complete,
    /// Covers the part of the range on one side of a key, which the number selects.
    Partial(u8),
    /// Also covers keys that were not requested.
    ExtraRange,
    WrongSnapshot,
    StrayHit,
    Refused(UpstreamErrorKind),
    NotSent,
    Disconnected,
    TimedOut,
}

#[derive(Default)]
struct QueryState {
    sends: u32,
    deadline: Time,
    coverage: CoverageMode,
    /// Snapshot of the last attempt. A change means that the query was restarted.
    snapshot: Option<SnapshotId>,
    /// Ranges of that snapshot that replies have covered.
    covered: Vec<KeyRange>,
}

pub struct Harness {
    pub now: Time,
    engine: Engine,
    queries: HashMap<u64, QueryState>,
    submitted: u64,
    open: BTreeMap<u64, Send>,
    ended: Vec<Send>,
    /// Deadline of each dispatched action, and the replicas to which it was sent.
    actions: HashMap<u64, (Time, HashSet<ReplicaId>)>,
    open_actions: BTreeMap<u64, SendAction>,
    incarnations: HashMap<ReplicaId, u64>,
    draining: HashSet<ReplicaId>,
    attempts: BTreeSet<u64>,
    sends_by_kind: [u64; 3],
}

impl Harness {
    pub fn new(settings: Settings, seed: u64) -> Harness {
        let mut harness = Harness {
            now: ms(1),
            engine: Engine::new(settings, seed),
            queries: HashMap::new(),
            submitted: 0,
            open: BTreeMap::new(),
            ended: Vec::new(),
            actions: HashMap::new(),
            open_actions: BTreeMap::new(),
            incarnations: HashMap::new(),
            draining: HashSet::new(),
            attempts: BTreeSet::new(),
            sends_by_kind: [0; 3],
        };
        let all = (0..SHARDS).flat_map(|s| (0..REPLICAS).map(move |r| entry(s, r)));
        let list = all.chain((0..3).map(ledger_entry)).collect();
        harness.feed(Event::Configure(Box::new(bundle(SHARDS))));
        harness.feed(Event::ReplicaList(list));
        for (s, r) in (0..SHARDS).flat_map(|s| (0..REPLICAS).map(move |r| (s, r))) {
            harness.report(s, r, 1, false);
        }
        harness
    }

    /// Reports the status of a replica that holds the snapshots whose bits are set. From snapshot 3
    /// on, the shards have other boundaries.
    pub fn report(&mut self, s: u64, r: u64, snapshots: u8, restarted: bool) {
        let replica = name(s, r);
        let incarnation = self.incarnations.entry(replica.clone()).or_insert(1);
        if restarted {
            *incarnation += 1;
            self.draining.remove(&replica);
        }
        let holding = |snapshot: u64| {
            let range = if snapshot < 3 { shard(s, SHARDS) } else { repartitioned(s) };
            let ranges = vec![count(snapshot, range)];
            Holding { service: "records".into(), snapshot, ranges }
        };
        let status = ReplicaStatus {
            replica,
            incarnation: *incarnation,
            state: ReplicaState::Serving,
            load: Load { in_flight: 0, queued: 0, slots: 2 },
            holdings: (0..5)
                .filter(|it| snapshots & (1 << it) != 0)
                .map(|it| holding(it + 1))
                .collect(),
        };
        self.feed(Event::ReplicaStatus(status));
    }

    pub fn drain(&mut self, s: u64, r: u64) {
        self.draining.insert(name(s, r));
        self.feed(Event::GoingAway { replica: name(s, r) });
    }

    pub fn submit(&mut self, submission: Submission) {
        self.submitted += 1;
        let state = QueryState {
            deadline: submission.deadline,
            coverage: submission.coverage,
            ..QueryState::default()
        };
        self.queries.insert(submission.query, state);
        self.feed(Event::Submit(submission));
    }

    pub fn disconnect_caller(&mut self, query: u64) {
        self.queries.remove(&query);
        self.feed(Event::CallerGone { query });
        assert!(
            self.open.values().all(|it| it.query != query),
            "attempts left running after the caller disconnected"
        );
    }

    pub fn dispatch(&mut self, dispatch: u64, deadline: Time) {
        self.actions.insert(dispatch, (deadline, HashSet::new()));
        let service = "orders".into();
        self.feed(Event::Dispatch(Dispatch { dispatch, service, deadline }));
    }

    pub fn quarantine(&mut self, fingerprint: Fingerprint, until: Time) {
        let service = "records".into();
        self.feed(Event::Quarantine { service, fingerprint, until });
    }

    /// Ends an attempt of a search that is in flight.
    pub fn end_attempt(&mut self, which: usize, outcome: Outcome) {
        let Some(id) = self.open.keys().copied().nth(which % self.open.len().max(1)) else {
            return;
        };
        let send = self.open.remove(&id).unwrap();
        let reply = self.reply(&send, outcome);
        if let AttemptOutcome::Reply(reply) = &reply
            && matches!(outcome, Outcome::Complete | Outcome::Partial(_))
        {
            let state = self.queries.get_mut(&send.query).unwrap();
            assert_eq!(
                state.snapshot,
                Some(send.snapshot),
                "the attempt belongs to an earlier snapshot"
            );
            state.covered.extend(reply.covered.iter().map(|it| it.range));
        }
        if let Outcome::Refused(UpstreamErrorKind::Draining) = outcome {
            self.draining.insert(send.replica.clone());
        }
        self.ended.push(send);
        self.feed(Event::AttemptDone { attempt: id, outcome: reply });
    }

    /// Delivers another outcome for an attempt that has already ended.
    pub fn repeat_outcome(&mut self, which: usize, outcome: Outcome) {
        if self.ended.is_empty() {
            return;
        }
        let send = self.ended[which % self.ended.len()].clone();
        let reply = self.reply(&send, outcome);
        self.feed(Event::AttemptDone { attempt: send.attempt, outcome: reply });
    }

    /// Ends an attempt of an action that is in flight.
    pub fn end_action(&mut self, which: usize, outcome: Outcome) {
        let count = self.open_actions.len().max(1);
        let Some(id) = self.open_actions.keys().copied().nth(which % count) else { return };
        let send = self.open_actions.remove(&id).unwrap();
        let (outcome, may_have_run) = match outcome {
            Outcome::Complete => (AttemptOutcome::ActionReply("done".into()), true),
            Outcome::Refused(error) => {
                let refused = AttemptOutcome::Refused { error, snapshots: Vec::new() };
                (refused, error == UpstreamErrorKind::Failed)
            }
            Outcome::NotSent => (AttemptOutcome::NotSent, false),
            Outcome::TimedOut => (AttemptOutcome::TimedOut, true),
            _ => (AttemptOutcome::Disconnected, true),
        };
        if matches!(outcome, AttemptOutcome::Refused { error: UpstreamErrorKind::Draining, .. }) {
            self.draining.insert(send.replica.clone());
        }
        self.feed(Event::AttemptDone { attempt: id, outcome });
        if may_have_run {
            assert!(
                !self.actions.contains_key(&send.dispatch),
                "the action was not ended although it may have run"
            );
        }
    }

    /// Advances the time, with a tick at every wake-up time.
    pub fn advance(&mut self, by: Time) {
        let end = self.now + by;
        while let Some(at) = self.engine.next_wakeup().filter(|it| *it <= end) {
            self.now = self.now.max(at);
            self.feed(Event::Tick);
        }
        self.now = end;
        self.feed(Event::Tick);
    }

    /// Advances the time past every deadline and checks that nothing is left in flight.
    pub fn finish(&mut self, policy: Policy) {
        self.advance(ms(2_000));
        assert!(self.queries.is_empty(), "queries without an answer");
        assert!(self.actions.is_empty(), "actions without an outcome");
        assert!(self.open.is_empty() && self.open_actions.is_empty(), "attempts left running");
        assert_eq!((self.engine.queries_in_flight(), self.engine.attempts_in_flight()), (0, 0));
        let counters = self.engine.counters();
        let [first, retries, hedges] = self.sends_by_kind;
        assert_eq!(
            (first, retries, hedges),
            (counters.first_sends, counters.retries, counters.hedges)
        );
        if policy == Policy::Baseline {
            return;
        }
        assert!(hedges * 100 <= first * 5, "{hedges} hedges of {first}");
        assert!(retries * 100 <= (20 * SHARDS * 100) + first * 10, "{retries} retries of {first}");
    }

    fn reply(&self, send: &Send, outcome: Outcome) -> AttemptOutcome {
        let (first, last) = (send.range.first(), send.range.last());
        let mut covered = vec![send.range];
        let mut snapshot = send.snapshot;
        match outcome {
            Outcome::Partial(cut) if first < last => {
                let middle = first + (last - first) / 256 * u64::from(cut);
                let part = match cut % 2 {
                    0 => KeyRange::new(first, middle),
                    _ => KeyRange::new(middle.max(first + 1), last),
                };
                covered = vec![part.unwrap()];
            }
            Outcome::ExtraRange => covered.push(shard(0, 1)),
            Outcome::WrongSnapshot => snapshot += 1,
            Outcome::Refused(error) => {
                return AttemptOutcome::Refused { error, snapshots: Vec::new() };
            }
            Outcome::NotSent => return AttemptOutcome::NotSent,
            Outcome::Disconnected => return AttemptOutcome::Disconnected,
            Outcome::TimedOut => return AttemptOutcome::TimedOut,
            Outcome::Complete | Outcome::Partial(_) | Outcome::StrayHit => {}
        }
        let mut found: Vec<_> = covered.iter().flat_map(|it| hits(snapshot, *it)).collect();
        if let Outcome::StrayHit = outcome {
            covered = vec![KeyRange::new(first, first).unwrap()];
            found = vec![Hit { key: last, score: 9, record: "stray".into() }];
        }
        let covered = covered.into_iter().map(|it| count(snapshot, it)).collect();
        let load = Load { in_flight: 1, queued: 0, slots: 2 };
        AttemptOutcome::Reply(ShardReply { snapshot, covered, hits: found, load })
    }

    fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.engine.handle(self.now, event, &mut out);
        for action in out {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send(send) => self.check_send(send),
            Action::SendAction(send) => self.check_send_action(send),
            Action::Cancel { attempt } => {
                let search = self.open.remove(&attempt).map(|it| self.ended.push(it));
                let action = self.open_actions.remove(&attempt);
                assert!(
                    search.is_some() || action.is_some(),
                    "an attempt was cancelled after its end"
                );
            }
            Action::Answer { query, answer } => self.check_answer(query, answer),
            Action::Dispatched { dispatch, .. } => {
                let known = self.actions.remove(&dispatch);
                assert!(known.is_some(), "an action ended twice");
                let open = self.open_actions.values().any(|it| it.dispatch == dispatch);
                assert!(!open, "an action ended while an attempt was in flight");
            }
            Action::Quarantine { crashes, .. } => assert!(crashes >= 2),
            Action::Poll { .. } => {}
        }
    }

    fn check_send(&mut self, send: Send) {
        assert!(self.attempts.insert(send.attempt), "an attempt id was reused");
        assert!(!self.draining.contains(&send.replica), "new work for a draining replica");
        let state = self.queries.get_mut(&send.query).expect("an attempt for an ended query");
        assert!(self.now < state.deadline, "an attempt after the deadline");
        state.sends += 1;
        if state.snapshot.replace(send.snapshot) != Some(send.snapshot) {
            state.covered.clear();
        }
        let other = self.open.values().find(|it| it.query == send.query);
        assert!(
            other.is_none_or(|it| it.snapshot == send.snapshot),
            "two snapshots in flight at once"
        );
        match send.kind {
            SendKind::First => self.sends_by_kind[0] += 1,
            SendKind::Retry => self.sends_by_kind[1] += 1,
            SendKind::Hedge => self.sends_by_kind[2] += 1,
        }
        self.open.insert(send.attempt, send);
    }

    fn check_send_action(&mut self, send: SendAction) {
        assert!(self.attempts.insert(send.attempt), "an attempt id was reused");
        assert!(!self.draining.contains(&send.replica), "new work for a draining replica");
        let open = self.open_actions.values().any(|it| it.dispatch == send.dispatch);
        assert!(!open, "two attempts of an action at once");
        let (deadline, replicas) =
            self.actions.get_mut(&send.dispatch).expect("an attempt for an ended action");
        assert!(self.now < *deadline, "an attempt after the deadline");
        assert!(replicas.insert(send.replica.clone()), "a replica got the same action twice");
        self.open_actions.insert(send.attempt, send);
    }

    fn check_answer(
        &mut self,
        query: u64,
        answer: Result<
            rosemarybank_query::interface::SearchResult,
            rosemarybank_query::interface::Refusal,
        >,
    ) {
        let state = self.queries.remove(&query).expect("an answer for an unknown query");
        assert!(self.open.values().all(|it| it.query != query), "attempts left running");
        match answer {
            Ok(result) => {
                assert_eq!(state.snapshot, Some(result.snapshot));
                let covered = covered_keys(&result.coverage, state.covered);
                let mut all: Vec<_> =
                    covered.iter().flat_map(|it| hits(result.snapshot, *it)).collect();
                all.sort_by_key(|it| (std::cmp::Reverse(it.score), it.key));
                assert_eq!(result.coverage.records_covered, all.len() as u64);
                assert_eq!(result.hits, all, "hits differ from the covered records");
                match result.coverage.records_total {
                    RecordTotal::Exact(total) => assert_eq!(total, RECORDS),
                    RecordTotal::AtLeast(total) => assert!(total <= RECORDS),
                }
                let is_complete = result.coverage.is_complete();
                assert!(is_complete || state.coverage == CoverageMode::Partial);
                assert!(!is_complete || all.len() as u64 == RECORDS);
            }
            Err(refusal) => {
                let expected =
                    if state.sends == 0 { Execution::NotRun } else { Execution::Partial };
                assert_eq!(refusal.execution, expected);
                if let Some(coverage) = refusal.coverage {
                    covered_keys(&coverage, state.covered);
                    assert!(!coverage.is_complete(), "a refusal with complete coverage");
                }
            }
        }
    }
}

/// Range of a shard after repartitioning, which moves the boundaries by an eighth of the key space.
fn repartitioned(s: u64) -> KeyRange {
    let old = shard(s, SHARDS);
    let shift = u64::MAX / 8;
    let first = if s == 0 { 0 } else { old.first() + shift };
    let last = if s + 1 == SHARDS { u64::MAX } else { old.last() + shift };
    KeyRange::new(first, last).unwrap()
}

/// Checks that the coverage matches the merged ranges, and returns the covered ranges.
fn covered_keys(coverage: &Coverage, merged: Vec<KeyRange>) -> Vec<KeyRange> {
    let missing: Vec<_> = coverage.missing.iter().map(|it| it.range).collect();
    assert!(missing.windows(2).all(|it| it[0].last() < it[1].first()));
    assert!(KeyRange::are_disjoint(merged.clone()), "keys were merged twice");
    let covered = KeyRange::ALL.subtract(missing);
    let expected = KeyRange::ALL.subtract(KeyRange::ALL.subtract(merged));
    assert_eq!(covered, expected, "coverage differs from the merged ranges");
    covered
}
