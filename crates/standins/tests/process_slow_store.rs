//! Slow calls of the platform, without and with a paused instance.

use futures_util::future::join_all;
use rosemarybank_standins::{
    fleet::{InstanceProcess, ReportedOutcome, Signal, Site, new_idempotency_key, wait_until},
    platform::PlatformFaults,
};

/// Longer than the timeouts of an instance for a call and of a caller for an action.
const SLOW_MS: u64 = 4_000;

const QUERY: &str = r#"{"query":"cherry","timeout_ms":1000}"#;

async fn slow_platform(site: &Site, slow_ms: u64) {
    site.platform.set_faults(PlatformFaults { slow_ms, ..PlatformFaults::default() }).await;
}

async fn submit(instance: &InstanceProcess, key: &str) -> ReportedOutcome {
    ReportedOutcome::from_response(&instance.submit(key, "reserve lot 6").await.unwrap().1)
}

/// Asserts that the number of effects agrees with what the caller was told.
async fn assert_consistent(site: &Site, key: &str, told: ReportedOutcome) {
    let effects = site.ledger.effects().await;
    let count = effects.iter().filter(|it| it.key == key).count();
    assert!(
        told.is_consistent_with(count),
        "{count} effects of {key}, whose caller was told {told:?}"
    );
}

/// Guards against searches that wait for the store, and against actions with a wrong answer or two
/// effects, while calls of the platform take seconds and their writes take effect late.
#[tokio::test]
async fn a_slow_store_delays_no_search_and_repeats_no_action() {
    let site = Site::with_instances(2).await;
    slow_platform(&site, SLOW_MS).await;
    let keys: Vec<_> = (0..4).map(|_| new_idempotency_key()).collect();
    let actions = join_all(keys.iter().map(async |key| {
        // Each action is submitted to both instances concurrently.
        let both = tokio::join!(submit(&site.instances[0], key), submit(&site.instances[1], key));
        both.0.min(both.1)
    }));
    let searches = async {
        for round in 0..40 {
            let (status, answer) = site.instances[round % 2].search(QUERY).await.unwrap();
            assert_eq!((status, &answer["complete"]), (200, &true.into()), "{answer}");
        }
    };
    let (answers, ()) = tokio::join!(actions, searches);
    for (key, told) in keys.iter().zip(answers) {
        assert_consistent(&site, key, told).await;
    }
    // Writes that the instances gave up on take effect now, and the callers retry.
    slow_platform(&site, 0).await;
    for key in &keys {
        let told = submit(&site.instances[1], key).await;
        assert_consistent(&site, key, told).await;
    }
    let key = new_idempotency_key();
    wait_until("actions succeed again", async || {
        (submit(&site.instances[0], &key).await == ReportedOutcome::Done).then_some(())
    })
    .await;
    assert_consistent(&site, &key, ReportedOutcome::Done).await;
}

/// Guards against a second effect by an instance that is paused beyond the deadline of an action
/// while the store is slow, and whose caller retries through another instance.
#[tokio::test]
async fn a_claim_holder_paused_beyond_the_deadline_adds_no_effect() {
    let site = Site::with_instances(2).await;
    // Below the call timeout of 500 ms, and long enough to pause the instance before the store
    // confirms its claim.
    slow_platform(&site, 250).await;
    let key = new_idempotency_key();
    let first = site.instances[0].submit(&key, "reserve lot 6");
    let others = async {
        let claims = async || site.platform.list_values("claims/").await.pop();
        wait_until("the claim exists", claims).await;
        site.instances[0].process.signal(Signal::Stop);
        // The retry waits until its own deadline, which is later than that of the first attempt.
        let retry = submit(&site.instances[1], &key).await;
        assert_consistent(&site, &key, retry).await;
        assert_eq!(retry, ReportedOutcome::Unknown);
        site.instances[0].process.signal(Signal::Cont);
    };
    let (first, ()) = tokio::join!(first, others);
    let first = ReportedOutcome::from_response(&first.unwrap().1);
    assert_consistent(&site, &key, first).await;
    slow_platform(&site, 0).await;
    for instance in &site.instances {
        let again = submit(instance, &key).await;
        assert_consistent(&site, &key, again).await;
    }
    assert!(site.ledger.effects().await.len() <= 1);
}
