//! Generates the fault schedule of a run from its seed.

use std::time::Duration;

use fastrand::Rng;
use rosemarybank_standins::platform_mode::{Behaviour, BodyCoding, StoreFault};

use crate::{proxy::LinkFault, site::HOSTILE_MEMORY_MB};

/// Largest legal reply in bytes on an instance with the memory of hostile runs.
const MAX_REPLY_LEN: usize = (HOSTILE_MEMORY_MB as usize) << 12;

/// A fault to inject. Instances and replicas are identified by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Stops an instance with SIGTERM and restarts it.
    Stop(usize),
    /// Kills an instance with SIGKILL and restarts it.
    Kill(usize),
    /// Kills all instances at once with SIGKILL and restarts them.
    KillAll,
    /// Pauses an instance with SIGSTOP, and resumes it with SIGCONT after the duration.
    Pause(usize, Duration),
    /// Appends a space to the settings file of an instance and sends SIGHUP.
    Reload(usize),
    /// Applies a fault to the store for the duration.
    Store(StoreFault, Duration),
    /// Discards the change history of the store.
    Compact,
    /// Applies a fault to the link between an instance and the store for the duration.
    StoreLink(usize, LinkFault, Duration),
    /// Applies a fault to the link to a replica for the duration.
    ReplicaLink(usize, LinkFault, Duration),
    /// Makes a replica misbehave for the duration.
    Replica(usize, Behaviour, Duration),
    /// Makes all other replicas of this replica's service misbehave for the duration.
    Service(usize, Behaviour, Duration),
    /// Increases the service time of a replica for the duration.
    Slow(usize, Duration),
    /// Drains and removes a replica and starts another one in its place.
    Replace(usize),
    /// Publishes a new configuration version.
    Configure,
}

/// A fault and the time at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time since the start of the traffic.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// What the replicas of a run do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// They fail in the usual ways.
    #[default]
    Usual,
    /// More and more of them, and the store, also send replies without end to a crowd of clients.
    Hostile,
}

/// Size and duration of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunSize {
    /// Number of instances.
    pub instances: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Duration of the traffic.
    pub length: Duration,
    /// What the replicas do.
    pub mode: Mode,
}

/// Generates the fault schedule of a seed, sorted by time. Faults may repeat in short bursts and
/// overlap.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_soak::plan::{Mode, RunSize, generate_plan};
///
/// let length = Duration::from_secs(8);
/// let size = RunSize { instances: 3, replicas: 10, length, mode: Mode::Usual };
/// assert_eq!(generate_plan(7, size), generate_plan(7, size));
/// ```
#[must_use]
pub fn generate_plan(seed: u64, size: RunSize) -> Vec<ScheduledFault> {
    let mut rng = Rng::with_seed(seed);
    // At two faults per second, most faults overlap and some fault-free periods remain.
    let count = (size.length.as_secs_f32() * 2.0) as usize + 1;
    let last = size.length.saturating_sub(Duration::from_secs(2)).as_millis() as u64;
    let mut faults: Vec<ScheduledFault> = Vec::new();
    while faults.len() < count {
        let at = Duration::from_millis(rng.u64(500..last.max(501)));
        let fault = random_fault(&mut rng, size);
        let repeats = if rng.u8(0..4) == 0 { rng.u32(2..4) } else { 1 };
        for repeat in 0..repeats {
            faults.push(ScheduledFault { at: at + Duration::from_millis(400) * repeat, fault });
        }
    }
    if size.mode == Mode::Hostile {
        faults.extend(hostile_faults(&mut rng, size, last));
    }
    faults.sort_by_key(|it| it.at);
    faults
}

/// Generates replies without end of the store, and of one replica, two, four and so on.
fn hostile_faults(rng: &mut Rng, size: RunSize, last: u64) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut add = |at, fault| faults.push(ScheduledFault { at: Duration::from_millis(at), fault });
    let (mut at, mut count) = (rng.u64(300..1_000), 1);
    while at < last {
        let behaviour = random_endless_behaviour(rng);
        let duration = Duration::from_millis(rng.u64(1_000..3_500));
        for _ in 0..count {
            add(at, Fault::Replica(rng.usize(..size.replicas), behaviour, duration));
        }
        if rng.u8(0..4) == 0 {
            add(at, Fault::Store(StoreFault::Endless, duration));
        }
        at += rng.u64(300..1_500);
        count = (count * 2).min(size.replicas);
    }
    faults
}

fn random_endless_behaviour(rng: &mut Rng) -> Behaviour {
    let coding = [BodyCoding::Length, BodyCoding::Chunked, BodyCoding::UntilClose][rng.usize(..3)];
    match rng.u8(0..6) {
        // A body until the end of the connection would be complete when the fault ends.
        0..=2 if coding != BodyCoding::UntilClose => {
            Behaviour::UnfinishedBody(coding, rng.usize(MAX_REPLY_LEN / 2..MAX_REPLY_LEN))
        }
        0..=3 => Behaviour::EndlessBody(coding),
        4 => Behaviour::EndlessHead,
        _ => Behaviour::EndlessInterim,
    }
}

fn random_fault(rng: &mut Rng, size: RunSize) -> Fault {
    let instance = rng.usize(..size.instances);
    let replica = rng.usize(..size.replicas);
    let duration = Duration::from_millis(rng.u64(300..3_500));
    match rng.u8(0..22) {
        0 | 1 => Fault::Stop(instance),
        2 => Fault::Kill(instance),
        3 => Fault::KillAll,
        4 | 5 => Fault::Pause(instance, duration),
        6 => Fault::Reload(instance),
        7 | 8 => Fault::Store(random_store_fault(rng), duration),
        9 => Fault::Compact,
        10 => Fault::StoreLink(instance, random_link_fault(rng), duration),
        11 | 12 => Fault::ReplicaLink(replica, random_link_fault(rng), duration),
        13 | 14 => Fault::Replica(replica, random_behaviour(rng), duration),
        15 => Fault::Slow(replica, duration),
        18..=21 => Fault::Service(replica, random_behaviour(rng), duration),
        16 => Fault::Replace(replica),
        _ => Fault::Configure,
    }
}

fn random_store_fault(rng: &mut Rng) -> StoreFault {
    let all = [
        StoreFault::Busy,
        StoreFault::Reset,
        StoreFault::Silent,
        StoreFault::LoseReplies,
        StoreFault::Slow(Duration::from_millis(200)),
    ];
    all[rng.usize(..all.len())]
}

fn random_link_fault(rng: &mut Rng) -> LinkFault {
    let all = [
        LinkFault::Delay(Duration::from_millis(60)),
        LinkFault::Reset,
        LinkFault::Silent,
        LinkFault::NoReplies,
        LinkFault::NoRequests,
    ];
    all[rng.usize(..all.len())]
}

fn random_behaviour(rng: &mut Rng) -> Behaviour {
    let all = [
        Behaviour::Refuse,
        Behaviour::Break,
        Behaviour::Fail,
        Behaviour::Hang,
        Behaviour::Truncate,
        Behaviour::Extra,
        Behaviour::ExtraUnnamed,
        Behaviour::Trail,
        Behaviour::Unframed,
    ];
    all[rng.usize(..all.len())]
}
