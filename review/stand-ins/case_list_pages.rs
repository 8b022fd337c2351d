//! The instance that reads the store is killed while replicas of many services are replaced. The one
//! that takes over lists the replicas in two pages.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Client, Request},
    instance::{Bounds, Instance},
    record::{Day, Outcome},
    replica::{Replica, Runs, Spec, spawn},
    store::Store,
};

/// The bounds of the large installation, whose number of replicas this case has, except for
/// `drain_ms`, `contact_ms` and `config_apply_ms`, which are those of the small ones.
const BOUNDS: Bounds = Bounds {
    contact_ms: 5_000,
    drain_ms: 3_000,
    config_apply_ms: 3_000,
    recovery_s: 12,
    retry_budget_slack: 52,
};

/// Services that get requests. Each has three replicas.
const SERVICES: usize = 100;

/// Services that get no requests, so that their replicas need no process here. Together with the
/// others there are 687 replicas, as in the large installation.
const OTHER_REPLICAS: usize = 387;

const REPLICAS_PER_SERVICE: usize = 3;

/// Time within which one replica of each service begins to drain.
const RELEASE_TIME: Duration = Duration::from_millis(400);

/// A draining replica serves for `drain_ms` after the confirmation and a little longer.
const EXTRA_TIME: Duration = Duration::from_millis(1_500);

/// Clients, each with a connection and a request after the other.
const CLIENTS: usize = 40;

/// Pause of a client between its requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(40);

pub fn play(day: &mut Day) -> io::Result<Outcome> {
    let (store, runs) = (Store::start()?, Runs::default());
    store.put("config", "main", &config());
    let mut replicas = Vec::new();
    for index in 0..SERVICES * REPLICAS_PER_SERVICE {
        replicas.push(start_replica(index, index % SERVICES, &store, &runs)?);
    }
    for index in 0..OTHER_REPLICAS {
        let id = format!("i-{:08x}", scatter(10_000 + index));
        let entry = format!(
            r#"{{"service":"other-{:03}","address":"127.0.0.1:9","zone":"zone-a","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}}"#,
            index / REPLICAS_PER_SERVICE
        );
        store.put("servers", &id, &entry);
    }
    // The larger machine is the one that the others follow.
    let mut reader = Instance::new("frontend-a-1", "zone-a", 0.5, &store, &day.temp, BOUNDS)?;
    let mut follower = Instance::new("frontend-a-2", "zone-a", 0.25, &store, &day.temp, BOUNDS)?;
    for instance in [&mut reader, &mut follower] {
        instance.start()?;
    }
    if ![&reader, &follower].iter().all(|it| it.wait_until_ready(Duration::from_secs(10))) {
        return Ok(Outcome::NotRun("an instance is not ready".to_owned()));
    }
    let traffic = Traffic::start(&follower);
    // The start of the instances lies longer than `contact_ms` back, and they have found each other.
    thread::sleep(Duration::from_secs(12));

    let release_began = Instant::now();
    day.note(release_began, "one replica of each service begins to be replaced");
    if day.has_trouble {
        reader.kill();
        day.note(Instant::now(), "the instance that reads the store is killed");
    }
    let mut drained: HashMap<String, Instant> = HashMap::new();
    for index in 0..SERVICES {
        let due = release_began + RELEASE_TIME * index as u32 / SERVICES as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        start_replica(20_000 + index, index, &store, &runs)?;
        let old = replicas[index].clone();
        let confirmed_at = old.report("draining");
        drained.insert(old.spec.id.clone(), confirmed_at);
        spawn(move || {
            thread::sleep(Duration::from_millis(BOUNDS.drain_ms) + EXTRA_TIME);
            old.leave();
        });
    }
    // Until the last of them has left.
    thread::sleep(Duration::from_millis(BOUNDS.drain_ms) + EXTRA_TIME + Duration::from_secs(1));
    if day.has_trouble && !follower.is_ready() {
        return Ok(Outcome::NotRun("the other instance is not ready".to_owned()));
    }
    let (sent, served) = traffic.stop();
    day.note(
        Instant::now(),
        &format!("clients sent {sent} requests; {served} were answered with 200"),
    );

    let mut late = Vec::new();
    for run in runs.lock().expect("no thread panics here").iter() {
        let Some(confirmed_at) = drained.get(&run.replica) else { continue };
        let after = run.at.saturating_duration_since(*confirmed_at);
        if after > Duration::from_millis(BOUNDS.drain_ms) {
            late.push((run.clone(), after));
        }
    }
    let mut names: Vec<String> = late.iter().map(|it| it.0.replica.clone()).collect();
    names.sort();
    names.dedup();
    for name in &names {
        day.note(drained[name], &format!("the store confirms that {name} is draining"));
    }
    for (run, after) in &late {
        let text = format!(
            "{} of {} runs {} {} ms after the confirmation",
            run.replica,
            run.service,
            run.request_id,
            after.as_millis()
        );
        day.note(run.at, &text);
    }
    let text = format!(
        "{} requests ran at {} of {SERVICES} draining replicas later than {} ms",
        late.len(),
        names.len(),
        BOUNDS.drain_ms
    );
    if served * 2 < sent {
        return Ok(Outcome::NotRun(format!("only {served} of {sent} requests were served")));
    }
    Ok(if late.is_empty() { Outcome::Held(text) } else { Outcome::Broken(text) })
}

