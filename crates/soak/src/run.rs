//! One run: the traffic, the faults at their times, and the checks.

use std::{
    collections::VecDeque,
    io,
    path::Path,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use rosemarybank_standins::platform_mode::{Behaviour, StoreFault};

use crate::{
    checks::{Evidence, check},
    clients::Clients,
    plan::{Entry, Fault, Sizes, draw},
    proxy::LinkFault,
    site::{Backend, Site},
};

/// Clients of each instance.
const CLIENTS: usize = 4;

/// Time after which a process that was asked to stop must have ended: the grace of its settings.
const GRACE: Duration = Duration::from_secs(6);

/// Time between two looks at what is due.
const LOOK: Duration = Duration::from_millis(10);

/// Time from the drain of a replica to its end.
const LEAVE_AFTER: Duration = Duration::from_secs(5);

/// Time in which an instance is ready again after a start, with the store reachable.
const RESTART: Duration = Duration::from_secs(2);

/// What a run found.
#[derive(Debug)]
pub struct Outcome {
    /// Promises that were broken.
    pub faults: Vec<String>,
    /// Requests of clients.
    pub requests: usize,
    /// Requests that were answered with success.
    pub served: usize,
    /// Faults that were injected.
    pub injected: usize,
}

/// What has to be undone or looked at later.
enum Later {
    Store,
    StoreLink(usize),
    ReplicaLink(usize),
    Replica(usize),
    Slow(usize),
    Continue(usize),
    Start(usize),
    Ended(usize, Instant),
    Leave(Backend),
}

struct Runner {
    site: Site,
    evidence: Evidence,
    later: VecDeque<(Instant, Later)>,
    /// Instances that are stopping, killed or paused, which take no further fault.
    is_busy: Vec<bool>,
}

/// Plays the faults of a seed.
///
/// # Errors
///
/// Fails when the processes can't be started.
pub fn run(seed: u64, sizes: Sizes, dir: &Path, binary: &Path) -> io::Result<Outcome> {
    let site = Site::start(sizes.machines, dir, binary)?;
    let clients = Clients::start(&site.fronts(), CLIENTS, seed);
    let mut runner = Runner {
        is_busy: vec![false; sizes.machines],
        evidence: Evidence::default(),
        site,
        later: VecDeque::new(),
    };
    let plan = draw(seed, sizes);
    let injected = plan.len();
    runner.play(plan, sizes.length, &clients)?;
    let Runner { site, mut evidence, .. } = runner;
    evidence.records = clients.finish();
    evidence.versions = site.versions.clone();
    evidence.runs = std::mem::take(&mut *site.runs.lock().expect("no replica panics"));
    for it in &site.backends {
        it.replica.crash();
    }
    site.store.stop();
    let is_served =
        |it: &&crate::clients::Record| it.answer.as_ref().is_some_and(|it| it.status() == 200);
    let served = evidence.records.iter().filter(is_served).count();
    Ok(Outcome { faults: check(&evidence), requests: evidence.records.len(), served, injected })
}

impl Runner {
    fn play(&mut self, plan: Vec<Entry>, length: Duration, clients: &Clients) -> io::Result<()> {
        let start = Instant::now();
        let mut plan: VecDeque<Entry> = plan.into();
        // What was begun is undone before the end, so that stops are judged.
        while start.elapsed() < length || !self.later.is_empty() {
            while plan.front().is_some_and(|it| it.at <= start.elapsed()) {
                if let Some(entry) = plan.pop_front() {
                    self.inject(entry.fault)?;
                }
            }
            let now = Instant::now();
            for _ in 0..self.later.len() {
                match self.later.pop_front() {
                    Some((at, later)) if at <= now => self.do_later(later)?,
                    Some(it) => self.later.push_back(it),
                    None => {}
                }
            }
            let version = self.site.versions.last().map_or(1, |it| it.0);
            clients.version.store(version, Ordering::Relaxed);
            thread::sleep(LOOK);
        }
        Ok(())
    }

    fn inject(&mut self, fault: Fault) -> io::Result<()> {
        let now = Instant::now();
        match fault {
            Fault::Stop(it) if !self.is_busy[it] => {
                self.is_busy[it] = true;
                self.site.machines[it].signal("-TERM");
                self.later(now, Later::Ended(it, now));
            }
            Fault::Kill(it) if !self.is_busy[it] => self.kill(it, now),
            Fault::KillAll => {
                for it in 0..self.is_busy.len() {
                    if !self.is_busy[it] {
                        self.kill(it, now);
                    }
                }
            }
            Fault::Pause(it, time) if !self.is_busy[it] => {
                self.is_busy[it] = true;
                self.site.machines[it].signal("-STOP");
                self.evidence.machine_faults.push((it, now, now + time));
                self.later(now + time, Later::Continue(it));
            }
            Fault::Stop(_) | Fault::Kill(_) | Fault::Pause(..) => {}
            Fault::Reload(it) => {
                let path = self.site.machines[it].settings_path();
                let text = std::fs::read_to_string(&path)?;
                std::fs::write(&path, format!("{text} "))?;
                self.site.machines[it].signal("-HUP");
            }
            Fault::Store(fault, time) => {
                self.site.store.set_fault(fault);
                self.evidence.store_faults.push((now, now + time));
                self.later(now + time, Later::Store);
            }
            Fault::Compact => self.site.store.compact(),
            Fault::StoreLink(it, fault, time) => {
                self.site.store_links[it].set_fault(fault);
                self.evidence.store_faults.push((now, now + time));
                self.later(now + time, Later::StoreLink(it));
            }
            Fault::ReplicaLink(it, fault, time) => {
                self.site.backends[it].link.set_fault(fault);
                self.evidence.replica_faults.push((now, now + time));
                self.later(now + time, Later::ReplicaLink(it));
            }
            Fault::Replica(it, behaviour, time) => {
                self.site.backends[it].replica.set_behaviour(behaviour);
                self.evidence.replica_faults.push((now, now + time));
                self.later(now + time, Later::Replica(it));
            }
            Fault::Service(it, behaviour, time) => {
                for other in self.others_of_service(it) {
                    self.inject(Fault::Replica(other, behaviour, time))?;
                }
            }
            Fault::Slow(it, time) => {
                self.site.backends[it].replica.set_service_time(Duration::from_millis(250));
                self.later(now + time, Later::Slow(it));
            }
            Fault::Replace(it) => {
                let old = self.site.replace(it)?;
                self.later(now + LEAVE_AFTER, Later::Leave(old));
            }
            Fault::Configure => self.site.configure(),
        }
        Ok(())
    }

    fn do_later(&mut self, later: Later) -> io::Result<()> {
        let now = Instant::now();
        match later {
            Later::Store => self.site.store.set_fault(StoreFault::None),
            Later::StoreLink(it) => self.site.store_links[it].set_fault(LinkFault::None),
            Later::ReplicaLink(it) => self.site.backends[it].link.set_fault(LinkFault::None),
            Later::Replica(it) => {
                self.site.backends[it].replica.set_behaviour(Behaviour::Normal);
            }
            Later::Slow(it) => {
                self.site.backends[it].replica.set_service_time(Duration::from_millis(3));
            }
            Later::Continue(it) => {
                self.site.machines[it].signal("-CONT");
                self.is_busy[it] = false;
            }
            Later::Start(it) => {
                self.site.machines[it].start()?;
                self.evidence.starts.push((it, now));
                self.is_busy[it] = false;
            }
            Later::Ended(it, asked) => {
                let status = self.site.machines[it].wait_exit(Duration::ZERO);
                if status.is_none() && asked.elapsed() < GRACE {
                    self.later(now + LOOK, Later::Ended(it, asked));
                    return Ok(());
                }
                let is_well = status.is_some_and(|it| it.success());
                self.evidence.stops.push((it, asked, is_well));
                self.site.machines[it].kill();
                self.evidence.machine_faults.push((it, now, now + RESTART));
                self.later(now, Later::Start(it));
            }
            Later::Leave(old) => old.replica.leave(),
        }
        Ok(())
    }

    /// The other replicas of the service of a replica.
    fn others_of_service(&self, it: usize) -> Vec<usize> {
        let service = self.site.backends[it].replica.service();
        let all = self.site.backends.iter().enumerate();
        let same = all.filter(|other| other.0 != it && other.1.replica.service() == service);
        same.map(|other| other.0).collect()
    }

    fn kill(&mut self, it: usize, now: Instant) {
        self.is_busy[it] = true;
        self.site.machines[it].kill();
        self.evidence.machine_faults.push((it, now, now + RESTART));
        self.later(now + Duration::from_millis(300), Later::Start(it));
    }

    fn later(&mut self, at: Instant, later: Later) {
        self.later.push_back((at, later));
    }
}
