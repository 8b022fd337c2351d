//! Executes one run: starts the traffic, injects the scheduled faults and runs the checks.

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
    checks::{Observations, check},
    clients::Clients,
    plan::{Fault, Mode, RunSize, ScheduledFault, generate_plan},
    proxy::LinkFault,
    site::{Backend, Site},
};

/// Number of clients for each instance, and in hostile runs.
const CLIENTS_PER_INSTANCE: usize = 4;
const HOSTILE_CLIENTS_PER_INSTANCE: usize = 80;

/// Time within which an instance must exit after SIGTERM: the grace period of its settings.
const STOP_GRACE: Duration = Duration::from_secs(6);

/// Interval at which due faults and follow-ups are executed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time from the start of a replica's drain until it leaves.
const DRAIN_DURATION: Duration = Duration::from_secs(5);

/// Time within which a restarted instance becomes ready if the store is reachable.
const RESTART_DURATION: Duration = Duration::from_secs(2);

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Violated guarantees, one line each.
    pub violations: Vec<String>,
    /// Number of requests that clients recorded.
    pub requests: usize,
    /// Number of requests with status 200.
    pub served: usize,
    /// Number of scheduled faults, including those skipped because their instance was down.
    pub injected: usize,
}

/// Scheduled end of a fault, or check that follows it.
enum Followup {
    RestoreStore,
    RestoreStoreLink(usize),
    RestoreReplicaLink(usize),
    RestoreReplica(usize),
    RestoreServiceTime(usize),
    Resume(usize),
    Restart(usize),
    AwaitExit(usize, Instant),
    Leave(Backend),
}

struct Runner {
    site: Site,
    observations: Observations,
    followups: VecDeque<(Instant, Followup)>,
    /// Instances that are stopping, killed or paused. Further stops, kills and pauses skip them.
    is_down: Vec<bool>,
}

/// Executes the fault schedule of a seed.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub fn run(seed: u64, size: RunSize, dir: &Path, binary: &Path) -> io::Result<Outcome> {
    let site = Site::start(size, dir, binary)?;
    let clients_per_instance = match size.mode {
        Mode::Usual => CLIENTS_PER_INSTANCE,
        Mode::Hostile => HOSTILE_CLIENTS_PER_INSTANCE,
    };
    let clients = Clients::start(&site.front_addrs(), clients_per_instance, seed);
    let mut runner = Runner {
        is_down: vec![false; size.instances],
        observations: Observations::default(),
        site,
        followups: VecDeque::new(),
    };
    let plan = generate_plan(seed, size);
    let injected = plan.len();
    runner.execute(plan, size.length, &clients)?;
    (0..size.instances).for_each(|it| runner.observe_memory(it));
    let Runner { site, mut observations, .. } = runner;
    observations.records = clients.finish();
    observations.versions = site.versions.clone();
    observations.runs = std::mem::take(&mut *site.runs.lock().expect("no replica panics"));
    for it in &site.backends {
        it.replica.crash();
    }
    site.store.stop();
    let is_served = |it: &&crate::clients::RequestRecord| {
        it.answer.as_ref().is_some_and(|it| it.status() == 200)
    };
    let served = observations.records.iter().filter(is_served).count();
    Ok(Outcome {
        violations: check(&observations),
        requests: observations.records.len(),
        served,
        injected,
    })
}

