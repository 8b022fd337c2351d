//! Actions submitted to real processes while the processes or the store fail.

use rosemarybank_standins::{
    fleet::{ReportedOutcome, Signal, Site, new_idempotency_key, wait_until},
    platform::{LoseReplies, PlatformFaults},
    upstream::ReplicaFaults,
};
use serde_json::Value;

/// Number of effects of an action.
async fn effects(site: &Site, key: &str) -> usize {
    site.ledger.effects().await.iter().filter(|it| it.key == key).count()
}

/// Asserts that the number of effects agrees with the answer that the caller got.
async fn assert_consistent(site: &Site, key: &str, answer: &Value) {
    let (told, effects) = (ReportedOutcome::from_response(answer), effects(site, key).await);
    assert!(told.is_consistent_with(effects), "{effects} effects: {answer}");
}

/// Makes each action take about 600 ms, so that a test can act while it is in progress.
async fn slow_ledger(site: &Site) {
    site.ledger.set_faults(ReplicaFaults { straggler: 200.0, ..ReplicaFaults::default() }).await;
}

/// Guards against a repeated or lost action when the replies of the store are lost after its writes
/// took effect.
#[tokio::test]
async fn lost_store_replies_do_not_repeat_an_action() {
    let site = Site::with_instances(2).await;
    for count in 1..=4 {
        let lose_replies = Some(LoseReplies { prefix: "claims/".into(), count });
        let faults = PlatformFaults { lose_replies, ..PlatformFaults::default() };
        site.platform.set_faults(faults).await;
        let key = new_idempotency_key();
        let (_, answer) = site.instances[0].submit(&key, "reserve lot 1").await.unwrap();
        assert_consistent(&site, &key, &answer).await;

        site.platform.set_faults(PlatformFaults::default()).await;
        let (_, answer) = site.instances[1].submit(&key, "reserve lot 1").await.unwrap();
        assert_consistent(&site, &key, &answer).await;
    }
}

/// Guards against a retry that runs an action again after the instance that ran it was killed.
#[tokio::test]
async fn a_killed_instance_does_not_repeat_an_action() {
    let mut site = Site::with_instances(2).await;
    slow_ledger(&site).await;
    let key = new_idempotency_key();
    {
        let first = site.instances[0].submit(&key, "reserve lot 2");
        let killed = async {
            wait_until("the action runs", async || {
                (site.ledger.active_requests().await == 1).then_some(())
            })
            .await;
            site.instances[0].process.signal(Signal::Kill);
        };
        let (first, ()) = tokio::join!(first, killed);
        assert!(first.is_err(), "{first:?}");
    }
    let (_, answer) = site.instances[1].submit(&key, "reserve lot 2").await.unwrap();
    assert_eq!(ReportedOutcome::from_response(&answer), ReportedOutcome::Unknown, "{answer}");

    site.instances[0].restart().await;
    site.instances[0].wait_until_ready().await;
    let (_, answer) = site.instances[0].submit(&key, "reserve lot 2").await.unwrap();
    assert_eq!(ReportedOutcome::from_response(&answer), ReportedOutcome::Unknown, "{answer}");
    assert_eq!(effects(&site, &key).await, 1);
}

/// Guards against an instance that is paused while it holds a claim, and sends the action when it
/// resumes although the deadline has passed or another instance has answered the retry.
#[tokio::test]
async fn a_paused_instance_does_not_repeat_an_action() {
    let site = Site::with_instances(2).await;
    let slow = PlatformFaults { slow_ms: 400, ..PlatformFaults::default() };
    site.platform.set_faults(slow).await;
    let key = new_idempotency_key();
    let first = site.instances[0].submit(&key, "reserve lot 3");
    let others = async {
        // The claim exists, and its confirmation comes 200 ms later.
        let claims = async || site.platform.list_values("claims/").await.pop();
        wait_until("the claim exists", claims).await;
        site.instances[0].process.signal(Signal::Stop);
        site.platform.set_faults(PlatformFaults::default()).await;
        let (_, answer) = site.instances[1].submit(&key, "reserve lot 3").await.unwrap();
        assert_consistent(&site, &key, &answer).await;
        assert_ne!(ReportedOutcome::from_response(&answer), ReportedOutcome::NotRun, "{answer}");
        site.instances[0].process.signal(Signal::Cont);
    };
    let (first, ()) = tokio::join!(first, others);
    let (_, answer) = first.unwrap();
    assert_consistent(&site, &key, &answer).await;
    // The 3 s deadline of the action passed while its instance was paused.
    assert_eq!(effects(&site, &key).await, 0);
    let (_, answer) = site.instances[1].submit(&key, "reserve lot 3").await.unwrap();
    assert_consistent(&site, &key, &answer).await;
}

/// Guards against a second effect when the instance that runs an action is paused and the caller
/// retries through another instance.
#[tokio::test]
async fn an_action_retried_during_a_pause_has_one_effect() {
    let site = Site::with_instances(2).await;
    slow_ledger(&site).await;
    let key = new_idempotency_key();
    let first = site.instances[0].submit(&key, "reserve lot 4");
    let others = async {
        wait_until("the action runs", async || {
            (site.ledger.active_requests().await == 1).then_some(())
        })
        .await;
        site.instances[0].process.signal(Signal::Stop);
        let (_, answer) = site.instances[1].submit(&key, "reserve lot 4").await.unwrap();
        assert_eq!(ReportedOutcome::from_response(&answer), ReportedOutcome::Unknown, "{answer}");
        site.instances[0].process.signal(Signal::Cont);
    };
    let (first, ()) = tokio::join!(first, others);
    let (_, answer) = first.unwrap();
    assert_consistent(&site, &key, &answer).await;
    assert_eq!(effects(&site, &key).await, 1);
}

/// Guards against an action that runs without a claim while the store is down.
#[tokio::test]
async fn an_action_without_the_store_is_not_run() {
    let site = Site::with_instances(1).await;
    site.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await;
    let key = new_idempotency_key();
    let (_, answer) = site.instances[0].submit(&key, "reserve lot 5").await.unwrap();
    assert_eq!(ReportedOutcome::from_response(&answer), ReportedOutcome::NotRun, "{answer}");
    assert_eq!(effects(&site, &key).await, 0);

    site.platform.set_faults(PlatformFaults::default()).await;
    wait_until("the retry is done", async || {
        let (_, answer) = site.instances[0].submit(&key, "reserve lot 5").await.unwrap();
        (ReportedOutcome::from_response(&answer) == ReportedOutcome::Done).then_some(())
    })
    .await;
    assert_eq!(effects(&site, &key).await, 1);
}
