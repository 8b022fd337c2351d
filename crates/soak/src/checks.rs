//! Compares what clients and replicas saw with what the tier promises.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use rosemarybank_standins::platform_mode::{
    Execution, MISSING_PARTS, PART_STAMPS, SERVER_STAMP, replica::records,
};

use crate::{
    clients::{Asked, Record, WAIT_MS},
    site::{BUDGET, SHARDS},
};

/// Time after a version in which it comes into force, when nothing disturbs the store.
const APPLIED_WITHIN: Duration = Duration::from_secs(3);

/// Time for which a disturbance excuses what depends on the store.
const CONTACT: Duration = Duration::from_secs(5);

/// Window of the budget of extra sends.
const WINDOW: Duration = Duration::from_secs(10);

/// Records of a search answer.
const TOP: usize = 3;

/// Time by which an answer may exceed the limit of its request on a busy machine. The limit itself
/// is kept by the tier's timers; the rest is the scheduling of a few dozen processes.
const LATE: Duration = Duration::from_millis(700);

/// What a run recorded.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Requests of clients.
    pub records: Vec<Record>,
    /// Requests that replicas ran.
    pub runs: Vec<Execution>,
    /// Versions and the times at which the store had them.
    pub versions: Vec<(u64, Instant)>,
    /// Times of disturbances of the store, of any link to it, or of several instances.
    pub store_faults: Vec<(Instant, Instant)>,
    /// Times of disturbances by instance: pauses, kills and stops, each with its end.
    pub machine_faults: Vec<(usize, Instant, Instant)>,
    /// Times at which an instance was started anew.
    pub starts: Vec<(usize, Instant)>,
    /// Times at which links to replicas or replicas themselves were disturbed.
    pub replica_faults: Vec<(Instant, Instant)>,
    /// Planned stops: the instance, the signal, and whether the process ended well in time.
    pub stops: Vec<(usize, Instant, bool)>,
}

