//! The upstream protocol over HTTP.

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
    http::{NoReply, Reply, empty, json, read_body},
    server::{ConnLimits, Handler},
};

/// Largest request body in bytes.
const MAX_BODY_LEN: usize = 64 << 10;

/// Answers the upstream protocol for one [`Replica`].
#[derive(Clone)]
pub struct UpstreamService {
    replica: Replica,
    network: Arc<Network>,
}

/// Why a request has no `200` reply.
enum Refusal {
    Error(UpstreamError),
    NoReply,
}

impl From<UpstreamErrorKind> for Refusal {
    fn from(error: UpstreamErrorKind) -> Refusal {
        Refusal::Error(UpstreamError { error, snapshots: Vec::new() })
    }
}

impl UpstreamService {
    /// Serves a replica; requests from other data centres are late by the network's delays.
    #[must_use]
    pub fn new(replica: Replica, network: Arc<Network>) -> UpstreamService {
        UpstreamService { replica, network }
    }

    async fn search(&self, headers: &HeaderMap, body: Incoming) -> Result<Reply, Refusal> {
        let replica = &self.replica;
        let deadline = deadline(headers)?;
        let req: ShardRequest = read(body).await?;
        let _permit = self.admit(deadline).await?;
        let found = search(replica, &req).map_err(Refusal::Error)?;
        let time = replica.draw_service_time();
        if crash_rule(replica, &req.query).is_some() {
            tokio::time::sleep(time / 2).await;
            replica.crash();
            return Err(Refusal::NoReply);
        }
        let end = Instant::now() + time;
        if deadline.is_some_and(|it| it < end) {
            tokio::time::sleep_until(deadline.unwrap_or(end)).await;
            return Err(UpstreamErrorKind::Failed.into());
        }
        tokio::time::sleep_until(end).await;
        let reply = ShardReply {
            snapshot: req.snapshot,
            covered: found.covered,
            hits: found.hits,
            load: replica.slots.load(),
        };
        Ok(json(StatusCode::OK, &reply))
    }

    async fn act(&self, headers: &HeaderMap, body: Incoming) -> Result<Reply, Refusal> {
        let deadline = deadline(headers)?;
        let action: UpstreamAction = read(body).await?;
        if !self.replica.spec.ledgers.contains(&action.service) {
            return Err(UpstreamErrorKind::BadRequest.into());
        }
        let permit = self.admit(deadline).await?;
        // An action that has begun runs to its end, whether or not its caller still waits.
        let mut orders = self.replica.orders.subscribe();
        let resets = orders.borrow_and_update().resets;
        let run = run_action(self.replica.clone(), action, permit);
        let run = tokio::spawn(async move {
            tokio::select! {
                biased;
                _ = orders.wait_for(|it| it.resets != resets) => Err(Refusal::NoReply),
                result = run => result,
            }
        });
        run.await.unwrap_or(Err(Refusal::NoReply))
    }

    fn one_way(&self, peer: SocketAddr) -> Duration {
        self.network.one_way(peer.ip(), &self.replica.spec.data_centre)
    }

    /// Waits for a slot, unless the replica refuses work or the deadline passes.
    async fn admit(&self, deadline: Option<Instant>) -> Result<OwnedSemaphorePermit, Refusal> {
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
        let one_way = self.one_way(peer);
        pause(one_way).await;
        let (head, body) = req.into_parts();
        let result = match (head.method, head.uri.path()) {
            (Method::POST, "/search") => self.search(&head.headers, body).await,
            (Method::POST, "/actions") => self.act(&head.headers, body).await,
            (Method::GET, "/status") => Ok(json(StatusCode::OK, &self.replica.reported_status())),
            (Method::GET, "/effects") => Ok(json(StatusCode::OK, &self.replica.effects.all())),
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        };
        pause(one_way + Duration::from_millis(faults.delay_ms)).await;
        match result {
            Ok(reply) => Ok(reply),
            Err(Refusal::Error(error)) => {
                let status = StatusCode::from_u16(error.error.status())
                    .expect("the table holds valid status codes");
                Ok(json(status, &error))
            }
            Err(Refusal::NoReply) => Err(NoReply),
        }
    }

    fn limits(&self, peer: SocketAddr) -> ConnLimits {
        let spec = &self.replica.spec;
        let max = if self.replica.faults().down { 0 } else { spec.connections };
        let round_trip = self.one_way(peer) * 2;
        ConnLimits { max, delay: Duration::from_millis(spec.connect_ms) + round_trip }
    }
}

/// Sleeps only for a time above zero, because the timer's resolution is a whole millisecond.
async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

async fn run_action(
    replica: Replica,
    action: UpstreamAction,
    permit: OwnedSemaphorePermit,
) -> Result<Reply, Refusal> {
    let _permit = permit;
    let crash = crash_rule(&replica, &action.body);
    let half = replica.draw_service_time() / 2;
    tokio::time::sleep(half).await;
    if crash == Some(CrashPoint::BeforeEffect) {
        replica.crash();
        return Err(Refusal::NoReply);
    }
    // The effect lies between the two halves, so that a crash can come before or after it.
    let number = replica.effects.record(Effect {
        replica: replica.spec.replica.clone(),
        service: action.service,
        key: action.key,
        body: action.body,
    });
    if crash == Some(CrashPoint::AfterEffect) {
        replica.crash();
        return Err(Refusal::NoReply);
    }
    tokio::time::sleep(half).await;
    let reply = UpstreamActionReply { result: format_compact!("entry {number}") };
    Ok(json(StatusCode::OK, &reply))
}

fn crash_rule(replica: &Replica, text: &str) -> Option<CrashPoint> {
    let rule = replica.faults().crash?;
    text.contains(rule.text.as_str()).then_some(rule.at)
}

async fn read<T: DeserializeOwned>(body: Incoming) -> Result<T, Refusal> {
    let body = read_body(body, MAX_BODY_LEN).await.map_err(|_| UpstreamErrorKind::BadRequest)?;
    serde_json::from_slice(&body).map_err(|_| UpstreamErrorKind::BadRequest.into())
}

fn deadline(headers: &HeaderMap) -> Result<Option<Instant>, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(None) };
    let millis: Option<u32> = value.to_str().ok().and_then(|it| it.parse().ok());
    let millis = millis.ok_or(UpstreamErrorKind::BadRequest)?;
    Ok(Some(Instant::now() + Duration::from_millis(millis.into())))
}
