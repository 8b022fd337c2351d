//! The tree in which hundreds of instances pass the platform state on: the decisions of the feed and
//! the pollers, with simple models of the network and the store.

use std::{collections::BTreeMap, time::Duration};

use fastrand::Rng;
use rosemarybank_adapter::{calls::Call, instances};
use rosemarybank_coordination::{
    feed::{FeedPosition, LONG_POLL_WAIT, is_answer_due},
    source::{Member, Source, SourceSelector, Start},
};
use rosemarybank_daemon::platform::poller::{Poller, Resource, Update};
use rosemarybank_protocol::prelude::*;
use serde_json::json;

const STEP: Duration = Duration::from_millis(10);
const SWEEP: Duration = Duration::from_millis(50);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_DELAY: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Time {
    Duration::from_millis(ms)
}

/// What happens to an instance or the store.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The process is killed; a new one starts after the duration.
    Kill(usize, Duration),
    /// The store turns the instance away for the duration.
    Cut(usize, Duration),
    /// The store is down for the duration.
    StoreDown(Duration),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Feed {
    Idle { next_at: Time },
    InFlight { source: usize, sent_at: Time },
}

struct Node {
    selector: SourceSelector,
    started_at: Time,
    epoch: u64,
    feed: Feed,
    /// Requests of followers: the follower, when it arrived and its position.
    held: Vec<(usize, Time, FeedPosition)>,
    received: (Option<usize>, FeedPosition),
    /// Pollers of the replicas, the configuration and the instances.
    pollers: [Poller; 3],
    /// Whether each poller has a call in flight.
    is_calling: [bool; 3],
    cut_until: Time,
}

enum Message {
    Request {
        from: usize,
        position: FeedPosition,
    },
    Response {
        from: usize,
        position: FeedPosition,
        age: Option<Duration>,
        members_age: Option<Duration>,
        members: Option<Vec<Member>>,
    },
    CallDone {
        poller: usize,
        called_at: Time,
        epoch: u64,
        call: Call,
    },
}

struct Fleet {
    members: Vec<Member>,
    /// Number of registered instances: the first ones of `members`.
    registered: usize,
    /// The store's list of them.
    list: (usize, String),
    max_age: Duration,
    nodes: Vec<Node>,
    messages: BTreeMap<(Time, u64), (usize, Message)>,
    sent: u64,
    now: Time,
    store_down_until: Time,
    rng: Rng,
    /// Calls to the store in each second.
    calls: Vec<usize>,
    /// Lists of the instances in each second.
    lists: Vec<usize>,
    /// Greatest age of an instance's state in each second, not counting instances that just started.
    ages: Vec<Duration>,
}

impl Fleet {
    /// A fleet in six data centres that starts within 300 ms.
    fn new(count: usize, max_age: Duration) -> Fleet {
        let members: Vec<Member> = (0..count)
            .map(|it| Member {
                id: format!("m{it}").into(),
                addr: "10.0.0.1:1".parse().unwrap(),
                data_centre: format!("dc{}", it % 6).into(),
                millicores: 120 + 130 * (it as u32 % 4),
            })
            .collect();
        let mut fleet = Fleet {
            registered: count,
            list: (0, String::new()),
            members,
            max_age,
            nodes: Vec::new(),
            messages: BTreeMap::new(),
            sent: 0,
            now: Time::ZERO,
            store_down_until: Time::ZERO,
            rng: Rng::with_seed(7),
            calls: Vec::new(),
            lists: Vec::new(),
            ages: Vec::new(),
        };
        for index in 0..count {
            let started_at = ms(fleet.rng.u64(..300));
            let node = fleet.node(index, started_at, Start::First);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn node(&mut self, index: usize, started_at: Time, start: Start) -> Node {
        let own = &self.members[index];
        let mut selector =
            SourceSelector::new(own.id.clone(), own.data_centre.clone(), self.max_age, start);
        selector.set_members(Time::ZERO, self.members.clone());
        Node {
            selector,
            started_at,
            epoch: self.rng.u64(1..),
            feed: Feed::Idle { next_at: Time::ZERO },
            held: Vec::new(),
            received: (None, FeedPosition::default()),
            pollers: [Resource::Replicas, Resource::Config, Resource::Instances]
                .map(|it| Poller::new(it, self.members[index].clone(), start)),
            is_calling: [false; 3],
            cut_until: Time::ZERO,
        }
    }

    fn post(&mut self, delay: Duration, to: usize, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), (to, message));
    }

