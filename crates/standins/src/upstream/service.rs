//! HTTP service of the upstream protocol.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use compact_str::format_compact;
use http::{HeaderMap, Method, Request, StatusCode};
use hyper::body::Incoming;
use rosemarybank_protocol::upstream::{
    DEADLINE_HEADER, ReplicaState, ShardReply, ShardRequest, UpstreamAction, UpstreamActionReply,
    UpstreamError, UpstreamErrorKind,
};
use serde::de::DeserializeOwned;
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use super::{
    effects::Effect, faults::CrashPoint, network::Network, replica::Replica, search::search,
};
use crate::{
    http::{NoReply, Reply, empty, json, read_body, unfinished},
    server::{ConnLimits, Handler},
};

/// Maximum length of a request body in bytes.
const MAX_BODY_LEN: usize = 2 << 20;

/// Serves the upstream protocol for one [`Replica`].
#[derive(Clone)]
pub struct UpstreamService {
    replica: Replica,
    network: Arc<Network>,
}

/// Reason why a request gets no `200` reply.
enum RequestError {
    /// The request gets an error reply.
    ErrorReply(UpstreamError),
    /// The connection is closed without a reply.
    NoReply,
}

impl From<UpstreamErrorKind> for RequestError {
    fn from(error: UpstreamErrorKind) -> RequestError {
        RequestError::ErrorReply(UpstreamError { error, snapshots: Vec::new() })
    }
}

impl UpstreamService {
    /// Builds the service. Requests from other data centres are delayed as `network` specifies.
    #[must_use]
    pub fn new(replica: Replica, network: Arc<Network>) -> UpstreamService {
        UpstreamService { replica, network }
    }

    async fn search(&self, headers: &HeaderMap, body: Incoming) -> Result<Reply, RequestError> {
        let replica = &self.replica;
        let deadline = parse_deadline(headers)?;
        let req: ShardRequest = read_json(body).await?;
        let _permit = self.acquire_slot(deadline).await?;
        let result = search(replica, &req).map_err(RequestError::ErrorReply)?;
        let service_time = replica.sample_service_time();
        if crash_point(replica, &req.query).is_some() {
            tokio::time::sleep(service_time / 2).await;
            replica.crash();
            return Err(RequestError::NoReply);
        }
        let end = Instant::now() + service_time;
        // A search that cannot end in time occupies its slot until the deadline and then fails.
        if deadline.is_some_and(|it| it < end) {
            tokio::time::sleep_until(deadline.unwrap_or(end)).await;
            return Err(UpstreamErrorKind::Failed.into());
        }
        tokio::time::sleep_until(end).await;
        let reply = ShardReply {
            snapshot: req.snapshot,
            covered: result.covered,
            hits: result.hits,
            load: replica.slots.load(),
        };
        Ok(json(StatusCode::OK, &reply))
    }

    async fn execute_action(
        &self,
        headers: &HeaderMap,
        body: Incoming,
    ) -> Result<Reply, RequestError> {
        let deadline = parse_deadline(headers)?;
        let action: UpstreamAction = read_json(body).await?;
        if !self.replica.spec.ledgers.contains(&action.service) {
            return Err(UpstreamErrorKind::BadRequest.into());
        }
        let permit = self.acquire_slot(deadline).await?;
        // A separate task completes the action even if the client disconnects. Only a reset of all
        // connections aborts it.
        let mut conn_signals = self.replica.conn_signals.subscribe();
        let resets = conn_signals.borrow_and_update().resets;
        let execution = run_action(self.replica.clone(), action, permit);
        let task = tokio::spawn(async move {
            tokio::select! {
                biased;
                _ = conn_signals.wait_for(|it| it.resets != resets) => Err(RequestError::NoReply),
                result = execution => result,
            }
        });
        task.await.unwrap_or(Err(RequestError::NoReply))
    }

    fn one_way_delay(&self, peer: SocketAddr) -> Duration {
        self.network.one_way_delay(peer.ip(), &self.replica.spec.data_centre)
    }

