//! All replicas of a service are down for some seconds, while clients send requests to it.

#[path = "../kit-2/kit.rs"]
mod kit;

use std::{
    io::{self, BufRead},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use kit::*;

/// Replicas of the service, as on the site.
const REPLICAS: usize = 11;

/// Work per request, the mean of the site.
const WORK: Duration = Duration::from_millis(60);

/// Time for which the replicas are down, as in the list of troubles of the site.
const DOWN_TIME: Duration = Duration::from_millis(4_500);

/// The entry of a silent replica is removed after three intervals of its liveness reports.
const LEASE: Duration = Duration::from_millis(3_600);

/// Number of outages, and the time before each.
const OUTAGES: (u32, Duration) = (8, Duration::from_secs(4));

/// Timeout of the route, and the time limit of the clients.
const TIMEOUT_MS: u64 = 3_000;

/// Time after the timeout at which the rule asks for an answer.
const GRACE_MS: u64 = 500;

/// Clients for each instance; the site has 132 for six.
const CLIENTS: usize = 32;

/// Time between two requests of a client.
const THINK_TIME: Duration = Duration::from_millis(250);

/// A process with all replicas of the service.
fn run_replicas(ids: &[String]) -> io::Result<()> {
    for id in ids {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        println!("{}", listener.local_addr()?);
        let (id, slots) = (id.clone(), Slots::new(2));
        listen(listener, move |stream| serve(&id, &slots, stream));
    }
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn serve(id: &str, slots: &Slots, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut out, mut reader) = (stream.try_clone()?, Reader::new(stream));
    while let Some(request) = reader.request()? {
        let request_id = request.request_id().to_owned();
        if request.field("x-rosemarybank-expect-instance") != Some(id) {
            let fields = [
                ("x-rosemarybank-request-id", request_id.as_str()),
                ("x-rosemarybank-not-executed", "1"),
            ];
            write_response(&mut out, "421 Misdirected Request", &fields, b"")?;
            continue;
        }
        slots.with(|| thread::sleep(WORK));
        let stamp = stamp(id, &request_id);
        let fields = [
            ("x-rosemarybank-request-id", request_id.as_str()),
            ("x-rosemarybank-server-stamp", &stamp),
        ];
        write_response(&mut out, "200 OK", &fields, b"the record")?;
    }
    Ok(())
}

struct Replicas {
    child: Child,
    registrations: Vec<Registration>,
}

fn start_replicas(lifetime: u32, store: &Store) -> io::Result<Replicas> {
    let ids: Vec<String> = (0..REPLICAS).map(|it| format!("i-{it}-{lifetime}")).collect();
    let mut child = Command::new(std::env::current_exe()?)
        .arg("replicas")
        .args(&ids)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let mut lines = io::BufReader::new(child.stdout.take().unwrap()).lines();
    let mut registrations = Vec::new();
    for (number, id) in ids.iter().enumerate() {
        let line = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
        let addr: SocketAddr = line.parse().map_err(io::Error::other)?;
        let zone = ["khomas-a", "kavango-a", "erongo-a"][number % 3];
        let registration = Registration::new(id, "lot-ledger", zone, 2, addr);
        registration.beat(store);
        registrations.push(registration);
    }
    Ok(Replicas { child, registrations })
}

/// What the clients have seen.
#[derive(Default)]
struct Seen {
    sent: AtomicU64,
    succeeded: AtomicU64,
    unanswered_at_timeout: AtomicU64,
    unanswered_later: AtomicU64,
    lost: Mutex<Vec<String>>,
}

/// Sends one client attempt on a connection. Returns the answer, or `None` if there was none in time.
fn attempt(
    client: &mut Client,
    name: &str,
    id: &str,
    seen: &Seen,
    record: &Record,
) -> Option<Message> {
    seen.sent.fetch_add(1, Ordering::Relaxed);
    let limit = Duration::from_millis(TIMEOUT_MS + GRACE_MS);
    client.stream.set_read_timeout(Some(limit)).ok()?;
    let sent_at = Instant::now();
    let answer = client.call("GET", &format!("/lot-fetch/{id}"), id, TIMEOUT_MS, b"");
    let took = sent_at.elapsed();
    if took >= Duration::from_millis(TIMEOUT_MS) {
        seen.unanswered_at_timeout.fetch_add(1, Ordering::Relaxed);
    }
    match answer {
        Ok(it) => Some(it),
        Err(err) => {
            let ms = took.as_millis();
            record.line(format!("client of {name}: {id} has no answer after {ms} ms, {err}"));
            if took >= limit {
                seen.unanswered_later.fetch_add(1, Ordering::Relaxed);
                seen.lost.lock().unwrap().push(id.to_owned());
            }
            None
        }
    }
}

fn connect(port: u16) -> Option<Client> {
    let stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    Client::from_stream(stream).ok()
}

fn run_client(
    number: usize,
    ports: &[(String, u16)],
    stop: &AtomicBool,
    seen: &Seen,
    record: &Record,
) {
    let mut sent = 0_u64;
    let home = number % ports.len();
    let mut client = None;
    while !stop.load(Ordering::Relaxed) {
        let Some(mut own) = client.take().or_else(|| connect(ports[home].1)) else {
            sleep_ms(100);
            continue;
        };
        sent += 1;
        let id = format!("{:016x}", (number as u64) << 32 | sent << 1);
        let started = Instant::now();
        let answer = attempt(&mut own, &ports[home].0, &id, seen, record);
        let status = answer.as_ref().map_or(0, Message::status);
        if status == 200 {
            seen.succeeded.fetch_add(1, Ordering::Relaxed);
            client = Some(own);
        } else if status > 0 {
            // One retry on a new connection to another instance, after the time that the answer states, of
            // at most a third of the time left.
            let left = Duration::from_millis(TIMEOUT_MS).saturating_sub(started.elapsed());
            let stated = answer.as_ref().and_then(|it| it.field("retry-after")?.parse().ok());
            thread::sleep(Duration::from_secs_f32(stated.unwrap_or(0.0)).min(left / 3));
            let (name, port) = &ports[(home + 1) % ports.len()];
            if let Some(mut other) = connect(*port) {
                let id = format!("{:016x}", (number as u64) << 32 | sent << 1 | 1);
                attempt(&mut other, name, &id, seen, record);
            }
            client = Some(own);
        }
        thread::sleep(THINK_TIME);
    }
}

fn run(record: &Record) -> io::Result<i32> {
    let dir = TempDir::new("review-6")?;
    let store = Store::start()?;
    let mut replicas = start_replicas(0, &store)?;
    let code = run_instances(record, &dir, &store, &mut replicas);
    let _ = replicas.child.kill();
    let _ = replicas.child.wait();
    code
}

fn run_instances(
    record: &Record,
    dir: &TempDir,
    store: &Store,
    replicas: &mut Replicas,
) -> io::Result<i32> {
    let route = Route {
        name: "lot-fetch",
        kind: "idempotent",
        service: "lot-ledger",
        gather: &[],
        timeout_ms: TIMEOUT_MS,
        target_ms: 300,
    };
    store.write("config", "main", Some(config(3, &[route], &["lot-ledger"], 262_144)));
    let mut instances = Vec::new();
    for (name, zone) in [("front-1", "khomas-a"), ("front-2", "kavango-a"), ("front-3", "erongo-a")]
    {
        let mut it = Instance::new(name, zone, &dir.0, store.addr)?;
        it.write_settings(10)?;
        it.start()?;
        instances.push(it);
    }
    if !instances.iter().all(|it| it.wait_ready(Duration::from_secs(10))) {
        record.say("the instances did not become ready");
        return Ok(COULD_NOT_RUN);
    }
    let ports: Vec<(String, u16)> =
        instances.iter().map(|it| (it.name.clone(), it.client_port)).collect();
    let (stop, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Seen::default()));
    let clients: Vec<_> = (0..CLIENTS * instances.len())
        .map(|number| {
            let (ports, stop) = (ports.clone(), stop.clone());
            let (seen, record) = (seen.clone(), record.clone());
            thread::spawn(move || run_client(number, &ports, &stop, &seen, &record))
        })
        .collect();
    for outage in 1..=OUTAGES.0 {
        thread::sleep(OUTAGES.1);
        if is_calm() {
            thread::sleep(DOWN_TIME);
            continue;
        }
        record.line("all replicas are killed");
        replicas.child.kill()?;
        replicas.child.wait()?;
        replicas.registrations.iter().for_each(Registration::silence);
        thread::sleep(LEASE);
        replicas.registrations.iter().for_each(|it| it.leave(store));
        thread::sleep(DOWN_TIME - LEASE);
        *replicas = start_replicas(outage, store)?;
        record.line("the replicas are back, with new ids");
    }
    sleep_ms(4_000);
    stop.store(true, Ordering::Relaxed);
    for it in clients {
        let _ = it.join();
    }
    for it in &instances {
        let metrics = it.metrics();
        let line = |name: &str| {
            let found = metrics.lines().find(|it| it.starts_with(name));
            found.unwrap_or_default().to_owned()
        };
        record.line(format!(
            "{}: {}, {}, {}",
            it.name,
            line("rosemarybank_requests_total"),
            line("rosemarybank_answer_ms_count"),
            line("rosemarybank_requests_in_flight")
        ));
    }
    let load = |it: &AtomicU64| it.load(Ordering::Relaxed);
    let (at_timeout, later) = (load(&seen.unanswered_at_timeout), load(&seen.unanswered_later));
    record.say(format!(
        "sent: {}; served: {}; unanswered at the route's timeout: {at_timeout}, of which unanswered {GRACE_MS} ms later: {later}",
        load(&seen.sent),
        load(&seen.succeeded)
    ));
    Ok(i32::from(2 * later > at_timeout))
}

fn main() -> io::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|it| it == "replicas") {
        return run_replicas(&args[2..]);
    }
    let record = Record::create(Path::new("review/6"))?;
    let code = run(&record).unwrap_or_else(|err| {
        record.say(format!("the case could not run: {err}"));
        COULD_NOT_RUN
    });
    record.say(format!("exit {code}"));
    std::process::exit(code);
}