/// Checks everything. Returns a line for each promise that was broken.
#[must_use]
pub fn check(evidence: &Evidence) -> Vec<String> {
    let mut faults = Vec::new();
    let mut runs: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for run in &evidence.runs {
        runs.entry(run.request_id.as_str()).or_default().push(run);
    }
    for record in &evidence.records {
        let runs = runs.get(record.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_answer(record, &mut faults);
        check_runs(record, runs, &mut faults);
        check_time(evidence, record, &mut faults);
        check_stop(evidence, record, runs, &mut faults);
        check_version(evidence, record, &mut faults);
    }
    check_drains(evidence, &mut faults);
    check_order_of_versions(evidence, &mut faults);
    check_budget(evidence, &mut faults);
    for (machine, _, is_well) in &evidence.stops {
        if !is_well {
            faults.push(format!("m{machine} did not end well after SIGTERM"));
        }
    }
    let asked: HashSet<&str> = evidence.records.iter().map(|it| it.id.as_str()).collect();
    // Requests that were open at the end have no record.
    let open = evidence.runs.iter().filter(|it| !asked.contains(it.request_id.as_str())).count();
    if open > 200 {
        faults.push(format!("{open} runs of requests that no client recorded"));
    }
    faults
}

/// A success is the whole answer to this request and states what it covers.
fn check_answer(record: &Record, faults: &mut Vec<String>) {
    let Some(answer) = &record.answer else { return };
    let mut fault = |what: &str| faults.push(format!("{}: {what}: {answer:?}", record.id));
    if record.has_more {
        fault("bytes after the answer");
    }
    if answer.status() != 200 {
        return;
    }
    if record.asked != Asked::Search {
        let stamp = answer.field(SERVER_STAMP).unwrap_or_default();
        match stamp.split_once('.') {
            Some((replica, request)) if request == record.id => {
                if answer.body != records(replica, request) {
                    fault("not the body of the replica");
                }
            }
            _ => fault("not the proof of this request"),
        }
        return;
    }
    let stamps = answer.field(PART_STAMPS).unwrap_or_default();
    let missing = answer.field(MISSING_PARTS).and_then(|it| it.parse().ok());
    let (mut services, mut all) = (HashSet::new(), Vec::new());
    for stamp in stamps.split(", ") {
        let Some((replica, request)) = stamp.split_once('.') else {
            return fault("a part without a proof");
        };
        let service = replica.split('-').next().unwrap_or_default();
        if request != record.id || !services.insert(service) {
            return fault("a part of another request, or a part twice");
        }
        all.extend_from_slice(records(replica, request).as_chunks::<16>().0);
    }
    if Some(SHARDS.len() - services.len()) != missing || services.len() * 2 < SHARDS.len() {
        fault("the parts do not make up the shards");
    }
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.truncate(TOP);
    if answer.body != all.concat() {
        fault("not the greatest records of the parts");
    }
}

/// Orders run at most once and not at all when refused; other requests at no more replicas than
/// the route allows, with no more time than the client gave.
fn check_runs(record: &Record, runs: &[&Execution], faults: &mut Vec<String>) {
    let status = record.answer.as_ref().map_or(0, |it| it.status());
    if record.asked == Asked::Order && runs.len() > 1 {
        faults.push(format!("{}: an order ran {} times", record.id, runs.len()));
    }
    if matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() && record.asked == Asked::Order {
        faults.push(format!("{}: refused with {status}, though it ran", record.id));
    }
    let mut replicas: HashMap<&str, HashSet<&str>> = HashMap::new();
    for run in runs {
        replicas.entry(&run.service).or_default().insert(&run.replica);
        if run.deadline_ms > WAIT_MS {
            faults.push(format!("{}: a replica got {} ms", record.id, run.deadline_ms));
        }
    }
    for (service, replicas) in replicas {
        if replicas.len() > 2 {
            faults.push(format!("{}: ran on {} of {service}", record.id, replicas.len()));
        }
    }
}

/// An answer comes within the limit of its request, unless its instance was disturbed.
fn check_time(evidence: &Evidence, record: &Record, faults: &mut Vec<String>) {
    let took = record.ended - record.sent;
    let limit = Duration::from_millis(WAIT_MS) + LATE;
    if took > limit && !is_disturbed(evidence, record, CONTACT) {
        let status = record.answer.as_ref().map(|it| it.status());
        faults.push(format!("{}: {status:?} after {} ms", record.id, took.as_millis()));
    }
}

/// A planned stop cuts off no request that was passed on.
fn check_stop(evidence: &Evidence, record: &Record, runs: &[&Execution], faults: &mut Vec<String>) {
    if record.answer.is_none() && !runs.is_empty() && !is_disturbed(evidence, record, CONTACT) {
        faults.push(format!("{}: passed on and then cut off", record.id));
    }
}

/// A version is in force three seconds after the store has it, if nothing disturbs the store.
fn check_version(evidence: &Evidence, record: &Record, faults: &mut Vec<String>) {
    let Asked::Version(version) = record.asked else { return };
    let is_refused = record.answer.as_ref().is_some_and(|it| it.status() == 404);
    let written = evidence.versions.iter().find(|it| it.0 == version).map(|it| it.1);
    let is_due = written.is_some_and(|it| record.sent > it + APPLIED_WITHIN);
    let has_excuse = is_disturbed(evidence, record, CONTACT)
        || overlaps(&evidence.store_faults, record.sent, CONTACT);
    if is_refused && is_due && !has_excuse {
        faults.push(format!("{}: version {version} is not in force", record.id));
    }
}

/// A replica that drains gets nothing three seconds later, if nothing disturbs the store or the
/// instances, whose view of the replicas rests on it.
fn check_drains(evidence: &Evidence, faults: &mut Vec<String>) {
    for run in evidence.runs.iter().filter(|it| it.started_after_drain) {
        let has_excuse = overlaps(&evidence.store_faults, run.started_at, CONTACT)
            || evidence
                .machine_faults
                .iter()
                .any(|it| within((it.1, it.2), run.started_at, CONTACT));
        if !has_excuse {
            faults.push(format!("{}: {} ran it after its drain", run.request_id, run.replica));
        }
    }
}

/// Within one lifetime of a process a version never goes back.
fn check_order_of_versions(evidence: &Evidence, faults: &mut Vec<String>) {
    let mut records: Vec<&Record> = evidence.records.iter().collect();
    records.sort_by_key(|it| it.sent);
    let mut seen: HashMap<(usize, usize), (u64, Instant)> = HashMap::new();
    for record in records {
        let (Asked::Version(version), Some(answer)) = (record.asked, &record.answer) else {
            continue;
        };
        let starts = evidence.starts.iter().filter(|it| it.0 == record.machine);
        let lifetime = |at: Instant| starts.clone().filter(|it| it.1 <= at).count();
        if lifetime(record.sent) != lifetime(record.ended) {
            continue;
        }
        let key = (record.machine, lifetime(record.sent));
        match answer.status() {
            200 => {
                let entry = seen.entry(key).or_insert((version, record.ended));
                if entry.0 < version {
                    *entry = (version, record.ended);
                }
            }
            404 => {
                let known = seen.get(&key);
                if known.is_some_and(|it| it.0 >= version && it.1 < record.sent) {
                    faults.push(format!("{}: version {version} was in force before", record.id));
                }
            }
            _ => {}
        }
    }
}

/// Arrivals beyond the first of each request stay within the budget in every window.
fn check_budget(evidence: &Evidence, faults: &mut Vec<String>) {
    let services: HashSet<&str> = evidence.runs.iter().map(|it| it.service.as_str()).collect();
    for service in services {
        let mut runs: Vec<&Execution> =
            evidence.runs.iter().filter(|it| it.service == service).collect();
        runs.sort_by_key(|it| it.started_at);
        let mut known = HashSet::new();
        let extras: Vec<Instant> = runs
            .iter()
            .filter(|it| !known.insert(&it.request_id))
            .map(|it| it.started_at)
            .collect();
        for end in &extras {
            let in_window = |at: &&Instant| **at <= *end && *end - **at <= WINDOW;
            let extra = extras.iter().filter(in_window).count() as f32;
            let firsts =
                runs.iter().map(|it| &it.started_at).filter(in_window).count() as f32 - extra;
            if extra > firsts * BUDGET.0 + BUDGET.1 {
                faults.push(format!("{service}: {extra} extra sends for {firsts} requests"));
                break;
            }
        }
    }
}

fn is_disturbed(evidence: &Evidence, record: &Record, reach: Duration) -> bool {
    let of_machine = evidence.machine_faults.iter().filter(|it| it.0 == record.machine);
    let at = (record.sent, record.ended);
    of_machine.into_iter().any(|it| it.1 <= at.1 && at.0 <= it.2 + reach)
}

fn overlaps(faults: &[(Instant, Instant)], at: Instant, reach: Duration) -> bool {
    faults.iter().any(|it| within(*it, at, reach))
}

fn within(fault: (Instant, Instant), at: Instant, reach: Duration) -> bool {
    fault.0 <= at && at <= fault.1 + reach
}
