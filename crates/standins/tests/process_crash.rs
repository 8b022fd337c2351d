//! Requests that crash upstreams, sent again and again.

use rosemarybank_standins::{
    fleet::{Site, until},
    upstream::{CrashPoint, CrashRule, StandingFaults},
};

/// Guards against a request that crashes one replica after the other as long as its caller
/// repeats it, and against innocent requests that are refused with it.
#[tokio::test]
async fn a_crash_causing_request_is_stopped() {
    let site = Site::with_instances(2).await;
    let crash = Some(CrashRule { text: "poison".into(), at: CrashPoint::BeforeEffect });
    for upstream in [&site.first, &site.second] {
        upstream.set_faults(StandingFaults { crash: crash.clone(), ..Default::default() }).await;
    }
    let crashes = async || site.first.crashes().await + site.second.crashes().await;
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
    let seen = crashes().await;
    // The first copy at each of the two instances goes to 4 shards before a crash is known, and
    // may be retried once; 40 unhindered copies would crash 160 replicas.
    assert!((1..=10).contains(&seen), "{seen} crashes, {refused:?} copies refused");
    assert!(refused.iter().all(|it| *it >= 10), "{refused:?} copies refused");

    for round in 0..10 {
        assert_eq!(send(round % 2).await.1["error"], "quarantined");
    }
    assert_eq!(crashes().await, seen);
    until("an innocent request is answered", async || {
        let (status, answer) = site.instances[0].search(r#"{"query":"cherry"}"#).await.unwrap();
        (status == 200 && answer["complete"] == true).then_some(())
    })
    .await;
}
