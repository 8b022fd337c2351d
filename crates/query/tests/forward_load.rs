//! Replays of the loads that the decisions answer: pauses, slow replicas, silent shards.
//!
//! A modelled site of three data centres serves searches over ten shards of three replicas each. The
//! bounds come from the worth that the users' pages give an answer: 1 in time, the square of its
//! coverage if parts are missing, a tenth if late.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use fastrand::Rng;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    Action, Answer, AttemptKey, ClientLimits, Event, Failure, Forwarder, ReplicaInfo, ReplicaState,
    Reply, RequestKey, RetryBudget, Route, RouteTable, ServiceInfo, Settings, Submission, Target,
};

const SHARDS: usize = 10;
const OBJECTIVE: Duration = Duration::from_millis(150);

/// Requests of a run, after the first which warm up the estimates.
const REQUESTS: usize = 3_000;
const WARM_UP: usize = 300;

/// How the replicas behave.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Each replica stops for 150 ms each 3.6 s, at its own time.
    pauses: bool,
    /// The local replica of every third shard works this much slower.
    slow: f32,
    /// All replicas of this many shards are silent.
    silent_shards: usize,
    /// Whether extra sends are allowed.
    has_budget: bool,
}

#[derive(Debug)]
struct Outcome {
    worth: f32,
    /// Extra sends for each request and shard.
    extra: f32,
    /// Sends to other data centres for each request and shard.
    far: f32,
}

struct Model {
    load: Load,
    rng: Rng,
    /// Busy slots of each replica: the times at which they are free again.
    slots: Vec<[Time; 2]>,
    offsets: Vec<Time>,
}

impl Model {
    fn new(load: Load) -> Model {
        let mut rng = Rng::with_seed(11);
        let offsets = (0..SHARDS * 3).map(|_| Duration::from_millis(rng.u64(0..3_600))).collect();
        Model { load, rng, slots: vec![[Time::ZERO; 2]; SHARDS * 3], offsets }
    }

    /// Time at which the reply to a request that is sent now is back, if it comes.
    fn reply_at(&mut self, now: Time, replica: usize) -> Option<Time> {
        let (shard, data_centre) = (replica / 3, replica % 3);
        if shard < self.load.silent_shards {
            return None;
        }
        let way = Duration::from_micros(if data_centre == 0 { 100 } else { 12_000 });
        let is_slow = data_centre == 0 && shard % 3 == 0 && self.load.slow > 0.0;
        let factor = if is_slow { self.load.slow } else { 1.0 };
        // Most requests take 4 to 11 ms, one in a hundred five times as long.
        let tail = if self.rng.u8(0..100) == 0 { 5.0 } else { 1.0 };
        let work = Duration::from_secs_f32((0.004 + 0.007 * self.rng.f32()) * factor * tail);
        let arrival = now + way;
        let free =
            self.slots[replica].iter().enumerate().min_by_key(|it| it.1).map_or(0, |it| it.0);
        let start = self.after_pause(arrival.max(self.slots[replica][free]), replica);
        let end = self.after_pause(start + work, replica);
        self.slots[replica][free] = end;
        Some(end + way)
    }

    fn after_pause(&self, at: Time, replica: usize) -> Time {
        const PERIOD: Duration = Duration::from_millis(3_600);
        const PAUSE: Duration = Duration::from_millis(150);
        let phase = (at + self.offsets[replica]).as_nanos() % PERIOD.as_nanos();
        match self.load.pauses && phase < PAUSE.as_nanos() {
            true => at + PAUSE - Duration::from_nanos(phase as u64),
            false => at,
        }
    }
}

fn replicas() -> Vec<ReplicaInfo> {
    let replica = |it: usize| ReplicaInfo {
        id: format!("r{it}").into(),
        service: format!("s{}", it / 3).into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        data_centre: ["a", "b", "c"][it % 3].into(),
        slots: 2,
        state: ReplicaState::Ready,
        cold: Duration::ZERO,
        born_ms: 1,
    };
    (0..SHARDS * 3).map(replica).collect()
}

fn table() -> RouteTable {
    let shards: Vec<ServiceId> = (0..SHARDS).map(|it| format!("s{it}").into()).collect();
    let info = ServiceInfo { max_connections: 25 };
    let services = shards.iter().map(|it| (it.clone(), info.clone())).collect();
    let route = Route {
        name: "search".into(),
        host: "h".into(),
        prefix: "/".into(),
        is_idempotent: true,
        timeout: Duration::from_millis(1_200),
        latency_objective: OBJECTIVE,
        max_attempts: 2,
        rank: 1,
        target: Target::Gather { shards, top_k: 10, min_shard_fraction: 0.89 },
    };
    RouteTable::new(1, vec![route], services, ClientLimits::default())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Request,
    Reply(AttemptKey),
    Close(AttemptKey),
}

