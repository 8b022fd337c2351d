//! Processes on the company platform, with its store and replicas as stand-ins.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rosemarybank_standins::company::{
    Answer, Behaviour, Caller, Machine, Replica, Run, Store, StoreFault, config,
    machine::wait_until,
    replica::{POISON, records},
};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Longest time for anything that a test waits for.
const WAIT: Duration = Duration::from_secs(10);

struct Site {
    dir: TempDir,
    store: Store,
    runs: Arc<Mutex<Vec<Run>>>,
    replicas: Vec<Replica>,
}

impl Site {
    /// Services `orders` and `s1` to `s4` with two replicas each, and a first configuration.
    fn new() -> Site {
        let store = Store::start().unwrap();
        let runs = Arc::default();
        let mut site = Site { dir: TempDir::new().unwrap(), store, runs, replicas: Vec::new() };
        for service in ["orders", "s1", "s2", "s3", "s4"] {
            for (number, data_centre) in [(1, "a"), (2, "b")] {
                site.add_replica(&format!("{service}-{number}"), service, data_centre);
            }
        }
        site.configure(1, json!([]));
        site
    }

    fn add_replica(&mut self, id: &str, service: &str, data_centre: &str) {
        let replica = Replica::start(id, service, data_centre, &self.store, &self.runs).unwrap();
        self.replicas.push(replica);
    }

    /// Writes a configuration: a search, reads, orders and further routes.
    fn configure(&self, version: u64, further: Value) {
        let further = further.as_array().unwrap().clone();
        let spec = config::spec(version, &["s1", "s2", "s3", "s4"], "orders", further);
        self.store.put("config", "main", spec);
    }

    fn machine(&self, name: &str, data_centre: &str) -> Machine {
        let binary = env!("CARGO_BIN_EXE_rosemarybankd").as_ref();
        let addr = self.store.addr();
        let mut machine = Machine::new(name, data_centre, self.dir.path(), binary, addr).unwrap();
        machine.start().unwrap();
        machine
    }

    fn ready_machine(&self) -> Machine {
        let machine = self.machine("m1", "a");
        assert!(machine.wait_ready(WAIT));
        machine
    }

    fn replica(&self, id: &str) -> &Replica {
        self.replicas.iter().find(|it| it.id() == id).unwrap()
    }

    fn set_behaviour(&self, service: &str, behaviour: Behaviour) {
        for it in self.replicas.iter().filter(|it| it.service() == service) {
            it.set_behaviour(behaviour);
        }
    }

    /// Runs of a request.
    fn runs(&self, request: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|it| it.request == request).cloned().collect()
    }
}

fn call(machine: &Machine, method: &str, path: &str, id: &str) -> Answer {
    Caller::connect(machine.front()).unwrap().call(method, path, id, 1_500).unwrap()
}

/// Checks that an answer is the whole answer of a replica to this request.
fn assert_own(answer: &Answer, id: &str) {
    assert_eq!(answer.status(), 200, "{answer:?}");
    let stamp = answer.field("x-rosemarybank-server-stamp").unwrap();
    let (replica, request) = stamp.split_once('.').unwrap();
    assert_eq!(request, id);
    assert_eq!(answer.body, records(replica, id));
}

#[test]
fn a_search_merges_the_parts_and_states_what_is_missing() {
    let site = Site::new();
    let machine = site.ready_machine();
    let answer = call(&machine, "GET", "/search/x", "q1");
    assert_eq!(answer.status(), 200);
    let stamps = answer.field("x-rosemarybank-part-stamps").unwrap();
    assert_eq!(stamps.split(", ").count(), 4);
    assert_eq!(answer.field("x-rosemarybank-missing-parts"), Some("0"));
    let mut expected: Vec<[u8; 16]> = Vec::new();
    for stamp in stamps.split(", ") {
        let all = records(stamp.split_once('.').unwrap().0, "q1");
        expected.extend(all.as_chunks::<16>().0);
    }
    expected.sort_unstable_by(|a, b| b.cmp(a));
    assert_eq!(answer.body, expected[..3].concat());

    site.set_behaviour("s2", Behaviour::Fail);
    let answer = call(&machine, "GET", "/search/x", "q2");
    assert_eq!(answer.field("x-rosemarybank-missing-parts"), Some("1"));
    site.set_behaviour("s1", Behaviour::Fail);
    site.set_behaviour("s3", Behaviour::Fail);
    let answer = call(&machine, "GET", "/search/x", "q3");
    assert_eq!(answer.status(), 504, "a quarter of the shards is no success");
}