fn start_replica(index: usize, service: usize, store: &Store, runs: &Runs) -> io::Result<Replica> {
    let spec = Spec {
        id: format!("i-{:08x}", scatter(index)),
        service: format!("shard-{service:03}"),
        zone: "zone-a".to_owned(),
        slots: 2,
        work: Duration::from_millis(20),
    };
    Replica::start(spec, store, runs)
}

/// Spreads numbers, because the ids of replicas are in no order.
fn scatter(index: usize) -> u32 {
    (index as u32).wrapping_add(1).wrapping_mul(2_654_435_761)
}

fn config() -> String {
    let routes: Vec<String> = (0..SERVICES)
        .map(|it| {
            format!(
                r#"{{"name":"r-{it:03}","hostname":"leno12.example","path_prefix":"/shard{it:03}/","route_kind":"idempotent","timeout_ms":1200,"target_latency_ms":300,"priority":1,"service":"shard-{it:03}","attempts":2}}"#
            )
        })
        .collect();
    let services: Vec<String> = (0..SERVICES)
        .map(|it| {
            format!(
                r#"{{"name":"shard-{it:03}","health_check_path":"/health","max_connections":25,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Clients that send requests to one instance, to each service in turn.
struct Traffic {
    is_over: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    served: Arc<AtomicU64>,
    ended: Arc<Mutex<usize>>,
}

impl Traffic {
    fn start(instance: &Instance) -> Traffic {
        let traffic = Traffic {
            is_over: Arc::default(),
            sent: Arc::default(),
            served: Arc::default(),
            ended: Arc::default(),
        };
        for client in 0..CLIENTS {
            let addr = instance.client_addr();
            let (is_over, sent, served, ended) = (
                traffic.is_over.clone(),
                traffic.sent.clone(),
                traffic.served.clone(),
                traffic.ended.clone(),
            );
            spawn(move || {
                let mut connection: Option<Client> = None;
                while !is_over.load(Ordering::SeqCst) {
                    let number = sent.fetch_add(1, Ordering::SeqCst);
                    let service = number as usize % SERVICES;
                    let (id, target) = (
                        format!("c{client:02}-{number:09x}"),
                        format!("/shard{service:03}/{number:x}"),
                    );
                    let request = Request {
                        method: "GET",
                        host: "leno12.example",
                        target: &target,
                        id: &id,
                        deadline_ms: 1_200,
                        body: b"",
                    };
                    let answer = connection
                        .take()
                        .map_or_else(|| Client::connect(addr), Ok)
                        .and_then(|mut it| it.send(&request).map(|answer| (it, answer)));
                    if let Ok((client, answer)) = answer {
                        served.fetch_add(u64::from(answer.status() == 200), Ordering::SeqCst);
                        let closes = http::Message::field(&answer, "connection") == Some("close");
                        connection = (!closes).then_some(client);
                    }
                    thread::sleep(CLIENT_PAUSE);
                }
                *ended.lock().expect("no thread panics here") += 1;
            });
        }
        traffic
    }

    /// Stops the clients. Returns how many requests they sent and how many were served.
    fn stop(self) -> (u64, u64) {
        self.is_over.store(true, Ordering::SeqCst);
        while *self.ended.lock().expect("no thread panics here") < CLIENTS {
            thread::sleep(Duration::from_millis(20));
        }
        (self.sent.load(Ordering::SeqCst), self.served.load(Ordering::SeqCst))
    }
}
