//! Simulations of the load patterns that the forwarder handles: pauses, slow replicas and silent
//! shards.
//!
//! A simulated site of three data centres serves searches over ten shards with three replicas each.
//! The limits follow from the value of an answer to users: 1 if it is in time, the square of its
//! coverage if parts are missing, and a tenth of that if it is late.

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

/// Number of requests in a run, including the first ones that only warm up the estimates.
const REQUESTS: usize = 3_000;
const WARM_UP: usize = 300;

/// Behaviour of the simulated replicas.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Each replica pauses for 150 ms every 3.6 s, at an offset of its own.
    pauses: bool,
    /// Factor by which the local replica of every third shard is slower; 0 for none.
    slow_factor: f32,
    /// Number of shards whose replicas never reply.
    silent_shards: usize,
    /// Whether the retry budget permits extra attempts.
    has_budget: bool,
}

#[derive(Debug)]
struct Outcome {
    value: f32,
    /// Extra attempts per request and shard.
    extra: f32,
    /// Attempts in other data centres per request and shard.
    remote: f32,
}

struct ReplicaModel {
    load: Load,
    rng: Rng,
    /// When each slot of each replica becomes free.
    slots: Vec<[Time; 2]>,
    pause_offsets: Vec<Time>,
}

impl ReplicaModel {
    fn new(load: Load) -> ReplicaModel {
        let mut rng = Rng::with_seed(11);
        let pause_offsets =
            (0..SHARDS * 3).map(|_| Duration::from_millis(rng.u64(0..3_600))).collect();
        ReplicaModel { load, rng, slots: vec![[Time::ZERO; 2]; SHARDS * 3], pause_offsets }
    }

    /// Returns when the reply to a request sent now arrives, if it ever does.
    fn reply_at(&mut self, now: Time, replica: usize) -> Option<Time> {
        let (shard, data_centre) = (replica / 3, replica % 3);
        if shard < self.load.silent_shards {
            return None;
        }
        let network_delay = Duration::from_micros(if data_centre == 0 { 100 } else { 12_000 });
        let is_slow = data_centre == 0 && shard % 3 == 0 && self.load.slow_factor > 0.0;
        let factor = if is_slow { self.load.slow_factor } else { 1.0 };
        // Requests take 4 to 11 ms; one in a hundred takes five times as long.
        let tail = if self.rng.u8(0..100) == 0 { 5.0 } else { 1.0 };
        let work = Duration::from_secs_f32((0.004 + 0.007 * self.rng.f32()) * factor * tail);
        let arrival = now + network_delay;
        let slot =
            self.slots[replica].iter().enumerate().min_by_key(|it| it.1).map_or(0, |it| it.0);
        let start = self.after_pause(arrival.max(self.slots[replica][slot]), replica);
        let end = self.after_pause(start + work, replica);
        self.slots[replica][slot] = end;
        Some(end + network_delay)
    }

    fn after_pause(&self, at: Time, replica: usize) -> Time {
        const PERIOD: Duration = Duration::from_millis(3_600);
        const PAUSE: Duration = Duration::from_millis(150);
        let phase = (at + self.pause_offsets[replica]).as_nanos() % PERIOD.as_nanos();
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
        target: Target::Gather { shards, top_k: 10, min_share: 0.89 },
    };
    RouteTable::new(1, vec![route], services, ClientLimits::default())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Request,
    Reply(AttemptKey),
    Close(AttemptKey),
}