/// Bytes that belong to no request must reach no client, on this connection or a later one.
#[test]
fn spoiled_answers_are_never_mixed() {
    let site = Site::new();
    let machine = site.ready_machine();
    let spoils = [
        Behaviour::Extra,
        Behaviour::ExtraUnnamed,
        Behaviour::Trail,
        Behaviour::Unframed,
        Behaviour::Truncate,
    ];
    for spoil in spoils {
        let replica = site.replica("orders-1");
        for number in 0..12 {
            replica.set_behaviour(if number % 3 == 0 { spoil } else { Behaviour::Normal });
            let id = format!("{spoil:?}-{number}");
            let mut caller = Caller::connect(machine.front()).unwrap();
            assert_own(&caller.call("GET", "/read/x", &id, 1_500).unwrap(), &id);
            assert_eq!(caller.rest(), b"");
        }
        replica.set_behaviour(Behaviour::Normal);
    }
}

/// An order whose answer is lost may have run: it is not sent again, and not called refused.
#[test]
fn an_order_runs_at_most_once() {
    let site = Site::new();
    let machine = site.ready_machine();
    assert_own(&call(&machine, "POST", "/order/x", "o1"), "o1");
    for (number, behaviour) in [Behaviour::Break, Behaviour::Truncate].into_iter().enumerate() {
        site.set_behaviour("orders", behaviour);
        let id = format!("lost-{number}");
        assert_eq!(call(&machine, "POST", "/order/x", &id).status(), 502);
        assert_eq!(site.runs(&id).len(), 1);
    }
    site.set_behaviour("orders", Behaviour::Refuse);
    let answer = call(&machine, "POST", "/order/x", "o3");
    assert_eq!(answer.status(), 503);
    assert!(answer.field("retry-after").is_some());
    assert_eq!(site.runs("o3").len(), 0, "a refusal is true");
    site.set_behaviour("orders", Behaviour::Normal);
    site.replica("orders-1").set_behaviour(Behaviour::Refuse);
    assert_own(&call(&machine, "POST", "/order/x", "o4"), "o4");
}

/// Guards against a fault of ratro-links trouble-2: replicas that had all connections that they
/// accept closed new ones with the request on them, which nobody could tell from a lost answer.
#[test]
fn an_order_is_not_lost_to_a_replica_that_accepts_no_connection() {
    let site = Site::new();
    let machine = site.ready_machine();
    site.replica("orders-1").set_cap(0);
    for number in 0..10 {
        let id = format!("f{number}");
        assert_own(&call(&machine, "POST", "/order/x", &id), &id);
    }
    site.replica("orders-2").set_cap(0);
    std::thread::sleep(Duration::from_millis(1_200));
    let answer = call(&machine, "POST", "/order/x", "none");
    assert_eq!(answer.status(), 503, "certainly not run: {answer:?}");
    assert_eq!(site.runs("none").len(), 0);
}

