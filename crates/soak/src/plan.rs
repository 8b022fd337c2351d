//! The faults of a run, drawn from its seed.

use std::time::Duration;

use fastrand::Rng;
use rosemarybank_standins::platform_mode::{Behaviour, StoreFault};

use crate::proxy::LinkFault;

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGTERM and a new start.
    Stop(usize),
    /// SIGKILL and a new start.
    Kill(usize),
    /// SIGKILL of all instances at once, and new starts.
    KillAll,
    /// SIGSTOP, and SIGCONT after the time.
    Pause(usize, Duration),
    /// SIGHUP after the settings file was written again.
    Reload(usize),
    /// The store fails for the time.
    Store(StoreFault, Duration),
    /// The store forgets its history.
    Compact,
    /// One instance is cut from the store for the time.
    StoreLink(usize, LinkFault, Duration),
    /// The links to a replica fail for the time.
    ReplicaLink(usize, LinkFault, Duration),
    /// A replica behaves in this way for the time.
    Replica(usize, Behaviour, Duration),
    /// All replicas of the service of this replica but itself behave in this way for the time.
    Service(usize, Behaviour, Duration),
    /// A replica is slow for the time.
    Slow(usize, Duration),
    /// A replica drains, leaves, and another takes its place.
    Replace(usize),
    /// A new configuration.
    Configure,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Time since the start of the traffic.
    pub at: Duration,
    /// What is done.
    pub fault: Fault,
}

/// Sizes of a run.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Instances of the tier.
    pub machines: usize,
    /// Replicas.
    pub replicas: usize,
    /// Length of the traffic.
    pub length: Duration,
}

/// Draws the faults of a seed, in the order of their times. Faults come in series and overlap.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_soak::plan::{Sizes, draw};
///
/// let sizes = Sizes { machines: 3, replicas: 10, length: Duration::from_secs(8) };
/// assert_eq!(draw(7, sizes), draw(7, sizes));
/// ```
#[must_use]
pub fn draw(seed: u64, sizes: Sizes) -> Vec<Entry> {
    let mut rng = Rng::with_seed(seed);
    // Two faults a second: most of them overlap with others, and quiet spells remain.
    let count = (sizes.length.as_secs_f32() * 2.0) as usize + 1;
    let last = sizes.length.saturating_sub(Duration::from_secs(2)).as_millis() as u64;
    let mut entries: Vec<Entry> = Vec::new();
    while entries.len() < count {
        let at = Duration::from_millis(rng.u64(500..last.max(501)));
        let fault = one(&mut rng, sizes);
        let repeats = if rng.u8(0..4) == 0 { rng.u32(2..4) } else { 1 };
        for repeat in 0..repeats {
            entries.push(Entry { at: at + Duration::from_millis(400) * repeat, fault });
        }
    }
    entries.sort_by_key(|it| it.at);
    entries
}

fn one(rng: &mut Rng, sizes: Sizes) -> Fault {
    let machine = rng.usize(..sizes.machines);
    let replica = rng.usize(..sizes.replicas);
    let time = Duration::from_millis(rng.u64(300..3_500));
    match rng.u8(0..22) {
        0 | 1 => Fault::Stop(machine),
        2 => Fault::Kill(machine),
        3 => Fault::KillAll,
        4 | 5 => Fault::Pause(machine, time),
        6 => Fault::Reload(machine),
        7 | 8 => Fault::Store(store_fault(rng), time),
        9 => Fault::Compact,
        10 => Fault::StoreLink(machine, link_fault(rng), time),
        11 | 12 => Fault::ReplicaLink(replica, link_fault(rng), time),
        13 | 14 => Fault::Replica(replica, behaviour(rng), time),
        15 => Fault::Slow(replica, time),
        18..=21 => Fault::Service(replica, behaviour(rng), time),
        16 => Fault::Replace(replica),
        _ => Fault::Configure,
    }
}

fn store_fault(rng: &mut Rng) -> StoreFault {
    let all = [
        StoreFault::Busy,
        StoreFault::Reset,
        StoreFault::Silent,
        StoreFault::LoseReplies,
        StoreFault::Slow(Duration::from_millis(200)),
    ];
    all[rng.usize(..all.len())]
}

fn link_fault(rng: &mut Rng) -> LinkFault {
    let all = [
        LinkFault::Delay(Duration::from_millis(60)),
        LinkFault::Reset,
        LinkFault::Silent,
        LinkFault::NoReplies,
        LinkFault::NoRequests,
    ];
    all[rng.usize(..all.len())]
}

fn behaviour(rng: &mut Rng) -> Behaviour {
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
