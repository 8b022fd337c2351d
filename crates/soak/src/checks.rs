//! Checks the records of clients and replicas against the guarantees of the tier.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use rosemarybank_standins::platform_mode::{
    Execution, MISSING_PARTS, PART_STAMPS, SERVER_STAMP, replica::records,
};

use crate::{
    clients::{REQUEST_TIMEOUT_MS, RequestKind, RequestRecord},
    site::{EXTRA_SEND_BUDGET, SHARDS},
};

/// Time within which an instance activates a new version if the store is undisturbed.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(3);

/// Time after the end of a fault during which its effects are excused.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Sliding window over which the budget of extra sends is checked.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Number of records in a search response.
const TOP_K: usize = 3;

/// Time by which a response may exceed the deadline of its request. The tier's timers keep the
/// deadline; the margin covers scheduling delays of a few dozen processes on a busy machine.
const SCHEDULING_MARGIN: Duration = Duration::from_millis(700);

/// Records of a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Requests that clients sent.
    pub records: Vec<RequestRecord>,
    /// Requests that replicas executed.
    pub runs: Vec<Execution>,
    /// Configuration versions and the times at which they were written to the store.
    pub versions: Vec<(u64, Instant)>,
    /// Start and end of faults of the store and of links to it.
    pub store_faults: Vec<(Instant, Instant)>,
    /// Pauses, kills and stops: the instance, and the start and end of the fault.
    pub instance_faults: Vec<(usize, Instant, Instant)>,
    /// Restarts: the instance and the time.
    pub starts: Vec<(usize, Instant)>,
    /// Start and end of faults of replicas and of links to them.
    pub replica_faults: Vec<(Instant, Instant)>,
    /// Graceful stops: the instance, the time of the signal, and whether the process exited in time
    /// with success.
    pub stops: Vec<(usize, Instant, bool)>,
    /// Peak memory of processes: the instance, the peak in kB, and the memory of its machine in MB.
    pub memory: Vec<(usize, u64, u64)>,
}