    /// Time within the process of a node; `None` while it is down.
    fn up(&self, index: usize) -> Option<Time> {
        self.now.checked_sub(self.nodes[index].started_at)
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(index, down) => {
                let mut node = self.node(index, self.now + down, Start::Later);
                node.cut_until = self.nodes[index].cut_until;
                self.nodes[index] = node;
            }
            Fault::Cut(index, time) => self.nodes[index].cut_until = self.now + time,
            Fault::StoreDown(time) => self.store_down_until = self.now + time,
        }
    }

    /// The instance that all others would follow.
    fn reader(&self) -> usize {
        let is_reader = |it: &usize| self.nodes[*it].selector.source(self.now) == Source::Store;
        (0..self.nodes.len()).find(is_reader).unwrap()
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            while let Some(first) = self.messages.first_entry().filter(|it| it.key().0 <= self.now)
            {
                let (to, message) = first.remove();
                self.deliver(to, message);
            }
            for index in 0..self.nodes.len() {
                let Some(up) = self.up(index) else { continue };
                self.answer(index, up);
                if up.as_millis() % SWEEP.as_millis() < STEP.as_millis() {
                    self.sweep(index, up);
                }
            }
            self.now += STEP;
        }
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let Some(up) = self.up(to) else { return };
        match message {
            Message::Request { from, position } => {
                self.nodes[to].held.push((from, up, position));
            }
            Message::Response { from, position, age, members_age, members } => {
                let node = &mut self.nodes[to];
                if !matches!(node.feed, Feed::InFlight { source, .. } if source == from) {
                    return;
                }
                node.feed = Feed::Idle { next_at: up };
                let requested_at = members_age.map(|it| up.saturating_sub(it));
                if let Some(requested_at) = requested_at
                    && node.selector.receive_members(
                        &mut node.received.1,
                        &position,
                        requested_at,
                        members,
                    )
                {
                    let members = node.selector.members();
                    node.pollers[2].instances_received(up, requested_at, members);
                }
                match age.filter(|it| *it <= node.selector.max_source_age()) {
                    Some(age) => {
                        node.selector.record_read(up.saturating_sub(age));
                        let FeedPosition { list_seq, members_seq, .. } = node.received.1;
                        let received = FeedPosition { list_seq, members_seq, ..position };
                        node.received = (Some(from), received);
                        self.ask(to, up);
                    }
                    None => {
                        self.drop_source(to, up, from);
                        let id = self.members[from].id.clone();
                        self.nodes[to].selector.record_stale(up, &id);
                    }
                }
            }
            Message::CallDone { poller, called_at, epoch, call } => {
                let is_down = self.now < self.store_down_until;
                let body = self.store_reply(&call);
                let node = &mut self.nodes[to];
                if node.epoch != epoch {
                    return;
                }
                node.is_calling[poller] = false;
                if is_down || self.now < node.cut_until {
                    return node.pollers[poller].call_failed(up);
                }
                for update in node.pollers[poller].handle_reply(up, 200, body.as_bytes()) {
                    if let Update::Instances(members) = update {
                        node.selector.set_members(called_at, members);
                        node.received.1.members_seq = 0;
                    }
                }
                if poller == 0 {
                    node.selector.record_own_read(called_at);
                }
            }
        }
    }

    fn store_reply(&mut self, call: &Call) -> String {
        match call.target.as_str() {
            it if it.contains("watch") => r#"{"events":[],"at":5}"#.to_owned(),
            it if it.contains("instances") => {
                if self.list.0 != self.registered {
                    let entry = |it: &Member| json!({"meta": {"name": it.id}, "spec": instances::encode(it)});
                    let items: Vec<_> = self.members[..self.registered].iter().map(entry).collect();
                    self.list = (self.registered, json!({"items": items, "at": 5}).to_string());
                }
                self.list.1.clone()
            }
            _ => r#"{"items":[],"at":5}"#.to_owned(),
        }
    }

    fn answer(&mut self, index: usize, up: Time) {
        let node = &mut self.nodes[index];
        if node.held.is_empty() {
            return;
        }
        let position = FeedPosition {
            epoch: node.epoch,
            read_seq: node.selector.read_seq(),
            list_seq: node.selector.list_seq(),
            members_seq: node.selector.members_seq(),
            ..FeedPosition::default()
        };
        let state = node.selector.source_state(up, position);
        let (due, held) = std::mem::take(&mut node.held)
            .into_iter()
            .partition::<Vec<_>, _>(|it| is_answer_due(up, it.1, &it.2, state));
        node.held = held;
        let age = node.selector.age(up);
        let members_age = node.selector.members_age(up);
        for (follower, _, known) in due {
            let all = self.nodes[index].selector.members();
            let members = known.lacks_members(&position).then(|| all.to_vec());
            let response = Message::Response { from: index, position, age, members_age, members };
            let delay = ms(self.rng.u64(1..20));
            self.post(delay, follower, response);
        }
    }

    fn sweep(&mut self, index: usize, up: Time) {
        let node = &mut self.nodes[index];
        let second = self.now.as_secs() as usize;
        self.calls.resize(self.calls.len().max(second + 1), 0);
        self.lists.resize(self.calls.len(), 0);
        self.ages.resize(self.ages.len().max(second + 1), Duration::ZERO);
        if up >= ms(3_000) {
            let age = node.selector.age(up).unwrap_or(up);
            self.ages[second] = self.ages[second].max(age);
        }
        let reads_store = node.selector.should_read_store(up);
        let urgency = node.selector.urgency();
        for poller in 0..3 {
            let node = &mut self.nodes[index];
            node.pollers[poller].set_urgency(urgency);
            match (poller, reads_store) {
                (2, _) => node.pollers[2].set_reads_store(reads_store),
                (_, true) => node.pollers[poller].resume(up),
                (_, false) => node.pollers[poller].suspend(),
            }
            if node.is_calling[poller] {
                continue;
            }
            let Some(timed) = node.pollers[poller].next_call(up) else { continue };
            node.is_calling[poller] = true;
            let is_watch = timed.call.target.contains("watch");
            let is_answered = self.now >= self.store_down_until && self.now >= node.cut_until;
            let wait = if poller == 1 && is_watch && is_answered { ms(2_500) } else { ms(20) };
            let epoch = node.epoch;
            self.calls[second] += usize::from(poller < 2);
            self.lists[second] += usize::from(poller == 2);
            let done = Message::CallDone { poller, called_at: up, epoch, call: timed.call };
            self.post(wait, index, done);
        }
        match self.nodes[index].feed {
            Feed::InFlight { source, sent_at }
                if up >= sent_at + LONG_POLL_WAIT + RESPONSE_TIMEOUT =>
            {
                self.drop_source(index, up, source);
            }
            Feed::Idle { next_at } if up >= next_at => self.ask(index, up),
            _ => {}
        }
    }

    fn ask(&mut self, index: usize, up: Time) {
        let node = &mut self.nodes[index];
        let Some(member) = node.selector.instance_to_follow(up) else { return };
        let source: usize = member.id[1..].parse().unwrap();
        if node.received.0 != Some(source) {
            node.received = (Some(source), FeedPosition::default());
        }
        let position = node.received.1;
        node.feed = Feed::InFlight { source, sent_at: up };
        if self.up(source).is_none() {
            // The connection is refused.
            return self.drop_source(index, up, source);
        }
        let delay = ms(self.rng.u64(1..20));
        self.post(delay, source, Message::Request { from: index, position });
    }

    fn drop_source(&mut self, index: usize, up: Time, source: usize) {
        let id = self.members[source].id.clone();
        let node = &mut self.nodes[index];
        node.selector.record_failure(up, &id);
        node.feed = Feed::Idle { next_at: up + RETRY_DELAY };
    }

    /// Greatest number of calls in a second, from the second `from` on.
    fn worst_second(&self, from: usize) -> usize {
        self.calls[from..].iter().copied().max().unwrap()
    }

    fn worst_age(&self, from: usize) -> Duration {
        self.ages[from..].iter().copied().max().unwrap()
    }
}

