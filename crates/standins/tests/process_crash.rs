//! Requests that crash replicas and are sent repeatedly.

use rosemarybank_standins::{
    fleet::{Site, wait_until},
    upstream::{CrashPoint, CrashRule, ReplicaFaults},
};

/// Guards against a request that crashes one replica after another while its caller repeats it, and
/// against other requests that are refused because of it.
#[tokio::test]
async fn a_crash_causing_request_is_quarantined() {
    let site = Site::with_instances(2).await;
    let crash = Some(CrashRule { text: "poison".into(), at: CrashPoint::BeforeEffect });
    for upstream in [&site.maun_shards, &site.rundu_shards] {
        upstream.set_faults(ReplicaFaults { crash: crash.clone(), ..Default::default() }).await;
    }
    let crashes =
        async || site.maun_shards.crash_count().await + site.rundu_shards.crash_count().await;
    let send = async |instance: usize| {
        let body = r#"{"query":"poison","timeout_ms":1000,"coverage":"complete"}"#;
        site.instances[instance].search(body).await.unwrap()
    };
    let mut refused = [0, 0];
    for round in 0..40 {
        let (_, answer) = send(round % 2).await;
        if answer["error"] == "quarantined" {
            refused[round % 2] += 1;
        }
    }
    let count = crashes().await;
    // Each of the two instances sends the first copy to 4 shards before it knows of a crash, and
    // may retry it once. Without quarantine, 40 copies would crash 160 replicas.
    assert!((1..=10).contains(&count), "{count} crashes, {refused:?} copies refused");
    assert!(refused.iter().all(|it| *it >= 10), "{refused:?} copies refused");

    for round in 0..10 {
        assert_eq!(send(round % 2).await.1["error"], "quarantined");
    }
    assert_eq!(crashes().await, count);
    wait_until("another request is answered", async || {
        let (status, answer) = site.instances[0].search(r#"{"query":"cherry"}"#).await.unwrap();
        (status == 200 && answer["complete"] == true).then_some(())
    })
    .await;
}

/// Guards against requests that are quarantined or lost because they run concurrently with a
/// crash-causing one, and against unbounded crashes when two instances get that one concurrently.
#[tokio::test]
async fn requests_concurrent_with_a_crash_causing_one_are_not_quarantined() {
    let site = Site::with_instances(2).await;
    let crash = Some(CrashRule { text: "poison".into(), at: CrashPoint::BeforeEffect });
    for upstream in [&site.maun_shards, &site.rundu_shards] {
        upstream.set_faults(ReplicaFaults { crash: crash.clone(), ..Default::default() }).await;
    }
    let poison = async |instance: usize| {
        let body = r#"{"query":"poison","timeout_ms":1000,"coverage":"complete"}"#;
        let mut refused = 0;
        for _ in 0..20 {
            let (_, answer) = site.instances[instance].search(body).await.unwrap();
            refused += u32::from(answer["error"] == "quarantined");
        }
        refused
    };
    let harmless = async |instance: usize| {
        for _ in 0..60 {
            let body = r#"{"query":"cherry","timeout_ms":1000}"#;
            let (_, answer) = site.instances[instance].search(body).await.unwrap();
            assert_ne!(answer["error"], "quarantined", "{answer}");
        }
    };
    let (first, second, (), ()) = tokio::join!(poison(0), poison(1), harmless(0), harmless(1));
    let crashes = site.maun_shards.crash_count().await + site.rundu_shards.crash_count().await;
    println!("{crashes} crashes, {first} and {second} of 20 copies refused");
    // Each instance sends the first copy to 4 shards and its retry to one. Without quarantine, 40
    // copies would crash 160 replicas.
    assert!((1..=10).contains(&crashes), "{crashes} crashes");
    assert!(first >= 5 && second >= 5, "{first} and {second} of 20 copies refused");
    for instance in &site.instances {
        instance.wait_for_complete_search().await;
    }
}
