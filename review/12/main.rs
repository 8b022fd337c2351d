//! Case 12: the store comes back from an older copy, and the next configuration never takes effect.

#[path = "../kit-3/kit.rs"]
mod kit;

use std::{
    io,
    net::TcpListener,
    path::Path,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use kit::{Entry, Instance, Record, Registration, Store, TempDir, call, lock, ms, response};

/// Age of the copy that the store comes back from.
const COPY_AGE: Duration = Duration::from_secs(5);

/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// `config_apply_ms`, and `max_skew_ms` for a store that was not stable.
const APPLY: Duration = Duration::from_millis(3_000);
const MAX_SKEW: Duration = Duration::from_millis(15_000);

/// How long requests are judged.
const JUDGED: Duration = Duration::from_secs(5);

fn main() {
    kit::limit_run();
    match run() {
        Ok(code) => exit(code),
        Err(err) => {
            eprintln!("could not run: {err}");
            exit(2);
        }
    }
}

fn run() -> io::Result<i32> {
    let record = Record::create(Path::new("review/12/record.txt"))?;
    let has_trouble = kit::has_trouble();
    record.line(format!("trouble: {has_trouble}"));
    let dir = TempDir::create("review-12")?;
    let store = Store::start(Some(record.clone()))?;
    let runs = Arc::new(Mutex::new(Vec::new()));

    let mut replicas = Vec::new();
    for (number, zone) in ["a", "b", "c"].into_iter().enumerate() {
        replicas.push(start_replica(&store, number, zone, &runs)?);
    }
    write_config(&store, &record, 1);

    let mut instances = Vec::new();
    for zone in ["a", "b", "c"] {
        let mut it = Instance::new(&format!("frontend-{zone}-1"), zone, &dir.0, store.addr)?;
        it.start()?;
        instances.push(it);
    }
    for it in &instances {
        if !it.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{} did not become ready", it.name)));
        }
    }
    record.line("all instances are ready");
    thread::sleep(Duration::from_secs(6));
    // All machines but one are lost for good, with or without the drill. The one that the others follow remains.
    let is_followed = |it: &Instance| {
        let lists = it.log_lines("\"event\":\"instances\"");
        lists.last().is_some_and(|it| it.contains("\"source\":\"store\""))
    };
    let followed = instances.iter().position(is_followed);
    let followed = followed.ok_or_else(|| io::Error::other("no machine reads the store"))?;
    instances.swap(0, followed);
    for mut it in instances.drain(1..) {
        it.kill();
        record.line(format!("{} is lost", it.name));
    }
    record.line(format!("{} remains", instances[0].name));
    thread::sleep(Duration::from_secs(10));

    // The copy is made. After it, four more replicas start.
    let copy = store.copy();
    record.line(format!("copy at revision {}", store.revision()));
    let copied_at = Instant::now();
    thread::sleep(ms(300));
    for number in 3..7 {
        let zone = ["a", "b", "c"][number % 3];
        replicas.push(start_replica(&store, number, zone, &runs)?);
        thread::sleep(ms(100));
    }
    thread::sleep(COPY_AGE.saturating_sub(copied_at.elapsed()));
    record.line(format!("revision {} before the drill", store.revision()));

    if has_trouble {
        store.go_away();
        record.line("the store is away");
        thread::sleep(AWAY);
        store.come_back(Some(copy));
        record.line("the store is back from the copy");
    } else {
        thread::sleep(AWAY);
    }
    // The operator has waited for the store with the next version.
    let mut confirmed_at = write_config(&store, &record, 2);
    while confirmed_at.is_none() {
        thread::sleep(ms(50));
        confirmed_at = write_config(&store, &record, 2);
    }
    let confirmed_at = confirmed_at.unwrap_or_else(Instant::now);

    // Traffic on the old route goes on all the while.
    let judged_from = confirmed_at + APPLY + MAX_SKEW + Duration::from_secs(1);
    let mut number = 0_u32;
    let mut refused = 0_u32;
    let mut served = 0_u32;
    while Instant::now() < judged_from + JUDGED {
        let is_judged = Instant::now() >= judged_from;
        for it in &instances {
            for route in ["v1", "v2"] {
                number += 1;
                let id = format!("{number:016x}");
                let fields = [
                    ("Host", "desk.example"),
                    ("X-Rosemarybank-Request-Id", id.as_str()),
                    ("X-Rosemarybank-Deadline-Ms", "2000"),
                ];
                let since = confirmed_at.elapsed().as_millis();
                let answer = call(it.front, "GET", &format!("/{route}/x"), &fields, b"", ms(3_000));
                let (status, is_replica) = match &answer {
                    Ok(it) => (it.status(), it.field("X-Rosemarybank-Server-Stamp").is_some()),
                    Err(_) => (0, false),
                };
                if is_judged || number % 100 < 6 {
                    record.line(format!(
                        "sent {id} /{route}/x to {} {since} ms after the confirmation: {status}, of a replica: {is_replica}",
                        it.name
                    ));
                }
                if is_judged && route == "v2" {
                    refused += u32::from(status == 404 && !is_replica);
                    served += u32::from(status == 200);
                }
            }
        }
        thread::sleep(ms(100));
    }
    for it in &instances {
        for line in it.log_lines("\"event\":\"config\"").iter().chain(&it.log_lines("store_")) {
            record.line(format!("log of {}: {line}", it.name));
        }
    }
    record.line(format!("replicas ran {} requests", lock(&runs).len()));
    record.line(format!("judged requests on the new route: {served} served, {refused} refused with 404"));
    for it in &replicas {
        it.leave();
    }
    if served + refused == 0 {
        return Err(io::Error::other("no judged request was answered"));
    }
    let is_broken = refused > 0;
    record.line(if is_broken { "CONFIG is broken" } else { "CONFIG holds" });
    Ok(i32::from(is_broken))
}

