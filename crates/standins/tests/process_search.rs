//! Searches with real processes.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use rosemarybank_protocol::{key_range::KeyRange, platform::InstanceState};
use rosemarybank_standins::{
    fleet::{
        Signal, Site,
        site::{RECORDS, SHARDS, holding},
        wait_until,
    },
    platform::PlatformFaults,
    upstream::{Command, records::Records},
};
use serde_json::Value;

const QUERY: &str = r#"{"query":"cherry","limit":10,"timeout_ms":2000}"#;

fn keys(answer: &Value) -> Vec<String> {
    let hits = answer["hits"].as_array().expect("an answer has hits");
    hits.iter().map(|it| it["key"].as_str().expect("a key is text").to_owned()).collect()
}

fn expected_keys() -> Vec<String> {
    let records = Records { service: "order-desk", snapshot: 1, count: RECORDS };
    let hits = records.search(KeyRange::ALL, "cherry", 10);
    hits.iter().map(|it| format!("{:016x}", it.key)).collect()
}

/// Guards against wrong hits, and against answers that report more coverage than they have.
#[tokio::test]
async fn an_answer_reports_its_coverage() {
    let mut site = Site::with_instances(1).await;
    let (status, answer) = site.instances[0].search(QUERY).await.unwrap();
    assert_eq!((status, &answer["complete"]), (200, &Value::Bool(true)), "{answer}");
    assert_eq!(answer["coverage"]["records_covered"], RECORDS);
    assert_eq!(answer["coverage"]["records_total"]["exact"], RECORDS);
    assert_eq!(keys(&answer), expected_keys());

    // With both replicas of each shard killed, the answer must report that nothing is covered.
    site.maun_shards.process.signal(Signal::Kill);
    site.rundu_shards.process.signal(Signal::Kill);
    site.maun_shards.process.wait_for_exit().await;
    site.rundu_shards.process.wait_for_exit().await;
    let (status, answer) = site.instances[0].search(QUERY).await.unwrap();
    if status == 200 {
        assert_eq!(answer["complete"], false, "{answer}");
        assert_eq!(answer["coverage"]["records_covered"], 0, "{answer}");
    } else {
        assert!(status >= 500, "{status} {answer}");
        assert_eq!(answer["coverage"]["records_covered"], 0, "{answer}");
        let missing = &answer["coverage"]["missing"];
        assert_eq!(missing[0]["range"]["first"], "0000000000000000", "{answer}");
        let last = missing.as_array().and_then(|it| it.last()).expect("missing ranges are listed");
        assert_eq!(last["range"]["last"], "ffffffffffffffff", "{answer}");
    }
}

/// Guards against failed or incomplete answers when one of the two replicas of each shard is
/// killed.
#[tokio::test]
async fn searches_survive_a_killed_replica() {
    let mut site = Site::with_instances(1).await;
    let instance = &site.instances[0];
    let expected = expected_keys();
    let mut incomplete = 0;
    for round in 0..60 {
        if round == 20 {
            site.maun_shards.process.signal(Signal::Kill);
        }
        let (status, answer) = instance.search(QUERY).await.unwrap();
        assert_eq!(status, 200, "{answer}");
        if answer["complete"] == true {
            assert_eq!(keys(&answer), expected);
        } else {
            incomplete += 1;
        }
    }
    // The retry budget may not cover all four shards whose replicas fail at the same time.
    assert!(incomplete <= 3, "{incomplete} of 60 answers are incomplete");
    site.maun_shards.process.wait_for_exit().await;
    assert_eq!(instance.search(QUERY).await.unwrap().1["complete"], true);
}

/// Guards against new work for draining replicas that the platform's list still shows as live, and
/// against incomplete answers meanwhile.
#[tokio::test]
async fn draining_replicas_get_no_new_work() {
    let site = Site::with_instances(2).await;
    site.maun_shards.run_command(Command::Drain).await;
    assert_first_upstream_gets_no_more_work(&site).await;
}