/// Runs all checks. Returns one line for each violation.
#[must_use]
pub fn check(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for run in &observations.runs {
        runs.entry(run.request_id.as_str()).or_default().push(run);
    }
    for record in &observations.records {
        let runs = runs.get(record.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_response(record, &mut violations);
        check_runs(record, runs, &mut violations);
        check_latency(observations, record, &mut violations);
        check_no_abort(observations, record, runs, &mut violations);
        check_activation(observations, record, &mut violations);
    }
    check_drained_replicas(observations, &mut violations);
    check_version_order(observations, &mut violations);
    check_extra_sends(observations, &mut violations);
    for (instance, _, exited_cleanly) in &observations.stops {
        if !exited_cleanly {
            violations.push(format!("m{instance} did not exit cleanly after SIGTERM"));
        }
    }
    for (instance, peak_kb, memory_mb) in &observations.memory {
        if *peak_kb > memory_mb << 10 {
            violations.push(format!("m{instance} took {peak_kb} kB of {memory_mb} MB"));
        }
    }
    let recorded: HashSet<&str> = observations.records.iter().map(|it| it.id.as_str()).collect();
    // Requests that were still in flight at the end have no record.
    let open =
        observations.runs.iter().filter(|it| !recorded.contains(it.request_id.as_str())).count();
    if open > 200 {
        violations.push(format!("{open} executions of requests that no client recorded"));
    }
    violations
}

/// A successful response is complete, belongs to its request, and states which parts it covers.
fn check_response(record: &RequestRecord, violations: &mut Vec<String>) {
    let Some(answer) = &record.answer else { return };
    let mut report = |what: &str| violations.push(format!("{}: {what}: {answer:?}", record.id));
    if record.has_trailing_bytes {
        report("unexpected bytes after the response");
    }
    if answer.status() != 200 {
        return;
    }
    if record.kind != RequestKind::Search {
        let stamp = answer.field(SERVER_STAMP).unwrap_or_default();
        match stamp.split_once('.') {
            Some((replica, request)) if request == record.id => {
                if answer.body != records(replica, request) {
                    report("body differs from the replica's response");
                }
            }
            _ => report("server stamp is missing or belongs to another request"),
        }
        return;
    }
    let stamps = answer.field(PART_STAMPS).unwrap_or_default();
    let missing = answer.field(MISSING_PARTS).and_then(|it| it.parse().ok());
    let (mut services, mut all) = (HashSet::new(), Vec::new());
    for stamp in stamps.split(", ") {
        let Some((replica, request)) = stamp.split_once('.') else {
            return report("part without a server stamp");
        };
        let service = replica.split('-').next().unwrap_or_default();
        if request != record.id || !services.insert(service) {
            return report("duplicate part, or part of another request");
        }
        all.extend_from_slice(records(replica, request).as_chunks::<16>().0);
    }
    if Some(SHARDS.len() - services.len()) != missing || services.len() * 2 < SHARDS.len() {
        report("wrong number of missing parts, or more than half of the parts missing");
    }
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.truncate(TOP_K);
    if answer.body != all.concat() {
        report("body is not the greatest records of the parts");
    }
}

/// An order executes at most once, and not at all if it is rejected. Any request executes on at
/// most two replicas of a service, with a deadline no longer than the client's.
fn check_runs(record: &RequestRecord, runs: &[&Execution], violations: &mut Vec<String>) {
    let status = record.answer.as_ref().map_or(0, |it| it.status());
    if record.kind == RequestKind::Order && runs.len() > 1 {
        violations.push(format!("{}: order executed {} times", record.id, runs.len()));
    }
    if matches!(status, 408 | 421 | 429 | 503)
        && !runs.is_empty()
        && record.kind == RequestKind::Order
    {
        violations.push(format!("{}: rejected with {status} although it executed", record.id));
    }
    let mut replicas: HashMap<&str, HashSet<&str>> = HashMap::new();
    for run in runs {
        replicas.entry(&run.service).or_default().insert(&run.replica);
        if run.deadline_ms > REQUEST_TIMEOUT_MS {
            violations.push(format!(
                "{}: replica received a deadline of {} ms",
                record.id, run.deadline_ms
            ));
        }
    }
    for (service, replicas) in replicas {
        if replicas.len() > 2 {
            violations.push(format!(
                "{}: executed on {} replicas of {service}",
                record.id,
                replicas.len()
            ));
        }
    }
}

/// A request ends within its deadline, unless its instance had a fault.
fn check_latency(
    observations: &Observations,
    record: &RequestRecord,
    violations: &mut Vec<String>,
) {
    let took = record.ended - record.sent;
    let limit = Duration::from_millis(REQUEST_TIMEOUT_MS) + SCHEDULING_MARGIN;
    if took > limit && !is_disturbed(observations, record, RECOVERY_TIME) {
        let status = record.answer.as_ref().map(|it| it.status());
        violations.push(format!(
            "{}: ended with status {status:?} after {} ms",
            record.id,
            took.as_millis()
        ));
    }
}

/// A request that a replica executed gets a response, unless its instance had a fault. A graceful
/// stop aborts no request that was forwarded to a replica.
fn check_no_abort(
    observations: &Observations,
    record: &RequestRecord,
    runs: &[&Execution],
    violations: &mut Vec<String>,
) {
    if record.answer.is_none()
        && !runs.is_empty()
        && !is_disturbed(observations, record, RECOVERY_TIME)
    {
        violations.push(format!(
            "{}: connection failed although a replica executed the request",
            record.id
        ));
    }
}

/// A version is active three seconds after it was written to the store, unless the store or the
/// instance had a fault.
fn check_activation(
    observations: &Observations,
    record: &RequestRecord,
    violations: &mut Vec<String>,
) {
    let RequestKind::Version(version) = record.kind else { return };
    let is_missing = record.answer.as_ref().is_some_and(|it| it.status() == 404);
    let written = observations.versions.iter().find(|it| it.0 == version).map(|it| it.1);
    let is_due = written.is_some_and(|it| record.sent > it + ACTIVATION_LIMIT);
    let is_excused = is_disturbed(observations, record, RECOVERY_TIME)
        || overlaps(&observations.store_faults, record.sent, RECOVERY_TIME);
    if is_missing && is_due && !is_excused {
        violations.push(format!("{}: version {version} is not active", record.id));
    }
}

/// A draining replica receives no requests after three seconds, unless the store or an instance had
/// a fault: instances learn of a drain through the store.
fn check_drained_replicas(observations: &Observations, violations: &mut Vec<String>) {
    for run in observations.runs.iter().filter(|it| it.started_after_drain) {
        let is_excused = overlaps(&observations.store_faults, run.started_at, RECOVERY_TIME)
            || observations
                .instance_faults
                .iter()
                .any(|it| within((it.1, it.2), run.started_at, RECOVERY_TIME));
        if !is_excused {
            violations
                .push(format!("{}: {} executed it after its drain", run.request_id, run.replica));
        }
    }
}

/// Until an instance restarts, its active version never decreases.
fn check_version_order(observations: &Observations, violations: &mut Vec<String>) {
    let mut records: Vec<&RequestRecord> = observations.records.iter().collect();
    records.sort_by_key(|it| it.sent);
    let mut seen: HashMap<(usize, usize), (u64, Instant)> = HashMap::new();
    for record in records {
        let (RequestKind::Version(version), Some(answer)) = (record.kind, &record.answer) else {
            continue;
        };
        let starts = observations.starts.iter().filter(|it| it.0 == record.instance);
        let lifetime = |at: Instant| starts.clone().filter(|it| it.1 <= at).count();
        if lifetime(record.sent) != lifetime(record.ended) {
            continue;
        }
        let key = (record.instance, lifetime(record.sent));
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
                    violations.push(format!("{}: version {version} was active before", record.id));
                }
            }
            _ => {}
        }
    }
}

