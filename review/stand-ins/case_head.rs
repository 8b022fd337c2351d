//! A client sends a HEAD request on a kept connection while all replicas of the route's service are
//! down.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Client, Request},
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
{"name":"r-lot","hostname":"hufi27.example","path_prefix":"/lot/","route_kind":"idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"lot-ledger","attempts":2},
{"name":"r-list","hostname":"hufi27.example","path_prefix":"/list/","route_kind":"idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"dispatch-list","attempts":2}],
"services":[{"name":"lot-ledger","health_check_path":"/health","max_connections":96,"protocol":"h1","tls":false},
{"name":"dispatch-list","health_check_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Number of clients, one after the other.
const CLIENTS: u32 = 5;

pub fn play(day: &mut Day) -> io::Result<Outcome> {
    let (store, runs) = (Store::start()?, Runs::default());
    store.put("config", "main", CONFIG);
    let mut lot_ledger = Vec::new();
    for (number, service) in (0..).zip(["lot-ledger", "lot-ledger", "dispatch-list"]) {
        let replica = Replica::start(
            Spec {
                id: format!("i-{number:04}"),
                service: service.to_owned(),
                zone: "zone-a".to_owned(),
                slots: 2,
                work: Duration::from_millis(20),
            },
            &store,
            &runs,
        )?;
        if service == "lot-ledger" {
            lot_ledger.push(replica);
        }
    }
    let mut instance = Instance::new("frontend-a-1", "zone-a", 0.25, &store, &day.temp, BOUNDS)?;
    instance.start()?;
    if !instance.wait_until_ready(Duration::from_secs(10)) {
        return Ok(Outcome::NotRun("the instance is not ready".to_owned()));
    }
    thread::sleep(Duration::from_millis(BOUNDS.contact_ms + 1_000));
    if day.has_trouble {
        for replica in &lot_ledger {
            replica.go_down();
        }
        day.note(Instant::now(), "all replicas of lot-ledger crash");
        thread::sleep(Duration::from_millis(500));
    }
    let mut broken = 0;
    for number in 0..CLIENTS {
        broken += u32::from(play_client(day, &instance, number)?);
    }
    for it in runs.lock().expect("no thread panics here").iter() {
        day.note(
            it.at,
            &format!("{} of {} runs {} ({})", it.replica, it.service, it.request_id, it.line),
        );
    }
    let text = format!("{broken} of {CLIENTS} clients got bytes that are no answer");
    Ok(if broken > 0 { Outcome::Broken(text) } else { Outcome::Held(text) })
}

/// Sends a HEAD and a GET request on one connection. Returns whether bytes arrived that belong to no
/// answer, or the second answer is none.
fn play_client(day: &mut Day, instance: &Instance, number: u32) -> io::Result<bool> {
    let mut client = Client::connect(instance.client_addr())?;
    let head_id = format!("head{number:012x}");
    let request = |method, target, id| Request {
        method,
        host: "hufi27.example",
        target,
        id,
        deadline_ms: 3_000,
        body: b"",
    };
    let answer = client.send(&request("HEAD", "/lot/17", &head_id))?;
    day.note(Instant::now(), &format!("client {number} HEAD {head_id}: {}", answer.start));
    let extra = client.unasked_bytes(Duration::from_millis(300))?;
    let text = String::from_utf8_lossy(&extra).into_owned();
    day.note(
        Instant::now(),
        &format!("client {number}: {} bytes after the answer: {text:?}", extra.len()),
    );
    let get_id = format!("get{number:013x}");
    let answer = client.send(&request("GET", "/list/4", &get_id));
    let line = answer.map_or_else(|it| it.to_string(), |it| it.start);
    day.note(Instant::now(), &format!("client {number} GET {get_id}: {line:?}"));
    Ok(!extra.is_empty() || !line.starts_with("HTTP/1.1 200"))
}