/// Guards against a request that takes down one replica after the other, also by way of another
/// instance, and against the loss of other requests to the same service.
#[test]
fn a_request_that_crashes_replicas_is_refused_by_all_instances() {
    let mut site = Site::new();
    for number in 3..=8 {
        site.add_replica(&format!("orders-{number}"), "orders", "a");
    }
    site.set_behaviour("orders", Behaviour::CrashOnPoison);
    let machines = [site.ready_machine(), site.machine("m2", "b")];
    assert!(machines[1].wait_ready(WAIT));
    let path = format!("/read/{POISON}");
    for number in 0..20 {
        for (index, machine) in machines.iter().enumerate() {
            let id = format!("p{number}-{index}");
            assert_ne!(call(machine, "GET", &path, &id).status(), 200);
            let id = format!("ok{number}-{index}");
            assert_own(&call(machine, "GET", "/read/x", &id), &id);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let crashes = site.runs.lock().unwrap().iter().filter(|it| it.line.contains(POISON)).count();
    assert!((2..=4).contains(&crashes), "{crashes} replicas crashed");
    for machine in &machines {
        let answer = call(machine, "GET", &path, "last");
        assert_eq!(answer.status(), 503);
        assert!(answer.field("retry-after").is_some());
    }
}

#[test]
fn an_address_that_belongs_to_another_replica_runs_nothing() {
    let site = Site::new();
    let machine = site.ready_machine();
    let replica = site.replica("orders-1");
    call(&machine, "GET", "/read/x", "before");
    replica.become_another("stranger");
    for number in 0..5 {
        let id = format!("r{number}");
        assert_own(&call(&machine, "GET", "/read/x", &id), &id);
        assert!(site.runs(&id).iter().all(|it| it.replica != "orders-1"));
    }
}

#[test]
fn nothing_is_sent_to_a_replica_three_seconds_after_it_drains() {
    let site = Site::new();
    let machine = site.ready_machine();
    site.replica("orders-1").drain();
    let end = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        call(&machine, "GET", "/read/x", &format!("d{number}"));
    }
    let runs = site.runs.lock().unwrap();
    assert!(runs.iter().all(|it| !it.was_drained));
}

/// Without a configuration a process knows no routes, so it must not say that one does not exist.
#[test]
fn a_process_without_the_store_refuses_until_it_returns() {
    let site = Site::new();
    site.store.set_fault(StoreFault::Busy);
    let machine = site.machine("m1", "a");
    std::thread::sleep(Duration::from_millis(500));
    assert!(!machine.is_ready());
    assert_eq!(call(&machine, "GET", "/read/x", "early").status(), 503);
    site.store.set_fault(StoreFault::None);
    assert!(machine.wait_ready(WAIT));
    assert_own(&call(&machine, "GET", "/read/x", "late"), "late");
}

/// Searches go on while the store is away, and after its return though entries had expired.
#[test]
fn an_outage_of_the_store_does_not_stop_requests() {
    for fault in [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent] {
        let site = Site::new();
        let machine = site.ready_machine();
        site.store.set_fault(fault);
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < Duration::from_millis(4_500) {
            // Entries last for 1.2 s, so all of them have expired by now.
            if start.elapsed() > Duration::from_secs(2) {
                site.store.set_fault(StoreFault::None);
            }
            number += 1;
            let id = format!("n{number}");
            assert_own(&call(&machine, "GET", "/read/x", &id), &id);
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

#[test]
fn a_new_configuration_is_in_force_soon_and_never_goes_back() {
    let site = Site::new();
    let machine = site.ready_machine();
    let added = json!([config::route("new", "idempotent", "orders")]);
    assert_eq!(call(&machine, "GET", "/new/x", "n0").status(), 404);
    site.configure(7, added);
    let is_new = || call(&machine, "GET", "/new/x", "n1").status() == 200;
    assert!(wait_until(Duration::from_secs(3), is_new));
    site.configure(6, json!([]));
    site.store.compact();
    std::thread::sleep(Duration::from_millis(600));
    assert!(is_new(), "an older version is ignored");
    site.store.put("config", "main", json!({ "version": 9 }));
    std::thread::sleep(Duration::from_millis(600));
    assert!(is_new(), "a version that can't be read is ignored");
}

/// An entry of another writer names no replica; the others hold.
#[test]
fn entries_that_cannot_be_read_are_left_out() {
    let site = Site::new();
    site.store.put("servers", "odd-1", json!("text"));
    site.store.put("servers", "odd-2", json!({ "service": "orders", "address": 7 }));
    let machine = site.ready_machine();
    site.store.put("servers", "odd-3", json!({ "state": "unheard" }));
    assert_own(&call(&machine, "GET", "/read/x", "e1"), "e1");
}

/// A stop leaves the rotation first, answers what it has read, and ends with success.
#[test]
fn a_stop_answers_what_was_read() {
    let site = Site::new();
    let mut machine = site.ready_machine();
    for it in &site.replicas {
        it.set_work(Duration::from_millis(1_200));
    }
    let mut open = Caller::connect(machine.front()).unwrap();
    open.send("GET", "/read/x", "s1", 5_000).unwrap();
    std::thread::sleep(Duration::from_millis(200));
    machine.signal("-TERM");
    assert!(wait_until(Duration::from_secs(1), || !machine.is_ready()));
    // The platform still sends clients for a while.
    let mut late = Caller::connect(machine.front()).unwrap();
    late.send("GET", "/read/x", "s2", 5_000).unwrap();
    assert_own(&open.receive().unwrap(), "s1");
    let answer = late.receive().unwrap();
    assert_own(&answer, "s2");
    assert_eq!(answer.field("connection"), Some("close"));
    assert!(machine.wait_end(WAIT).is_some_and(|it| it.success()));
}

/// A replica must not go on with work for a client that has left.
#[test]
fn the_work_of_a_client_that_left_is_stopped() {
    let site = Site::new();
    let machine = site.ready_machine();
    for it in &site.replicas {
        it.set_work(Duration::from_secs(2));
    }
    let mut caller = Caller::connect(machine.front()).unwrap();
    caller.send("GET", "/read/x", "gone", 5_000).unwrap();
    assert!(wait_until(WAIT, || !site.runs("gone").is_empty()));
    drop(caller);
    let closed = || site.replicas.iter().map(Replica::closed_early).sum::<u64>() > 0;
    assert!(wait_until(Duration::from_millis(700), closed));
}

/// One instance reads the store and the others follow it, so the calls do not grow with the fleet.
#[test]
fn followers_do_not_read_the_store() {
    let site = Site::new();
    let machines: Vec<Machine> = (0..4).map(|it| site.machine(&format!("m{it}"), "a")).collect();
    assert!(machines.iter().all(|it| it.wait_ready(WAIT)));
    let followed = |it: &Machine| {
        it.metrics().is_ok_and(|it| it.contains("rosemarybank_instances_registered 4\n"))
    };
    assert!(wait_until(WAIT, || machines.iter().all(followed)));
    std::thread::sleep(Duration::from_millis(1_500));
    let before = site.store.calls();
    std::thread::sleep(Duration::from_secs(3));
    let calls = site.store.calls() - before;
    // One reader: 4 looks at the replicas, 1 or 2 watches of the configuration; four instances
    // look at the list of instances.
    assert!(calls <= 14, "{calls} calls in 3 s");
    site.configure(8, json!([]));
    let has_new =
        |it: &Machine| it.metrics().is_ok_and(|it| it.contains("rosemarybank_config_version 8\n"));
    assert!(wait_until(Duration::from_secs(2), || machines.iter().all(has_new)));
}

#[test]
fn requests_beyond_the_limits_are_rejected() {
    let site = Site::new();
    let machine = site.ready_machine();
    let mut caller = Caller::connect(machine.front()).unwrap();
    let long = format!("/read/{}", "x".repeat(20_000));
    assert_eq!(caller.call("GET", &long, "l1", 1_000).unwrap().status(), 431);
    assert_eq!(call(&machine, "GET", "/unknown/x", "u1").status(), 404);
}

/// Settings that can't be used end the process with a message that names the field.
#[test]
fn unusable_settings_are_named() {
    let dir = TempDir::new().unwrap();
    let path = dir.path().join("node.json");
    std::fs::write(&path, r#"{"node_name": "n", "ip": "127.0.0.1"}"#).unwrap();
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_rosemarybankd"))
        .arg("--platform")
        .env("ROSEMARYBANK_NODE_FILE", &path)
        .output()
        .unwrap();
    assert!(!out.status.success());
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(text.contains("missing field `zone`"), "{text}");
    assert!(text.contains("node.json"), "{text}");
}