impl Runner {
    fn execute(
        &mut self,
        plan: Vec<ScheduledFault>,
        length: Duration,
        clients: &Clients,
    ) -> io::Result<()> {
        let start = Instant::now();
        let mut plan: VecDeque<ScheduledFault> = plan.into();
        // All follow-ups are executed before the end, so that every stop is checked.
        while start.elapsed() < length || !self.followups.is_empty() {
            while plan.front().is_some_and(|it| it.at <= start.elapsed()) {
                if let Some(entry) = plan.pop_front() {
                    self.inject(entry.fault)?;
                }
            }
            let now = Instant::now();
            for _ in 0..self.followups.len() {
                match self.followups.pop_front() {
                    Some((at, followup)) if at <= now => self.run_followup(followup)?,
                    Some(it) => self.followups.push_back(it),
                    None => {}
                }
            }
            let version = self.site.versions.last().map_or(1, |it| it.0);
            clients.version.store(version, Ordering::Relaxed);
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn inject(&mut self, fault: Fault) -> io::Result<()> {
        let now = Instant::now();
        match fault {
            Fault::Stop(it) if !self.is_down[it] => {
                self.is_down[it] = true;
                self.observe_memory(it);
                self.site.instances[it].signal("-TERM");
                self.schedule(now, Followup::AwaitExit(it, now));
            }
            Fault::Kill(it) if !self.is_down[it] => self.kill(it, now),
            Fault::KillAll => {
                for it in 0..self.is_down.len() {
                    if !self.is_down[it] {
                        self.kill(it, now);
                    }
                }
            }
            Fault::Pause(it, duration) if !self.is_down[it] => {
                self.is_down[it] = true;
                self.site.instances[it].signal("-STOP");
                self.observations.instance_faults.push((it, now, now + duration));
                self.schedule(now + duration, Followup::Resume(it));
            }
            Fault::Stop(_) | Fault::Kill(_) | Fault::Pause(..) => {}
            Fault::Reload(it) => {
                let path = self.site.instances[it].settings_path();
                let text = std::fs::read_to_string(&path)?;
                std::fs::write(&path, format!("{text} "))?;
                self.site.instances[it].signal("-HUP");
            }
            Fault::Store(fault, duration) => {
                self.site.store.set_fault(fault);
                self.observations.store_faults.push((now, now + duration));
                self.schedule(now + duration, Followup::RestoreStore);
            }
            Fault::Compact => self.site.store.compact(),
            Fault::StoreLink(it, fault, duration) => {
                self.site.store_links[it].set_fault(fault);
                self.observations.store_faults.push((now, now + duration));
                self.schedule(now + duration, Followup::RestoreStoreLink(it));
            }
            Fault::ReplicaLink(it, fault, duration) => {
                self.site.backends[it].link.set_fault(fault);
                self.observations.replica_faults.push((now, now + duration));
                self.schedule(now + duration, Followup::RestoreReplicaLink(it));
            }
            Fault::Replica(it, behaviour, duration) => {
                self.site.backends[it].replica.set_behaviour(behaviour);
                self.observations.replica_faults.push((now, now + duration));
                self.schedule(now + duration, Followup::RestoreReplica(it));
            }
            Fault::Service(it, behaviour, duration) => {
                for other in self.other_replicas_of_service(it) {
                    self.inject(Fault::Replica(other, behaviour, duration))?;
                }
            }
            Fault::Slow(it, duration) => {
                self.site.backends[it].replica.set_service_time(Duration::from_millis(250));
                self.schedule(now + duration, Followup::RestoreServiceTime(it));
            }
            Fault::Replace(it) => {
                let old = self.site.replace(it)?;
                self.schedule(now + DRAIN_DURATION, Followup::Leave(old));
            }
            Fault::Configure => self.site.publish_next_config(),
        }
        Ok(())
    }

    fn run_followup(&mut self, followup: Followup) -> io::Result<()> {
        let now = Instant::now();
        match followup {
            Followup::RestoreStore => self.site.store.set_fault(StoreFault::None),
            Followup::RestoreStoreLink(it) => self.site.store_links[it].set_fault(LinkFault::None),
            Followup::RestoreReplicaLink(it) => {
                self.site.backends[it].link.set_fault(LinkFault::None)
            }
            Followup::RestoreReplica(it) => {
                self.site.backends[it].replica.set_behaviour(Behaviour::Normal);
            }
            Followup::RestoreServiceTime(it) => {
                self.site.backends[it].replica.set_service_time(Duration::from_millis(3));
            }
            Followup::Resume(it) => {
                self.site.instances[it].signal("-CONT");
                self.is_down[it] = false;
            }
            Followup::Restart(it) => {
                self.site.instances[it].start()?;
                self.observations.starts.push((it, now));
                self.is_down[it] = false;
            }
            Followup::AwaitExit(it, requested_at) => {
                let status = self.site.instances[it].wait_exit(Duration::ZERO);
                if status.is_none() && requested_at.elapsed() < STOP_GRACE {
                    self.schedule(now + POLL_INTERVAL, Followup::AwaitExit(it, requested_at));
                    return Ok(());
                }
                let exited_cleanly = status.is_some_and(|it| it.success());
                self.observations.stops.push((it, requested_at, exited_cleanly));
                self.site.instances[it].kill();
                self.observations.instance_faults.push((it, now, now + RESTART_DURATION));
                self.schedule(now, Followup::Restart(it));
            }
            Followup::Leave(old) => old.replica.leave(),
        }
        Ok(())
    }

    /// Returns the indices of the other replicas of a replica's service.
    fn other_replicas_of_service(&self, it: usize) -> Vec<usize> {
        let service = self.site.backends[it].replica.service();
        let all = self.site.backends.iter().enumerate();
        let same = all.filter(|other| other.0 != it && other.1.replica.service() == service);
        same.map(|other| other.0).collect()
    }

    /// Records the peak memory of an instance, before its process ends.
    fn observe_memory(&mut self, it: usize) {
        // A process that has just ended has none any more.
        if let Ok(peak_kb) = self.site.instances[it].peak_memory_kb() {
            self.observations.memory.push((it, peak_kb, self.site.memory_mb));
        }
    }

    fn kill(&mut self, it: usize, now: Instant) {
        self.is_down[it] = true;
        self.observe_memory(it);
        self.site.instances[it].kill();
        self.observations.instance_faults.push((it, now, now + RESTART_DURATION));
        self.schedule(now + Duration::from_millis(300), Followup::Restart(it));
    }

    fn schedule(&mut self, at: Instant, followup: Followup) {
        self.followups.push_back((at, followup));
    }
}
