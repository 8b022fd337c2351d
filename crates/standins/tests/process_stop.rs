//! Graceful stops of the real process.

use std::{cell::Cell, io::ErrorKind};

use futures_util::future::join_all;
use rosemarybank_standins::{
    client::HttpClient,
    fleet::{Signal, Site, new_idempotency_key, wait_until},
    upstream::ReplicaFaults,
};

/// Guards against a stop that aborts requests in flight, keeps accepting new ones, or does not
/// finish.
#[tokio::test]
async fn a_stop_under_load_aborts_no_request() {
    let mut site = Site::with_instances(1).await;
    // Each request takes about 300 ms, so that all are in flight when the signal is sent.
    let slow = ReplicaFaults { straggler: 100.0, ..ReplicaFaults::default() };
    for upstream in [&site.maun_shards, &site.rundu_shards, &site.ledger] {
        upstream.set_faults(slow.clone()).await;
    }
    {
        let site = &site;
        let searches = join_all((0..4).map(async |_| {
            let body = r#"{"query":"cherry","timeout_ms":10000,"coverage":"complete"}"#;
            site.instances[0].search(body).await
        }));
        let actions = join_all((0..4).map(async |number| {
            let text = format!("reserve lot {number}");
            site.instances[0].submit(&new_idempotency_key(), &text).await
        }));
        let stop = async {
            // Each search runs on 4 shards. Those that wait inside the instance for a free replica
            // are in flight as well.
            wait_until("requests are in flight", async || {
                let searching = site.maun_shards.active_requests().await
                    + site.rundu_shards.active_requests().await;
                (searching >= 12 && site.ledger.active_requests().await >= 4).then_some(())
            })
            .await;
            site.instances[0].process.signal(Signal::Term);
        };
        let (searches, actions, ()) = tokio::join!(searches, actions, stop);
        for answer in searches {
            let (status, answer) = answer.expect("a search in flight must be answered");
            assert_eq!((status, &answer["complete"]), (200, &true.into()), "{answer}");
        }
        for answer in actions {
            let (status, answer) = answer.expect("an action in flight must be answered");
            assert_eq!((status, &answer["outcome"]["state"]), (200, &"done".into()), "{answer}");
        }
    }
    let status = site.instances[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}");
    assert_eq!(site.ledger.effects().await.len(), 4);
}

/// Results of a client with keep-alive connections.
#[derive(Debug, Default)]
struct Traffic {
    answered: u32,
    /// Failures other than a refused new connection.
    failures: Vec<String>,
}

/// Guards against requests that fail because the stop closes their keep-alive connections, and
/// against a stop that is delayed by busy connections.
#[tokio::test]
async fn a_stop_under_keep_alive_traffic_aborts_no_request() {
    let mut site = Site::with_instances(1).await;
    let answered = Cell::new(0);
    let client = async |client: HttpClient| {
        let instance = &site.instances[0];
        let mut traffic = Traffic::default();
        loop {
            match instance.search_with(&client, r#"{"query":"cherry","timeout_ms":5000}"#).await {
                Ok((200, _)) => {
                    traffic.answered += 1;
                    answered.set(answered.get() + 1);
                }
                Ok((status, answer)) => traffic.failures.push(format!("{status} {answer}")),
                Err(err) if is_refused(&err) => return traffic,
                Err(err) => traffic.failures.push(format!("{err:?}")),
            }
        }
    };
    let clients = (0..4).map(|it| if it % 2 == 0 { HttpClient::http1() } else { HttpClient::h2() });
    let stop = async {
        wait_until("100 requests are answered", async || (answered.get() >= 100).then_some(()))
            .await;
        site.instances[0].process.signal(Signal::Term);
    };
    let (traffic, ()) = tokio::join!(join_all(clients.map(client)), stop);
    for it in &traffic {
        assert!(it.answered > 0 && it.failures.is_empty(), "{traffic:#?}");
    }
    let status = site.instances[0].process.wait_for_exit().await;
    assert!(status.success(), "{status}");
}

/// Whether a new connection was refused, so that the request was not sent.
fn is_refused(err: &eyre::Report) -> bool {
    let refused = |it: &std::io::Error| it.kind() == ErrorKind::ConnectionRefused;
    err.chain().filter_map(|it| it.downcast_ref()).any(refused)
}
