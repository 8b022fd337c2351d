//! Another writer puts an entry that cannot be read beside those of the replicas. Later all instances
//! are killed and start again.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, send_once},
    instance::{Bounds, Instance},
    record::{Day, Outcome},
    replica::{Replica, Runs, Spec},
    store::Store,
};

const BOUNDS: Bounds = Bounds {
    contact_ms: 5_000,
    drain_ms: 3_000,
    config_apply_ms: 3_000,
    recovery_s: 12,
    retry_budget_slack: 52,
};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-lot","hostname":"hufi27.example","path_prefix":"/lot/","route_kind":"idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"lot-ledger","attempts":2}],
"services":[{"name":"lot-ledger","health_check_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// The entry of another writer. Its service holds a byte that is no text; the store passes it on as a
/// JSON escape, in a list that is well-formed JSON.
const FOREIGN_ENTRY: &str = r#"{"service":"lot-\udcff","address":"127.0.0.1:9","zone":"zone-a","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"sequence":1}"#;

/// Another such entry, played with `ENTRY=number` in the environment: a number that no field of an entry
/// can hold.
const FOREIGN_ENTRY_WITH_NUMBER: &str = r#"{"service":"lot-ledger","address":"127.0.0.1:9","zone":"zone-a","version":"v1","slots":1e400,"state":"ready","cold_remaining_ms":0,"sequence":1}"#;

const REPLICAS: usize = 11;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Time for which the instances are down.
const DOWN_TIME: Duration = Duration::from_millis(1_400);

/// How long requests are sent before the final fault and after the recovery.
const MEASURED_TIME: Duration = Duration::from_secs(5);

/// Pause between requests.
const PAUSE: Duration = Duration::from_millis(25);

pub fn play(day: &mut Day) -> io::Result<Outcome> {
    let (store, runs) = (Store::start()?, Runs::default());
    store.put("config", "main", CONFIG);
    for number in 0..REPLICAS {
        let spec = Spec {
            id: format!("i-{number:04}"),
            service: "lot-ledger".to_owned(),
            zone: ZONES[number % 3].to_owned(),
            slots: 2,
            work: Duration::from_millis(20),
        };
        Replica::start(spec, &store, &runs)?;
    }
    let mut instances = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let name = format!("frontend-{number}");
        instances.push(Instance::new(&name, zone, 0.25, &store, &day.temp, BOUNDS)?);
    }
    for it in &mut instances {
        it.start()?;
    }
    if !instances.iter().all(|it| it.wait_until_ready(Duration::from_secs(10))) {
        return Ok(Outcome::NotRun("an instance is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(6));
    if day.has_trouble {
        let entry = match std::env::var("ENTRY").as_deref() {
            Ok("number") => FOREIGN_ENTRY_WITH_NUMBER,
            _ => FOREIGN_ENTRY,
        };
        store.put("servers", "w-0001", entry);
        day.note(Instant::now(), "another writer puts the entry w-0001 into the store");
    }
    let (sent, served) = send_requests(day, &instances, "before");
    if served * 4 < sent {
        return Ok(Outcome::NotRun(format!("only {served} of {sent} were served before")));
    }
    for it in &mut instances {
        it.kill();
    }
    day.note(Instant::now(), "all instances are killed");
    thread::sleep(DOWN_TIME);
    for it in &mut instances {
        it.start()?;
    }
    day.note(Instant::now(), "all instances are started again");
    thread::sleep(Duration::from_secs(BOUNDS.recovery_s));
    let (sent, served) = send_requests(day, &instances, "after");
    for it in &instances {
        let ready = if it.is_ready() { "ready" } else { "not ready" };
        day.note(Instant::now(), &format!("{} is {ready}", it.name));
        let unusable = it
            .log_text()
            .lines()
            .filter(|it| it.contains("unusable_entry"))
            .next_back()
            .map(str::to_owned);
        if let Some(line) = unusable {
            day.note(Instant::now(), &format!("its last line on entries: {line}"));
        }
    }
    let text = format!(
        "{served} of {sent} requests sent later than {} s after the start were served",
        BOUNDS.recovery_s
    );
    Ok(if served * 4 < sent { Outcome::Broken(text) } else { Outcome::Held(text) })
}

/// Sends requests to the instances in turn. Returns how many were sent and how many were served.
fn send_requests(day: &mut Day, instances: &[Instance], label: &str) -> (u32, u32) {
    let (mut sent, mut served) = (0, 0);
    let until = Instant::now() + MEASURED_TIME;
    while Instant::now() < until {
        let instance = &instances[sent as usize % instances.len()];
        let (id, target) = (format!("{label}-{sent:08x}"), format!("/lot/{label}/{sent}"));
        let request = Request {
            method: "GET",
            host: "hufi27.example",
            target: &target,
            id: &id,
            deadline_ms: 3_000,
            body: b"",
        };
        let sent_at = Instant::now();
        let answer = send_once(instance.client_addr(), &request);
        let line = answer.as_ref().map_or_else(ToString::to_string, |it| it.start.clone());
        day.note(sent_at, &format!("{id} to {}: {line}", instance.name));
        sent += 1;
        served += u32::from(answer.is_ok_and(|it| it.status() == 200));
        thread::sleep(PAUSE);
    }
    (sent, served)
}