fn play(load: Load) -> Outcome {
    let budget = match load.has_budget {
        true => RetryBudget { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) },
        false => RetryBudget { ratio: 0.0, allowance: 0.0, window: Duration::from_secs(10) },
    };
    let settings = Settings { data_centre: "a".into(), region: vec!["a".into()], budget, seed: 3 };
    let mut forwarder = Forwarder::new(settings);
    let mut model = Model::new(load);
    let (mut now, mut out) = (Duration::from_secs(60), Vec::new());
    for requested_at in [Duration::ZERO, now] {
        let listed = Event::Instances { requested_at, count: 6, is_listed: true };
        forwarder.handle(now, listed, &mut out);
    }
    forwarder.handle(now, Event::Configure(Box::new(table())), &mut out);
    forwarder.handle(now, Event::Replicas(replicas()), &mut out);
    let mut due: BinaryHeap<Reverse<(Time, Due)>> = BinaryHeap::new();
    let mut begun: HashMap<RequestKey, Time> = HashMap::new();
    let (mut count, mut counted, mut sends, mut far) = (0_usize, 0_usize, 0_usize, 0_usize);
    let mut worth = 0.0;
    due.push(Reverse((now, Due::Request)));
    loop {
        let timer = forwarder.next_wakeup().unwrap_or(Time::MAX);
        let next = due.peek().map_or(Time::MAX, |it| it.0.0);
        if timer == Time::MAX && next == Time::MAX {
            break;
        }
        now = now.max(timer.min(next));
        if timer <= next {
            forwarder.handle(now, Event::Tick, &mut out);
        } else {
            let Some(Reverse((_, event))) = due.pop() else { break };
            match event {
                Due::Request if count < REQUESTS => {
                    count += 1;
                    let submission = Submission {
                        host: "h".into(),
                        path: "/".into(),
                        client_timeout: Some(Duration::from_millis(1_200)),
                        fingerprint: 0,
                    };
                    if let Ok(key) = forwarder.submit(now, &submission, &mut out) {
                        begun.insert(key, now);
                    }
                    let pause = 0.002 + 0.020 * model.rng.f32();
                    due.push(Reverse((now + Duration::from_secs_f32(pause), Due::Request)));
                }
                Due::Request => {}
                Due::Reply(attempt) => {
                    let reply = Reply {
                        status: 200,
                        stamp: Some("p".into()),
                        is_not_run: false,
                        fields: Vec::new(),
                        body: Vec::new(),
                    };
                    forwarder.handle(now, Event::Replied(attempt, reply), &mut out);
                }
                Due::Close(attempt) => {
                    forwarder.handle(now, Event::Failed(attempt, Failure::Abandoned), &mut out);
                }
            }
        }
        while !out.is_empty() {
            for action in std::mem::take(&mut out) {
                match action {
                    Action::Send { attempt, id, .. } => {
                        sends += 1;
                        let replica: usize = id[1..].parse().unwrap();
                        far += usize::from(!replica.is_multiple_of(3));
                        forwarder.handle(now, Event::Sent(attempt), &mut out);
                        if let Some(at) = model.reply_at(now, replica) {
                            due.push(Reverse((at, Due::Reply(attempt))));
                        }
                    }
                    Action::Abandon { attempt, close_at } => {
                        due.push(Reverse((close_at, Due::Close(attempt))));
                    }
                    Action::Answer { request, answer } => {
                        let took = now - begun[&request];
                        if begun.len() <= WARM_UP {
                            continue;
                        }
                        counted += 1;
                        if let Answer::Merged { missing, .. } = answer {
                            let share = (SHARDS - missing) as f32 / SHARDS as f32;
                            let in_time = if took <= OBJECTIVE { 1.0 } else { 0.1 };
                            worth += share * share * in_time;
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    let all = (REQUESTS * SHARDS) as f32;
    Outcome {
        worth: worth / counted as f32,
        extra: sends as f32 / all - 1.0,
        far: far as f32 / all,
    }
}

/// A third of the searches over ten shards meets a pause. Hedges bring back at least half of what is
/// lost without them, for fewer extra sends than the budget allows.
#[test]
fn pauses_are_hedged_within_the_budget() {
    let load = Load { pauses: true, has_budget: true, ..Load::default() };
    let (with, without) = (play(load), play(Load { has_budget: false, ..load }));
    assert!(with.worth >= 0.97, "{with:?}");
    let lost = |it: &Outcome| 1.0 - it.worth;
    assert!(lost(&with) <= lost(&without) / 2.0, "{with:?} {without:?}");
    assert!(with.extra <= 0.2, "{with:?}");
}

/// Links between regions are priced, so a healthy site is served from its own data centre.
#[test]
fn a_healthy_site_stays_in_its_data_centre() {
    let outcome = play(Load { has_budget: true, ..Load::default() });
    assert!(outcome.worth >= 0.99, "{outcome:?}");
    assert!(outcome.far <= 0.1, "{outcome:?}");
}

/// A replica that is ten times slower is left for another data centre, without hedging for it.
#[test]
fn slow_replicas_are_left_for_other_data_centres() {
    let load = Load { slow: 10.0, has_budget: true, ..Load::default() };
    let (with, without) = (play(load), play(Load { has_budget: false, ..load }));
    assert!(with.worth >= 0.97, "{with:?}");
    assert!(without.worth >= 0.9, "steering alone does most of it: {without:?}");
    assert!(with.extra <= 0.2, "{with:?}");
}

/// One silent shard of ten costs what its part is worth, 0.19, and not the whole search.
#[test]
fn a_silent_shard_costs_only_its_part() {
    let outcome = play(Load { silent_shards: 1, has_budget: true, ..Load::default() });
    assert!(outcome.worth >= 0.80, "{outcome:?}");
}
