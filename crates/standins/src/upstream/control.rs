//! The control address of a process: faults, effects and true states of its replicas.

use std::{collections::BTreeMap, net::SocketAddr};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use super::{
    effects::Effects,
    faults::{Command, FaultRequest},
    replica::Replica,
};
use crate::{
    http::{NoReply, Reply, empty, json, read_body},
    server::Handler,
};

/// Largest order in bytes.
const MAX_ORDER_LEN: usize = 1 << 20;

/// Answers `POST /faults`, `GET /effects`, `GET /replicas` and `GET /counters`.
#[derive(Clone)]
pub struct ControlService {
    replicas: Vec<Replica>,
    effects: Effects,
}

impl ControlService {
    /// Controls these replicas.
    #[must_use]
    pub fn new(replicas: Vec<Replica>, effects: Effects) -> ControlService {
        ControlService { replicas, effects }
    }

    /// The replicas of the process.
    #[must_use]
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// Carries an order out.
    ///
    /// # Errors
    ///
    /// Fails with a text, and changes nothing, when a replica is not of this process.
    pub fn apply(&self, order: &FaultRequest) -> Result<(), String> {
        let concerned = match order.replicas.as_slice() {
            [] => self.replicas.iter().collect(),
            names => self.find(names)?,
        };
        for command in &order.run {
            if let Command::MoveRange { to, .. } = command {
                self.find(to)?;
            }
        }
        for replica in &concerned {
            if let Some(faults) = &order.set {
                replica.set_faults(faults.clone());
            }
        }
        for command in &order.run {
            self.run(command, &concerned)?;
        }
        Ok(())
    }

    fn run(&self, command: &Command, replicas: &[&Replica]) -> Result<(), String> {
        match command {
            Command::Drain => replicas.iter().for_each(|it| it.drain()),
            Command::Crash => replicas.iter().for_each(|it| it.crash()),
            Command::AddSnapshot { holding } => {
                for replica in replicas {
                    replica.change_holdings(|it| it.put(holding.clone()));
                }
            }
            Command::RetireSnapshot { service, snapshot } => {
                for replica in replicas {
                    replica.change_holdings(|it| it.retire(service, *snapshot));
                }
            }
            Command::MoveRange { service, snapshot, range, to } => {
                let source = replicas.iter().find_map(|it| it.holding(service, *snapshot));
                let source = source.ok_or("no replica holds the snapshot")?;
                for replica in self.find(to)? {
                    replica.change_holdings(|it| it.add_range(&source, *range));
                }
                for replica in replicas {
                    replica.change_holdings(|it| it.drop_range(service, *snapshot, *range));
                }
            }
        }
        Ok(())
    }

    fn find(&self, names: &[impl AsRef<str>]) -> Result<Vec<&Replica>, String> {
        let find = |name: &str| {
            let replica = self.replicas.iter().find(|it| it.spec.replica == name);
            replica.ok_or_else(|| format!("there is no replica {name}"))
        };
        names.iter().map(|name| find(name.as_ref())).collect()
    }

    async fn faults(&self, body: Incoming) -> Reply {
        let Ok(body) = read_body(body, MAX_ORDER_LEN).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let order = serde_json::from_slice::<FaultRequest>(&body).map_err(|err| err.to_string());
        match order.and_then(|it| self.apply(&it)) {
            Ok(()) => empty(StatusCode::NO_CONTENT),
            Err(message) => json(StatusCode::BAD_REQUEST, &json!({ "message": message })),
        }
    }
}

impl Handler for ControlService {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Result<Reply, NoReply> {
        let (head, body) = req.into_parts();
        Ok(match (head.method, head.uri.path()) {
            (Method::POST, "/faults") => self.faults(body).await,
            (Method::GET, "/effects") => json(StatusCode::OK, &self.effects.all()),
            (Method::GET, "/replicas") => {
                let all: Vec<_> = self.replicas.iter().map(Replica::status).collect();
                json(StatusCode::OK, &all)
            }
            (Method::GET, "/counters") => {
                let count = |it: &Replica| (it.spec.replica.clone(), it.counters());
                let all: BTreeMap<_, _> = self.replicas.iter().map(count).collect();
                json(StatusCode::OK, &all)
            }
            _ => empty(StatusCode::NOT_FOUND),
        })
    }
}
