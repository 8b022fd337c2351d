//! Processes of upstream replicas, one for each data centre.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf};

use eyre::{Result, ensure};
use http::Method;
use rosemarybank_protocol::{id::ReplicaId, platform::InstanceEntry};
use rosemarybank_standins::{
    client::HttpClient,
    upstream::{FaultRequest, ReplicaCounters, ReplicaFaults},
};

use crate::process::{Process, find};

/// The replicas of one data centre.
#[derive(Debug)]
pub struct Upstreams {
    /// The process.
    pub process: Process,
    /// The platform's list entries.
    pub entries: Vec<InstanceEntry>,
    control: SocketAddr,
    start: Start,
}

/// How the process is started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The binary `standin-upstream`.
    pub binary: PathBuf,
    /// Directory of its files.
    pub dir: PathBuf,
    /// File of the topology.
    pub topology: PathBuf,
    /// Data centre whose replicas it serves.
    pub data_centre: String,
    /// Seed of the service times.
    pub seed: u64,
}

impl Upstreams {
    /// Starts the replicas.
    ///
    /// # Errors
    ///
    /// Fails when the process does not become ready.
    pub async fn start(start: Start) -> Result<Upstreams> {
        let name = &start.data_centre;
        let out = start.dir.join(format!("upstreams-{name}.json"));
        let args = [
            "--topology",
            &start.topology.to_string_lossy(),
            "--data-centre",
            name,
            "--control",
            "127.0.0.1:0",
            "--instances-out",
            &out.to_string_lossy(),
            "--seed",
            &start.seed.to_string(),
        ];
        let log = start.dir.join(format!("upstreams-{name}.log"));
        let mut process = Process::start(&start.binary, &args, &log)?;
        let control = find(&process.listening().await?, "control")?;
        let entries = serde_json::from_slice(&fs::read(&out)?)?;
        Ok(Upstreams { process, entries, control, start })
    }

    /// Starts the replicas again at the same addresses after their process was killed.
    ///
    /// # Errors
    ///
    /// Fails when the process does not become ready.
    pub async fn restart(&mut self) -> Result<()> {
        *self = Upstreams::start(self.start.clone()).await?;
        Ok(())
    }

    /// Replaces the standing faults of replicas; of all when `replicas` is empty.
    ///
    /// # Errors
    ///
    /// Fails when the process does not take the order.
    pub async fn set_faults(
        &self,
        client: &HttpClient,
        replicas: Vec<ReplicaId>,
        faults: ReplicaFaults,
    ) -> Result<()> {
        let set = Some(faults);
        self.order(client, &FaultRequest { replicas, set, ..FaultRequest::default() }).await
    }

    /// Carries an order out.
    ///
    /// # Errors
    ///
    /// Fails when the process does not take the order.
    pub async fn order(&self, client: &HttpClient, order: &FaultRequest) -> Result<()> {
        let body = serde_json::to_vec(order)?;
        let reply = client.send(Method::POST, self.control, "/faults", &[], body).await?;
        ensure!(reply.status().is_success(), "order refused: {:?}", reply.body());
        Ok(())
    }

    /// Counters of the replicas by name.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub async fn counters(&self, client: &HttpClient) -> Result<BTreeMap<String, ReplicaCounters>> {
        let reply = client.send(Method::GET, self.control, "/counters", &[], "").await?;
        Ok(serde_json::from_slice(reply.body())?)
    }
}