const SIZES: [usize; 2] = [300, 700];

/// Guards against followers that read the store at the same moment although nothing happened, because
/// the age of their state grew by a fixed wait on each level of the tree.
#[test]
fn one_instance_reads_the_store_while_nothing_happens() {
    for count in SIZES {
        let mut fleet = Fleet::new(count, ms(1_500));
        fleet.run(ms(30_000));
        assert!(fleet.calls[0] <= 20, "{count} instances: {} calls at the start", fleet.calls[0]);
        assert!(fleet.worst_second(5) <= 4, "{count} instances: {:?}", fleet.calls);
        assert!(fleet.worst_age(4) < ms(1_000), "{count} instances: {:?}", fleet.ages);
    }
}

/// The instances that others follow are killed or turned away by the store. All others find another
/// source before their state is too old, without a rush on the store.
#[test]
fn followers_find_another_source_without_the_store() {
    for count in SIZES {
        for fault in [Fault::Kill as fn(usize, Duration) -> Fault, Fault::Cut] {
            let mut fleet = Fleet::new(count, ms(3_000));
            fleet.run(ms(8_000));
            let reader = fleet.reader();
            fleet.apply(fault(reader, ms(6_000)));
            fleet.run(ms(1_000));
            for index in (0..count).filter(|it| it % 50 == 7) {
                fleet.apply(fault(index, ms(4_000)));
            }
            fleet.run(ms(15_000));
            let what = format!("{count} instances, {:?}", fault(reader, ms(6_000)));
            println!("{what}: {:?}", &fleet.calls[8..]);
            assert!(fleet.worst_second(8) <= count / 10, "{what}: {:?}", &fleet.calls[8..]);
            assert!(fleet.worst_age(8) < ms(3_000), "{what}: {:?}", &fleet.ages[8..]);
        }
    }
}