/// Writes a version of the configuration: version 2 adds a route. Returns when it was confirmed.
fn write_config(store: &Store, record: &Record, version: u64) -> Option<Instant> {
    let route = |name: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"desk.example","path_prefix":"/{name}/","service":"desk","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"attempts":2,"priority":1}}"#
        )
    };
    let names: &[&str] = if version == 1 { &["v1"] } else { &["v1", "v2"] };
    let routes: Vec<String> = names.iter().map(|it| route(it)).collect();
    let spec = format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"desk","health_check_path":"/health","max_connections":96}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    );
    let revision = store.put("config", "main", &spec)?;
    record.line(format!("version {version} is confirmed at revision {revision}"));
    Some(Instant::now())
}

fn start_replica(
    store: &Store,
    number: usize,
    zone: &str,
    runs: &Arc<Mutex<Vec<String>>>,
) -> io::Result<Registration> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let id = format!("i-{number:08x}");
    let entry = Entry {
        id: id.clone(),
        service: "desk".into(),
        addr: listener.local_addr()?,
        zone: zone.into(),
        slots: 2,
        state: "ready",
        born: kit::unix_ms(),
        sequence: 0,
    };
    let runs = runs.clone();
    kit::serve_http(listener, move |request| {
        let request_id = request.field("X-Rosemarybank-Request-Id").unwrap_or_default().to_owned();
        if request.target() == "/health" {
            return Some(response(200, &[("X-Rosemarybank-Instance-Id", &id)], b""));
        }
        if request.field("X-Rosemarybank-Expect-Instance").is_some_and(|it| it != id) {
            let fields =
                [("X-Rosemarybank-Request-Id", request_id.as_str()), ("X-Rosemarybank-Not-Executed", "1")];
            return Some(response(421, &fields, b""));
        }
        thread::sleep(ms(5));
        lock(&runs).push(format!("{request_id} at {id}"));
        let stamp = format!("{id}.{request_id}");
        let fields = [
            ("X-Rosemarybank-Request-Id", request_id.as_str()),
            ("X-Rosemarybank-Server-Stamp", stamp.as_str()),
        ];
        Some(response(200, &fields, b"answer"))
    });
    Ok(Registration::start(store, entry))
}