fn simulate(load: Load) -> Outcome {
    let budget = match load.has_budget {
        true => RetryBudget { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) },
        false => RetryBudget { ratio: 0.0, allowance: 0.0, window: Duration::from_secs(10) },
    };
    let settings = Settings { data_centre: "a".into(), region: vec!["a".into()], budget, seed: 3 };
    let mut forwarder = Forwarder::new(settings);
    let mut model = ReplicaModel::new(load);
    let (mut now, mut out) = (Duration::from_secs(60), Vec::new());
    for requested_at in [Duration::ZERO, now] {
        let listed = Event::Instances { requested_at, count: 6, is_listed: true };
        forwarder.handle(now, listed, &mut out);
    }
    forwarder.handle(now, Event::Configure(Box::new(table())), &mut out);
    forwarder.handle(now, Event::Replicas(replicas()), &mut out);
    let mut scheduled: BinaryHeap<Reverse<(Time, Scheduled)>> = BinaryHeap::new();
    let mut started_at: HashMap<RequestKey, Time> = HashMap::new();
    let (mut count, mut counted, mut sends, mut remote) = (0_usize, 0_usize, 0_usize, 0_usize);
    let mut value = 0.0;
    scheduled.push(Reverse((now, Scheduled::Request)));
    loop {
        let timer = forwarder.next_wakeup().unwrap_or(Time::MAX);
        let next = scheduled.peek().map_or(Time::MAX, |it| it.0.0);
        if timer == Time::MAX && next == Time::MAX {
            break;
        }
        now = now.max(timer.min(next));
        if timer <= next {
            forwarder.handle(now, Event::Tick, &mut out);
        } else {
            let Some(Reverse((_, event))) = scheduled.pop() else { break };
            match event {
                Scheduled::Request if count < REQUESTS => {
                    count += 1;
                    let submission = Submission {
                        host: "h".into(),
                        path: "/".into(),
                        client_timeout: Some(Duration::from_millis(1_200)),
                        fingerprint: 0,
                    };
                    if let Ok(key) = forwarder.submit(now, &submission, &mut out) {
                        started_at.insert(key, now);
                    }
                    let gap = 0.002 + 0.020 * model.rng.f32();
                    scheduled
                        .push(Reverse((now + Duration::from_secs_f32(gap), Scheduled::Request)));
                }
                Scheduled::Request => {}
                Scheduled::Reply(attempt) => {
                    let reply =
                        Reply { status: 200, stamp: Some("stamp".into()), ..Reply::default() };
                    forwarder.handle(now, Event::Replied(attempt, reply), &mut out);
                }
                Scheduled::Close(attempt) => {
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
                        remote += usize::from(!replica.is_multiple_of(3));
                        forwarder.handle(now, Event::Sent(attempt), &mut out);
                        if let Some(at) = model.reply_at(now, replica) {
                            scheduled.push(Reverse((at, Scheduled::Reply(attempt))));
                        }
                    }
                    Action::Abandon { attempt, close_at } => {
                        scheduled.push(Reverse((close_at, Scheduled::Close(attempt))));
                    }
                    Action::Answer { request, answer } => {
                        let took = now - started_at[&request];
                        if started_at.len() <= WARM_UP {
                            continue;
                        }
                        counted += 1;
                        if let Answer::Merged { missing, .. } = answer {
                            let share = (SHARDS - missing) as f32 / SHARDS as f32;
                            let in_time = if took <= OBJECTIVE { 1.0 } else { 0.1 };
                            value += share * share * in_time;
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    let all = (REQUESTS * SHARDS) as f32;
    Outcome {
        value: value / counted as f32,
        extra: sends as f32 / all - 1.0,
        remote: remote as f32 / all,
    }
}

/// A third of the searches over ten shards hits a pause. Hedges must recover at least half of the
/// value lost without them, within the retry budget.
#[test]
fn pauses_are_hedged_within_the_budget() {
    let load = Load { pauses: true, has_budget: true, ..Load::default() };
    let (with, without) = (simulate(load), simulate(Load { has_budget: false, ..load }));
    assert!(with.value >= 0.97, "{with:?}");
    let lost = |it: &Outcome| 1.0 - it.value;
    assert!(lost(&with) <= lost(&without) / 2.0, "{with:?} {without:?}");
    assert!(with.extra <= 0.2, "{with:?}");
}

/// The other data centres are in other regions, and traffic between regions is expensive, so a
/// healthy site is served from its own data centre.
#[test]
fn a_healthy_site_stays_in_its_data_centre() {
    let outcome = simulate(Load { has_budget: true, ..Load::default() });
    assert!(outcome.value >= 0.99, "{outcome:?}");
    assert!(outcome.remote <= 0.1, "{outcome:?}");
}

/// Requests avoid a replica that is ten times slower in favour of another data centre, mostly
/// without hedges.
#[test]
fn requests_avoid_slow_replicas() {
    let load = Load { slow_factor: 10.0, has_budget: true, ..Load::default() };
    let (with, without) = (simulate(load), simulate(Load { has_budget: false, ..load }));
    assert!(with.value >= 0.97, "{with:?}");
    assert!(
        without.value >= 0.9,
        "replica selection alone must recover most of the value: {without:?}"
    );
    assert!(with.extra <= 0.2, "{with:?}");
}

/// One silent shard of ten costs only the value of its part, 0.19, rather than the whole search.
#[test]
fn a_silent_shard_costs_only_its_part() {
    let outcome = simulate(Load { silent_shards: 1, has_budget: true, ..Load::default() });
    assert!(outcome.value >= 0.80, "{outcome:?}");
}

/// Guards against replicas that are avoided for seconds after a pause, although they are as fast as
/// before. A pause moves the requests to other data centres that would have found the local replica
/// paused, and at most as many while the instance can't know yet that it has ended.
#[test]
fn a_pause_moves_requests_only_while_it_lasts() {
    let healthy = simulate(Load { has_budget: true, ..Load::default() });
    let paused = simulate(Load { pauses: true, has_budget: true, ..Load::default() });
    let paused_share = 150.0 / 3_600.0;
    println!("{healthy:?} {paused:?}");
    assert!(paused.remote - healthy.remote <= 2.0 * paused_share, "{healthy:?} {paused:?}");
}