/// While the store is down, a few instances call it often and the others rarely. After its return, the
/// state is current again within two seconds, and one instance reads it.
#[test]
fn an_outage_of_the_store_causes_no_lasting_rush() {
    for count in SIZES {
        let mut fleet = Fleet::new(count, ms(3_000));
        fleet.run(ms(8_000));
        fleet.apply(Fault::StoreDown(ms(8_000)));
        fleet.run(ms(20_000));
        println!("{count} instances: {:?}", &fleet.calls[8..]);
        let calls = &fleet.calls[8..];
        assert!(fleet.worst_second(8) <= 3 * count, "{count} instances: {calls:?}");
        let outage: usize = fleet.calls[8..16].iter().sum();
        assert!(outage <= 8 * count, "{count} instances, {outage} calls: {calls:?}");
        assert!(fleet.worst_second(20) <= 4, "{count} instances: {calls:?}");
        assert!(fleet.worst_age(18) < ms(3_000), "{count} instances: {:?}", &fleet.ages[8..]);
    }
}

/// All instances are killed and start at the same moment. Few of them need the store.
#[test]
fn a_restart_of_all_instances_needs_few_calls() {
    for count in SIZES {
        let mut fleet = Fleet::new(count, ms(3_000));
        fleet.run(ms(8_000));
        for index in 0..count {
            let down = ms(1_000 + fleet.rng.u64(..400));
            fleet.apply(Fault::Kill(index, down));
        }
        fleet.run(ms(10_000));
        println!("{count} instances: {:?}", &fleet.calls[8..]);
        assert!(fleet.worst_second(8) <= count, "{:?}", &fleet.calls[8..]);
        assert!(fleet.worst_second(13) <= 4, "{:?}", &fleet.calls[8..]);
    }
}

/// Guards against each instance listing all instances at intervals. The one that reads the store lists
/// them, and the others know of a new instance soon afterwards.
#[test]
fn one_instance_lists_the_instances_for_all() {
    for count in SIZES {
        let mut fleet = Fleet::new(count, ms(3_000));
        fleet.registered = count - 1;
        fleet.run(ms(12_000));
        fleet.registered = count;
        fleet.run(ms(8_000));
        let known = fleet.nodes.iter().map(|it| it.selector.member_count()).min();
        assert_eq!(known, Some(count), "{count} instances");
        fleet.run(ms(11_000));
        let lists = &fleet.lists[10..];
        println!("{count} instances: {lists:?}");
        assert!(lists.iter().sum::<usize>() <= lists.len(), "{count} instances: {lists:?}");
        let oldest = fleet
            .nodes
            .iter()
            .enumerate()
            .map(|(index, it)| it.selector.members_age(fleet.up(index).unwrap()).unwrap());
        assert!(oldest.max() < Some(ms(8_000)), "{count} instances");
    }
}
