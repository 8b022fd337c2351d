//! An order crashes each replica that runs it, and its caller sends it again, each time at another
//! instance.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, send_once},
    instance::{Bounds, Instance},
    record::{Day, Outcome},
    replica::{POISON, Replica, Runs, Spec, spawn},
    store::Store,
};

/// The bounds of `ratro-links`, whose number of instances and replicas this case has.
const BOUNDS: Bounds = Bounds {
    contact_ms: 4_000,
    drain_ms: 3_000,
    config_apply_ms: 3_000,
    recovery_s: 12,
    retry_budget_slack: 56,
};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-permit","hostname":"hufi27.example","path_prefix":"/permit/","route_kind":"non_idempotent","timeout_ms":6000,"target_latency_ms":400,"priority":2,"service":"permit-office","attempts":2}],
"services":[{"name":"permit-office","health_check_path":"/health","max_connections":51,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

const INSTANCES: usize = 8;

const REPLICAS: usize = 5;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// "A crashed replica is back after some seconds."
const DOWN_TIME: Duration = Duration::from_secs(3);

/// How often the caller sends the request.
const SENDS: usize = 14;

/// Pause of the caller between two attempts.
const PAUSE: Duration = Duration::from_millis(2_500);

/// Retries that may reach replicas later than `contact_ms` after the third crash.
const ALLOWED: usize = 3;

pub fn play(day: &mut Day) -> io::Result<Outcome> {
    let (store, runs) = (Store::start()?, Runs::default());
    store.put("config", "main", CONFIG);
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let spec = Spec {
            id: format!("i-{number:04}"),
            service: "permit-office".to_owned(),
            zone: ZONES[number % 3].to_owned(),
            slots: 6,
            work: Duration::from_millis(20),
            crashes_on_poison: day.has_trouble,
        };
        replicas.push(Replica::start(spec, &store, &runs)?);
    }
    for replica in &replicas {
        let replica = replica.clone();
        spawn(move || restart_after_crashes(&replica));
    }
    let mut instances = Vec::new();
    for number in 0..INSTANCES {
        let (name, zone) = (format!("frontend-{number}"), ZONES[number % 3]);
        instances.push(Instance::new(&name, zone, 0.25, &store, &day.temp, BOUNDS)?);
    }
    for it in &mut instances {
        it.start()?;
    }
    if !instances.iter().all(|it| it.wait_until_ready(Duration::from_secs(10))) {
        return Ok(Outcome::NotRun("an instance is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(8));

    let target = format!("/permit/{POISON}");
    for number in 0..SENDS {
        let instance = &instances[number % INSTANCES];
        let id = format!("order{number:011x}");
        let request = Request {
            method: "POST",
            host: "hufi27.example",
            target: &target,
            id: &id,
            deadline_ms: 6_000,
            body: b"permit 17",
        };
        let sent_at = Instant::now();
        let answer = send_once(instance.client_addr(), &request);
        let line = answer.map_or_else(|it| it.to_string(), |it| it.start);
        day.note(sent_at, &format!("{id} to {}: {line}", instance.name));
        thread::sleep(PAUSE);
    }
    let runs = runs.lock().expect("no thread panics here").clone();
    for it in &runs {
        day.note(it.at, &format!("{} runs {} ({})", it.replica, it.request_id, it.line));
    }
    let mut crashes: Vec<Instant> = Vec::new();
    for replica in &replicas {
        crashes.extend(replica.crashes.lock().expect("no thread panics here").iter());
    }
    crashes.sort();
    for it in &crashes {
        day.note(*it, "a replica crashes");
    }
    let Some(third) = crashes.get(2) else {
        let text = format!("{} crashes and {} runs", crashes.len(), runs.len());
        return Ok(Outcome::Held(text));
    };
    let from = *third + Duration::from_millis(BOUNDS.contact_ms);
    let late = runs.iter().filter(|it| it.at > from).count();
    let text = format!(
        "{late} retries reached replicas later than {} ms after the third crash, of {} crashes",
        BOUNDS.contact_ms,
        crashes.len()
    );
    Ok(if late > ALLOWED { Outcome::Broken(text) } else { Outcome::Held(text) })
}

/// Starts a replica again after each crash.
fn restart_after_crashes(replica: &Replica) {
    let mut seen = 0;
    loop {
        thread::sleep(Duration::from_millis(20));
        if replica.crashes.lock().expect("no thread panics here").len() > seen {
            seen += 1;
            thread::sleep(DOWN_TIME);
            if let Err(err) = replica.come_back() {
                eprintln!("{} does not come back: {err}", replica.spec.id);
                return;
            }
        }
    }
}
