//! Six of eleven replicas spoil one answer in 20 for a few seconds: they send bytes that are no response.

use std::{
    io,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, send_once},
    instance::{Bounds, Instance},
    record::{Day, Outcome},
    replica::{Replica, Runs, Spec, spawn},
    store::Store,
};

const BOUNDS: Bounds = Bounds {
    contact_ms: 5_000,
    drain_ms: 3_000,
    config_apply_ms: 3_000,
    recovery_s: 12,
    retry_budget_slack: 52,
};

/// The route's `timeout_ms`.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(3_000);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-lot","hostname":"hufi27.example","path_prefix":"/lot/","route_kind":"idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"lot-ledger","attempts":2}],
"services":[{"name":"lot-ledger","health_check_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Replicas of the service in each zone.
const REPLICAS: [(&str, usize); 3] = [("zone-a", 4), ("zone-b", 4), ("zone-c", 3)];

/// Replicas that become faulty: 0.6 of all.
const FAULTY: usize = 6;

/// Requests are sent for this long, one each [`PAUSE`].
const TRAFFIC_TIME: Duration = Duration::from_secs(24);

const PAUSE: Duration = Duration::from_millis(15);

/// Time into the traffic at which the replica becomes faulty.
const FAULT_AT: Duration = Duration::from_secs(8);

/// How long the replica is faulty.
const FAULT_TIME: Duration = Duration::from_millis(5_500);

struct Sent {
    id: String,
    at: Instant,
    line: String,
    took: Duration,
}

pub fn play(day: &mut Day) -> io::Result<Outcome> {
    let (store, runs) = (Store::start()?, Runs::default());
    store.put("config", "main", CONFIG);
    let mut replicas = Vec::new();
    let zones = REPLICAS.iter().flat_map(|(zone, count)| std::iter::repeat_n(*zone, *count));
    for (number, zone) in zones.enumerate() {
        let spec = Spec {
            id: format!("i-{number:04}"),
            service: "lot-ledger".to_owned(),
            zone: zone.to_owned(),
            slots: 2,
            work: Duration::from_millis(60),
        };
        replicas.push(Replica::start(spec, &store, &runs)?);
    }
    let mut instance = Instance::new("frontend-a-1", "zone-a", 0.25, &store, &day.temp, BOUNDS)?;
    instance.start()?;
    if !instance.wait_until_ready(Duration::from_secs(10)) {
        return Ok(Outcome::NotRun("the instance is not ready".to_owned()));
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let began = Instant::now();
    let (mut number, mut is_faulty, mut is_over) = (0, false, false);
    while began.elapsed() < TRAFFIC_TIME {
        if day.has_trouble && !is_faulty && began.elapsed() >= FAULT_AT {
            is_faulty = true;
            for replica in &replicas[..FAULTY] {
                replica.is_faulty.store(true, Ordering::SeqCst);
            }
            day.note(Instant::now(), &format!("{FAULTY} replicas become faulty"));
        }
        if is_faulty && !is_over && began.elapsed() >= FAULT_AT + FAULT_TIME {
            is_over = true;
            for replica in &replicas[..FAULTY] {
                replica.is_faulty.store(false, Ordering::SeqCst);
            }
            day.note(Instant::now(), "all replicas are sound again");
        }
        let (sent, addr) = (sent.clone(), instance.client_addr());
        spawn(move || send(number, addr, &sent));
        number += 1;
        thread::sleep(PAUSE);
    }
    let probe_at = Instant::now();
    let ready = if instance.is_ready() { "ready" } else { "not ready" };
    day.note(probe_at, &format!("the instance is {ready}"));
    thread::sleep(Duration::from_secs(8));
    let sent = sent.lock().expect("no thread panics here");
    let (mut unanswered, mut late) = (0, 0);
    for it in sent.iter() {
        day.note(it.at, &format!("{}: {} after {} ms", it.id, it.line, it.took.as_millis()));
        unanswered += u32::from(it.took >= ROUTE_TIMEOUT);
        late += u32::from(it.took >= ROUTE_TIMEOUT + Duration::from_millis(500));
    }
    let text = format!(
        "{unanswered} of {} requests were unanswered at the route's timeout, {late} of them half a second later",
        sent.len()
    );
    Ok(if late * 2 > unanswered { Outcome::Broken(text) } else { Outcome::Held(text) })
}

fn send(number: u32, addr: std::net::SocketAddr, sent: &Mutex<Vec<Sent>>) {
    let (id, target) = (format!("lot{number:013x}"), format!("/lot/{number}"));
    let request = Request {
        method: "GET",
        host: "hufi27.example",
        target: &target,
        id: &id,
        deadline_ms: 6_000,
        body: b"",
    };
    let at = Instant::now();
    let answer = send_once(addr, &request);
    let line = answer.map_or_else(|it| it.to_string(), |it| it.start);
    let took = at.elapsed();
    sent.lock().expect("no thread panics here").push(Sent { id, at, line, took });
}