/// Guards against new work more than 3 s after the drain, as recorded by the replicas, while the
/// platform's list shows them as live and its change is delayed.
#[tokio::test]
async fn draining_replicas_get_no_work_after_three_seconds_with_a_stale_list() {
    let site = Site::with_instances(2).await;
    let lag = PlatformFaults { instance_lag_ms: 60_000, ..PlatformFaults::default() };
    site.platform.set_faults(lag).await;
    let mut entries = site.maun_shards.entries.clone();
    entries.iter_mut().for_each(|it| it.state = InstanceState::Leaving);
    site.platform.set_instances(&entries).await;
    site.maun_shards.run_command(Command::Drain).await;
    let drained = Instant::now();
    let mut rounds = 0;
    while drained.elapsed() < Duration::from_secs(5) {
        let (status, answer) = site.instances[rounds % 2].search(QUERY).await.unwrap();
        assert_eq!((status, &answer["complete"]), (200, &Value::Bool(true)), "{answer}");
        rounds += 1;
    }
    let last = site.maun_shards.last_work_after_drain().await;
    println!("last work {last:?} after the drain, {rounds} searches");
    assert!(last < Duration::from_secs(3), "work came {last:?} after the drain");
}

/// Guards against new work for replicas that the platform's list shows as leaving, although they
/// report that they serve.
#[tokio::test]
async fn leaving_replicas_get_no_new_work() {
    let site = Site::with_instances(2).await;
    let mut entries = site.maun_shards.entries.clone();
    entries.iter_mut().for_each(|it| it.state = InstanceState::Leaving);
    site.platform.set_instances(&entries).await;
    assert_first_upstream_gets_no_more_work(&site).await;
}

async fn assert_first_upstream_gets_no_more_work(site: &Site) {
    let search = async |round: usize| {
        let (status, answer) = site.instances[round % 2].search(QUERY).await.unwrap();
        assert_eq!((status, &answer["complete"]), (200, &Value::Bool(true)), "{answer}");
    };
    let start = Instant::now();
    wait_until("searches stop using the replicas", async || {
        let before = site.maun_shards.received_requests().await;
        for round in 0..10 {
            search(round).await;
        }
        (site.maun_shards.received_requests().await == before).then_some(())
    })
    .await;
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    let before = site.maun_shards.received_requests().await;
    for round in 0..40 {
        search(round).await;
    }
    assert_eq!(site.maun_shards.received_requests().await, before);
}

/// Guards against hits from two snapshots in one answer.
#[tokio::test]
async fn no_answer_mixes_snapshots() {
    let site = Site::with_instances(1).await;
    let instance = &site.instances[0];
    let check_snapshot = async |answer: &Value| {
        let hits = answer["hits"].as_array().expect("an answer has hits");
        let text = |it: &Value| it["record"].as_str().expect("a record is text").to_owned();
        let snapshots: BTreeSet<_> =
            hits.iter().map(|it| text(it).rsplit_once(" s").unwrap().1.to_owned()).collect();
        let stated = answer["snapshot"].to_string();
        assert!(snapshots.iter().all(|it| *it == stated), "{answer}");
        stated
    };
    for (upstream, data_centre) in [(&site.maun_shards, "maun"), (&site.rundu_shards, "rundu")] {
        for shard in 0..SHARDS {
            let replica = format!("order-desk-{shard:02}-{data_centre}");
            upstream.add_snapshot(&replica, holding(2, shard)).await;
            let (_, answer) = instance.search(QUERY).await.unwrap();
            check_snapshot(&answer).await;
        }
    }
    wait_until("the new snapshot is used", async || {
        let (status, answer) = instance.search(QUERY).await.unwrap();
        assert_eq!(status, 200, "{answer}");
        (check_snapshot(&answer).await == "2").then_some(())
    })
    .await;
    for upstream in [&site.maun_shards, &site.rundu_shards] {
        let service = "order-desk".into();
        upstream.run_command(Command::RetireSnapshot { service, snapshot: 1 }).await;
    }
    let (status, answer) = instance.search(QUERY).await.unwrap();
    assert_eq!((status, &answer["complete"]), (200, &Value::Bool(true)), "{answer}");
    assert_eq!(check_snapshot(&answer).await, "2");
}
