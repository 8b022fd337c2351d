//! Control API of a process: sets faults of its replicas and reads their effects, actual statuses
//! and counters.

use std::{collections::BTreeMap, net::SocketAddr};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use super::{
    effects::EffectLog,
    faults::{Command, FaultRequest},
    replica::Replica,
};
use crate::{
    http::{NoReply, Reply, empty, json, read_body},
    server::Handler,
};

/// Maximum length of a request body in bytes.
const MAX_REQUEST_LEN: usize = 1 << 20;

/// Serves `POST /faults`, `GET /effects`, `GET /replicas` and `GET /counters`.
#[derive(Clone)]
pub struct ControlService {
    replicas: Vec<Replica>,
    effects: EffectLog,
}

impl ControlService {
    /// Builds the control API for `replicas`.
    #[must_use]
    pub fn new(replicas: Vec<Replica>, effects: EffectLog) -> ControlService {
        ControlService { replicas, effects }
    }

    /// The replicas of the process.
    #[must_use]
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// Applies the faults and runs the commands of a request.
    ///
    /// # Errors
    ///
    /// Fails with a message, and changes nothing, when a replica does not belong to this process.
    /// Fails at [`Command::MoveRange`], after earlier parts of the request took effect, when no
    /// source replica holds the snapshot.
    pub fn apply(&self, request: &FaultRequest) -> Result<(), String> {
        let targets = match request.replicas.as_slice() {
            [] => self.replicas.iter().collect(),
            names => self.find_replicas(names)?,
        };
        for command in &request.run {
            if let Command::MoveRange { to, .. } = command {
                self.find_replicas(to)?;
            }
        }
        for replica in &targets {
            if let Some(faults) = &request.set {
                replica.set_faults(faults.clone());
            }
        }
        for command in &request.run {
            self.run_command(command, &targets)?;
        }
        Ok(())
    }

    fn run_command(&self, command: &Command, replicas: &[&Replica]) -> Result<(), String> {
        match command {
            Command::Drain => replicas.iter().for_each(|it| it.drain()),
            Command::Crash => replicas.iter().for_each(|it| it.crash()),
            Command::AddSnapshot { holding } => {
                for replica in replicas {
                    replica.change_holdings(|it| it.insert(holding.clone()));
                }
            }
            Command::RetireSnapshot { service, snapshot } => {
                for replica in replicas {
                    replica.change_holdings(|it| it.remove(service, *snapshot));
                }
            }
            Command::MoveRange { service, snapshot, range, to } => {
                let source = replicas.iter().find_map(|it| it.holding(service, *snapshot));
                let source = source.ok_or_else(|| {
                    format!("no replica of the request holds snapshot {snapshot} of {service}")
                })?;
                for replica in self.find_replicas(to)? {
                    replica.change_holdings(|it| it.add_range(&source, *range));
                }
                for replica in replicas {
                    replica.change_holdings(|it| it.remove_range(service, *snapshot, *range));
                }
            }
        }
        Ok(())
    }

    fn find_replicas(&self, names: &[impl AsRef<str>]) -> Result<Vec<&Replica>, String> {
        let find_replica = |name: &str| {
            let replica = self.replicas.iter().find(|it| it.spec.replica == name);
            replica.ok_or_else(|| format!("replica {name} does not exist in this process"))
        };
        names.iter().map(|name| find_replica(name.as_ref())).collect()
    }

    async fn post_faults(&self, body: Incoming) -> Reply {
        let Ok(body) = read_body(body, MAX_REQUEST_LEN).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let request = serde_json::from_slice::<FaultRequest>(&body).map_err(|err| err.to_string());
        match request.and_then(|it| self.apply(&it)) {
            Ok(()) => empty(StatusCode::NO_CONTENT),
            Err(message) => json(StatusCode::BAD_REQUEST, &json!({ "message": message })),
        }
    }
}

impl Handler for ControlService {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Result<Reply, NoReply> {
        let (head, body) = req.into_parts();
        Ok(match (head.method, head.uri.path()) {
            (Method::POST, "/faults") => self.post_faults(body).await,
            (Method::GET, "/effects") => json(StatusCode::OK, &self.effects.all()),
            (Method::GET, "/replicas") => {
                let statuses: Vec<_> = self.replicas.iter().map(Replica::status).collect();
                json(StatusCode::OK, &statuses)
            }
            (Method::GET, "/counters") => {
                let named = |it: &Replica| (it.spec.replica.clone(), it.counters());
                let counters: BTreeMap<_, _> = self.replicas.iter().map(named).collect();
                json(StatusCode::OK, &counters)
            }
            _ => empty(StatusCode::NOT_FOUND),
        })
    }
}
