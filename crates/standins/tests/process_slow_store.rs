//! A platform that takes several seconds for each call, alone and with a paused instance.

use futures_util::future::join_all;
use rosemarybank_standins::{
    fleet::{InstanceProcess, ReportedOutcome, Signal, Site, new_idempotency_key, wait_until},
    platform::PlatformFaults,
};

/// Longer than an instance waits for a call and than a caller waits for an action.
const SLOW_MS: u64 = 4_000;

const QUERY: &str = r#"{"query":"cherry","timeout_ms":1000}"#;

async fn slow(site: &Site, slow_ms: u64) {
    site.platform.set_faults(PlatformFaults { slow_ms, ..PlatformFaults::default() }).await;
}

async fn told(instance: &InstanceProcess, key: &str) -> ReportedOutcome {
    ReportedOutcome::from_response(&instance.submit(key, "reserve lot 6").await.unwrap().1)
}

async fn check(site: &Site, key: &str, told: ReportedOutcome) {
    let effects = site.ledger.effects().await;
    let count = effects.iter().filter(|it| it.key == key).count();
    assert!(
        told.is_consistent_with(count),
        "{count} effects of {key}, whose caller was told {told:?}"
    );
}

/// Guards against searches that wait for the store, and against actions whose answer is untrue or
/// that run twice, while each call of the platform takes seconds and its effect comes late.
#[tokio::test]
async fn a_slow_store_holds_no_search_and_doubles_no_action() {
    let site = Site::with_instances(2).await;
    slow(&site, SLOW_MS).await;
    let keys: Vec<_> = (0..4).map(|_| new_idempotency_key()).collect();
    let actions = join_all(keys.iter().map(async |key| {
        // Impatient callers send through both instances.
        let both = tokio::join!(told(&site.instances[0], key), told(&site.instances[1], key));
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
        check(&site, key, told).await;
    }
    // Writes that were given up take effect now, and the callers try again.
    slow(&site, 0).await;
    for key in &keys {
        let told = told(&site.instances[1], key).await;
        check(&site, key, told).await;
    }
    let key = new_idempotency_key();
    wait_until("actions run again", async || {
        (told(&site.instances[0], &key).await == ReportedOutcome::Done).then_some(())
    })
    .await;
    check(&site, &key, ReportedOutcome::Done).await;
}

/// Guards against a second effect by an instance that was paused past the deadline of an action
/// while the store was slow, and whose caller tried again elsewhere.
#[tokio::test]
async fn a_holder_paused_past_the_deadline_adds_no_effect() {
    let site = Site::with_instances(2).await;
    // The instances allow 500 ms for a call; this leaves time to pause one before its confirmation.
    slow(&site, 250).await;
    let key = new_idempotency_key();
    let first = site.instances[0].submit(&key, "reserve lot 6");
    let others = async {
        let claims = async || site.platform.list_values("claims/").await.pop();
        wait_until("the claim exists", claims).await;
        site.instances[0].process.signal(Signal::Stop);
        // The retry waits for the end of its own deadline, which is later than the first one's.
        let retry = told(&site.instances[1], &key).await;
        check(&site, &key, retry).await;
        assert_eq!(retry, ReportedOutcome::Unknown);
        site.instances[0].process.signal(Signal::Cont);
    };
    let (first, ()) = tokio::join!(first, others);
    let first = ReportedOutcome::from_response(&first.unwrap().1);
    check(&site, &key, first).await;
    slow(&site, 0).await;
    for instance in &site.instances {
        let again = told(instance, &key).await;
        check(&site, &key, again).await;
    }
    assert!(site.ledger.effects().await.len() <= 1);
}