/// In every window, the repeated sends of requests stay within the budget.
fn check_extra_sends(observations: &Observations, violations: &mut Vec<String>) {
    let services: HashSet<&str> = observations.runs.iter().map(|it| it.service.as_str()).collect();
    for service in services {
        let mut runs: Vec<&Execution> =
            observations.runs.iter().filter(|it| it.service == service).collect();
        runs.sort_by_key(|it| it.started_at);
        let mut known = HashSet::new();
        let extras: Vec<Instant> = runs
            .iter()
            .filter(|it| !known.insert(&it.request_id))
            .map(|it| it.started_at)
            .collect();
        for end in &extras {
            let in_window = |at: &&Instant| **at <= *end && *end - **at <= BUDGET_WINDOW;
            let extra = extras.iter().filter(in_window).count() as f32;
            let firsts =
                runs.iter().map(|it| &it.started_at).filter(in_window).count() as f32 - extra;
            if extra > firsts * EXTRA_SEND_BUDGET.0 + EXTRA_SEND_BUDGET.1 {
                violations.push(format!("{service}: {extra} extra sends for {firsts} requests"));
                break;
            }
        }
    }
}

fn is_disturbed(observations: &Observations, record: &RequestRecord, recovery: Duration) -> bool {
    let of_instance = observations.instance_faults.iter().filter(|it| it.0 == record.instance);
    let at = (record.sent, record.ended);
    of_instance.into_iter().any(|it| it.1 <= at.1 && at.0 <= it.2 + recovery)
}

fn overlaps(faults: &[(Instant, Instant)], at: Instant, recovery: Duration) -> bool {
    faults.iter().any(|it| within(*it, at, recovery))
}

fn within(fault: (Instant, Instant), at: Instant, recovery: Duration) -> bool {
    fault.0 <= at && at <= fault.1 + recovery
}