    /// Waits for an execution slot until the deadline.
    ///
    /// Fails at once if the replica refuses new requests or its queue is full.
    async fn acquire_slot(
        &self,
        deadline: Option<Instant>,
    ) -> Result<OwnedSemaphorePermit, RequestError> {
        if self.replica.faults().shed {
            return Err(UpstreamErrorKind::Shed.into());
        }
        match self.replica.state() {
            ReplicaState::Cold => return Err(UpstreamErrorKind::Cold.into()),
            ReplicaState::Draining => return Err(UpstreamErrorKind::Draining.into()),
            ReplicaState::Serving => {}
        }
        let acquire = self.replica.slots.acquire();
        let acquired = match deadline {
            Some(at) => tokio::time::timeout_at(at, acquire).await,
            None => Ok(acquire.await),
        };
        let permit = acquired.map_err(|_| UpstreamErrorKind::Expired)?;
        let permit = permit.map_err(|_| UpstreamErrorKind::Shed)?;
        // `timeout_at` returns a permit that is available at once even after the deadline.
        if deadline.is_some_and(|at| at <= Instant::now()) {
            return Err(UpstreamErrorKind::Expired.into());
        }
        Ok(permit)
    }
}

impl Handler for UpstreamService {
    async fn handle(&self, req: Request<Incoming>, peer: SocketAddr) -> Result<Reply, NoReply> {
        if req.method() == Method::POST {
            self.replica.count_request();
        }
        let faults = self.replica.faults();
        if faults.silent {
            return std::future::pending().await;
        }
        let one_way_delay = self.one_way_delay(peer);
        sleep_if_nonzero(one_way_delay).await;
        let (head, body) = req.into_parts();
        let is_execution = head.method == Method::POST;
        let result = match (head.method, head.uri.path()) {
            (Method::POST, "/search") => self.search(&head.headers, body).await,
            (Method::POST, "/actions") => self.execute_action(&head.headers, body).await,
            (Method::GET, "/status") => Ok(json(StatusCode::OK, &self.replica.reported_status())),
            (Method::GET, "/effects") => Ok(json(StatusCode::OK, &self.replica.effects.all())),
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        };
        sleep_if_nonzero(one_way_delay + Duration::from_millis(faults.delay_ms)).await;
        match result {
            Ok(_) if is_execution && faults.unfinished_bytes > 0 => {
                Ok(unfinished(faults.unfinished_bytes))
            }
            Ok(reply) => Ok(reply),
            Err(RequestError::ErrorReply(error)) => {
                let status = StatusCode::from_u16(error.error.status())
                    .expect("error kinds should have valid status codes");
                Ok(json(status, &error))
            }
            Err(RequestError::NoReply) => Err(NoReply),
        }
    }

    fn limits(&self, peer: SocketAddr) -> ConnLimits {
        let spec = &self.replica.spec;
        let max_conns = if self.replica.faults().down { 0 } else { spec.connections };
        // Stands for the TCP handshake, which takes no time on loopback.
        let round_trip = self.one_way_delay(peer) * 2;
        ConnLimits { max_conns, read_delay: Duration::from_millis(spec.connect_ms) + round_trip }
    }
}

/// Sleeps unless `duration` is zero; a sleep of zero could still take up to 1 ms, the resolution of
/// Tokio's timer.
async fn sleep_if_nonzero(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}

async fn run_action(
    replica: Replica,
    action: UpstreamAction,
    permit: OwnedSemaphorePermit,
) -> Result<Reply, RequestError> {
    let _permit = permit;
    let crash_point = crash_point(&replica, &action.body);
    let half_service_time = replica.sample_service_time() / 2;
    tokio::time::sleep(half_service_time).await;
    if crash_point == Some(CrashPoint::BeforeEffect) {
        replica.crash();
        return Err(RequestError::NoReply);
    }
    // The action takes effect halfway through, so that a crash can come before or after it.
    let entry_number = replica.effects.record(Effect {
        replica: replica.spec.replica.clone(),
        service: action.service,
        key: action.key,
        body: action.body,
    });
    if crash_point == Some(CrashPoint::AfterEffect) {
        replica.crash();
        return Err(RequestError::NoReply);
    }
    tokio::time::sleep(half_service_time).await;
    let reply = UpstreamActionReply { result: format_compact!("entry {entry_number}") };
    Ok(json(StatusCode::OK, &reply))
}

fn crash_point(replica: &Replica, text: &str) -> Option<CrashPoint> {
    let rule = replica.faults().crash?;
    text.contains(rule.text.as_str()).then_some(rule.at)
}

async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, RequestError> {
    let body = read_body(body, MAX_BODY_LEN).await.map_err(|_| UpstreamErrorKind::BadRequest)?;
    serde_json::from_slice(&body).map_err(|_| UpstreamErrorKind::BadRequest.into())
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Instant>, RequestError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(None) };
    let millis: Option<u32> = value.to_str().ok().and_then(|it| it.parse().ok());
    let millis = millis.ok_or(UpstreamErrorKind::BadRequest)?;
    Ok(Some(Instant::now() + Duration::from_millis(millis.into())))
}
