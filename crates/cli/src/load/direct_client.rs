use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, Response, StatusCode, header::HeaderName};
use rosemarybank_protocol::{
    platform::{INSTANCES_PREFIX, InstanceEntry, InstanceState},
    prelude::*,
    upstream::{DEADLINE_HEADER, ReplicaStatus, ShardReply, ShardRequest},
};

use super::{run::Target, stats::Outcome};
use crate::{
    error::CliError,
    http::{HttpClient, HttpRequest},
    store::{ObjectStore, list_json},
};

/// Timeout for reading the status of a replica.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Client that queries the upstreams without an entry instance: one uniformly random replica per
/// shard, without hedges or retries. It gives the baseline for the latency of entry instances.
#[derive(Clone, Debug)]
pub(crate) struct DirectClient(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    http: HttpClient,
    service: ServiceId,
    snapshot: SnapshotId,
    shards: Vec<Shard>,
    requests: Vec<SearchRequest>,
    timeout: Duration,
    seed: u64,
    sent: AtomicU64,
}

/// A shard and the replicas that serve it in the chosen snapshot.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Shard {
    pub(crate) range: KeyRange,
    pub(crate) records: u64,
    pub(crate) replicas: Vec<SocketAddr>,
}

/// A replica's entry in the platform's list and the status that it reports.
pub(crate) type ReplicaReport = (InstanceEntry, ReplicaStatus);

impl DirectClient {
    /// Reads the platform's list and the status of each replica, which also opens the connections.
    pub(crate) async fn prepare(
        store: &impl ObjectStore,
        service: &ServiceConfig,
        requests: Vec<SearchRequest>,
        timeout: Duration,
        seed: u64,
    ) -> Result<DirectClient, CliError> {
        let http = HttpClient::h2();
        let listed = list_json::<InstanceEntry>(store, INSTANCES_PREFIX).await?;
        let live = listed.into_iter().filter(|(_, it)| it.state == InstanceState::Live);
        let reports = join_all(live.map(|(_, entry)| fetch_report(&http, entry))).await;
        let reports: Vec<_> = reports.into_iter().flatten().collect();
        let Some((snapshot, shards)) = choose_snapshot(service, &reports) else {
            return Err(CliError::NoCompleteSnapshot { service: service.name.to_string() });
        };
        let service = service.name.clone();
        let sent = AtomicU64::new(0);
        Ok(DirectClient(Arc::new(Shared {
            http,
            service,
            snapshot,
            shards,
            requests,
            timeout,
            seed,
            sent,
        })))
    }

    /// Number of requests sent to upstreams.
    pub(crate) fn sent(&self) -> u64 {
        self.0.sent.load(Ordering::Relaxed)
    }
}

impl Target for DirectClient {
    async fn send(&self, number: u64) -> Outcome {
        let shared = &*self.0;
        // The choice depends only on the seed and the number, so that a repeated run sends the same
        // requests.
        let mut rng = fastrand::Rng::with_seed(shared.seed.wrapping_add(number));
        let index = usize::try_from(number % shared.requests.len() as u64).unwrap_or_default();
        let req = &shared.requests[index];
        let queries = shared.shards.iter().map(|shard| {
            let replica = shard.replicas[rng.usize(..shard.replicas.len())];
            shared.query_replica(shard, replica, req)
        });
        let replies = join_all(queries.collect::<Vec<_>>()).await;
        shared.merge_replies(req, replies)
    }
}

impl Shared {
    async fn query_replica(
        &self,
        shard: &Shard,
        replica: SocketAddr,
        req: &SearchRequest,
    ) -> Option<ShardReply> {
        self.sent.fetch_add(1, Ordering::Relaxed);
        let body = ShardRequest {
            service: self.service.clone(),
            snapshot: self.snapshot,
            range: shard.range,
            query: req.query.as_str().into(),
            limit: req.limit,
        };
        let body = serde_json::to_vec(&body).ok()?;
        let deadline = self.timeout.as_millis().to_string();
        let req = HttpRequest {
            method: Method::POST,
            addr: replica,
            path: "/search",
            headers: vec![(HeaderName::from_static(DEADLINE_HEADER), &deadline)],
            body: body.into(),
            timeout: self.timeout,
        };
        let reply: ShardReply = parse_response(self.http.send(req).await.ok()?)?;
        (reply.snapshot == self.snapshot).then_some(reply)
    }

    /// Merges the replies as an entry instance does, so that the baseline includes this work.
    fn merge_replies(&self, req: &SearchRequest, replies: Vec<Option<ShardReply>>) -> Outcome {
        let complete = replies.iter().all(Option::is_some);
        let mut hits = Vec::new();
        let mut covered = 0;
        for reply in replies.into_iter().flatten() {
            covered += reply.covered.iter().map(|it| it.records).sum::<u64>();
            hits.extend(reply.hits);
        }
        hits.sort_by(|a, b| b.score.cmp(&a.score).then(a.key.cmp(&b.key)));
        hits.truncate(req.limit as usize);
        let total: u64 = self.shards.iter().map(|it| it.records).sum();
        if covered == 0 && !complete {
            return Outcome::Failed("no_shard_answered".to_owned());
        }
        let covered = if complete { 1.0 } else { covered as f64 / total.max(1) as f64 };
        Outcome::Answered { complete, covered }
    }
}

/// Returns the newest snapshot in which every shard has a replica, with the replicas per shard.
pub(crate) fn choose_snapshot(
    service: &ServiceConfig,
    reports: &[ReplicaReport],
) -> Option<(SnapshotId, Vec<Shard>)> {
    let holdings = reports.iter().flat_map(|(_, status)| &status.holdings);
    let mut snapshots: Vec<_> =
        holdings.filter(|it| it.service == service.name).map(|it| it.snapshot).collect();
    snapshots.sort_unstable();
    snapshots.dedup();
    snapshots.into_iter().rev().find_map(|snapshot| {
        let shards =
            service.shards.iter().map(|shard| shard_replicas(service, shard, snapshot, reports));
        Some((snapshot, shards.collect::<Option<Vec<_>>>()?))
    })
}

fn shard_replicas(
    service: &ServiceConfig,
    shard: &ShardConfig,
    snapshot: SnapshotId,
    reports: &[ReplicaReport],
) -> Option<Shard> {
    let mut found = Shard { range: shard.range, records: 0, replicas: Vec::new() };
    for (entry, status) in reports {
        let holdings = status.holdings.iter();
        let held: Vec<_> = holdings
            .filter(|it| it.service == service.name && it.snapshot == snapshot)
            .flat_map(|it| &it.ranges)
            .filter(|it| shard.range.contains_range(it.range))
            .collect();
        let serves = shard.range.subtract(held.iter().map(|it| it.range)).is_empty();
        if entry.upstream == shard.upstream && serves {
            found.replicas.push(entry.addr);
            found.records = held.iter().map(|it| it.records).sum();
        }
    }
    (!found.replicas.is_empty()).then_some(found)
}

async fn fetch_report(http: &HttpClient, entry: InstanceEntry) -> Option<ReplicaReport> {
    let req = HttpRequest {
        method: Method::GET,
        addr: entry.addr,
        path: "/status",
        headers: Vec::new(),
        body: Bytes::new(),
        timeout: STATUS_TIMEOUT,
    };
    let status = parse_response(http.send(req).await.ok()?)?;
    Some((entry, status))
}

fn parse_response<T: serde::de::DeserializeOwned>(resp: Response<Bytes>) -> Option<T> {
    if resp.status() != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(resp.body()).ok()
}
