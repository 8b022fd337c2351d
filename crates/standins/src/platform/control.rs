//! Control API of the platform stand-in: faults, call counts and the instance list.

use std::{net::SocketAddr, time::Duration};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use rosemarybank_protocol::platform::{INSTANCES_PREFIX, InstanceEntry};
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::watch;

use super::{faults::PlatformFaults, service::PlatformService};
use crate::{
    http::{NoReply, Reply, empty, json, read_body},
    server::{ConnSignals, Handler},
};

/// Largest request body in bytes; a list of 3,900 instances takes about 1 MB.
const MAX_BODY_LEN: usize = 4 << 20;

/// Answers `POST /faults`, `POST /instances`, `GET /counts` and `GET /list`, regardless of faults.
#[derive(Clone)]
pub struct PlatformControl {
    service: PlatformService,
    signals: watch::Sender<ConnSignals>,
}

impl PlatformControl {
    /// Creates the control API of `service`. `signals` goes to the connections of the object API,
    /// which some faults reset.
    #[must_use]
    pub fn new(service: PlatformService, signals: watch::Sender<ConnSignals>) -> PlatformControl {
        PlatformControl { service, signals }
    }

    fn set_faults(&self, faults: PlatformFaults) {
        // Also resets calls in progress; open watches would otherwise survive the outage.
        let breaks_connections = faults.down || faults.silent;
        self.service.faults().set(faults);
        if breaks_connections {
            self.signals.send_modify(|it| it.resets += 1);
        }
    }

    /// Stores the entries in a separate task after the instance lag. The reply does not wait.
    fn set_instances(&self, entries: Vec<InstanceEntry>) {
        let lag = Duration::from_millis(self.service.faults().get().instance_lag_ms);
        let service = self.service.clone();
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            for entry in entries {
                let value = serde_json::value::to_raw_value(&entry);
                let value = value.expect("an entry has no map with non-string keys");
                service.put_unconditionally(&format!("{INSTANCES_PREFIX}{}", entry.replica), value);
            }
        });
    }
}

impl Handler for PlatformControl {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Result<Reply, NoReply> {
        let (head, body) = req.into_parts();
        Ok(match (head.method, head.uri.path()) {
            (Method::POST, "/faults") => with_json(body, |it| self.set_faults(it)).await,
            (Method::POST, "/instances") => with_json(body, |it| self.set_instances(it)).await,
            (Method::GET, "/counts") => json(StatusCode::OK, &self.service.counts()),
            (Method::GET, "/list") => self.service.list(head.uri.query().unwrap_or_default()),
            _ => empty(StatusCode::NOT_FOUND),
        })
    }
}

/// Applies a JSON body and answers 204, or 400 if it cannot be read.
async fn with_json<T: DeserializeOwned>(body: Incoming, apply: impl FnOnce(T)) -> Reply {
    let Ok(body) = read_body(body, MAX_BODY_LEN).await else {
        return empty(StatusCode::BAD_REQUEST);
    };
    match serde_json::from_slice(&body) {
        Ok(value) => {
            apply(value);
            empty(StatusCode::NO_CONTENT)
        }
        Err(err) => json(StatusCode::BAD_REQUEST, &json!({ "message": err.to_string() })),
    }
}
