//! Processes of upstream replicas, one for each data centre.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf};

use eyre::{Result, ensure};
use http::Method;
use rosemarybank_protocol::{id::ReplicaId, platform::InstanceEntry};
use rosemarybank_standins::{
    client::HttpClient,
    upstream::{FaultRequest, ReplicaCounters, ReplicaFaults},
};

use crate::process::{Process, find_addr};

/// The replicas of one data centre.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// The process.
    pub process: Process,
    /// The platform's list entries.
    pub entries: Vec<InstanceEntry>,
    control: SocketAddr,
    options: UpstreamOptions,
}

/// How the process is started.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
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

impl UpstreamProcess {
    /// Starts the replicas.
    ///
    /// # Errors
    ///
    /// Fails when the process does not become ready.
    pub async fn start(options: UpstreamOptions) -> Result<UpstreamProcess> {
        let name = &options.data_centre;
        let out = options.dir.join(format!("upstreams-{name}.json"));
        let args = [
            "--topology",
            &options.topology.to_string_lossy(),
            "--data-centre",
            name,
            "--control",
            "127.0.0.1:0",
            "--instances-out",
            &out.to_string_lossy(),
            "--seed",
            &options.seed.to_string(),
        ];
        let log = options.dir.join(format!("upstreams-{name}.log"));
        let mut process = Process::start(&options.binary, &args, &log)?;
        let control = find_addr(&process.wait_ready().await?, "control")?;
        let entries = serde_json::from_slice(&fs::read(&out)?)?;
        Ok(UpstreamProcess { process, entries, control, options })
    }

    /// Starts the replicas again at the same addresses after their process was killed.
    ///
    /// # Errors
    ///
    /// Fails when the process does not become ready.
    pub async fn restart(&mut self) -> Result<()> {
        *self = UpstreamProcess::start(self.options.clone()).await?;
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
        self.send_fault_order(client, &FaultRequest { replicas, set, ..FaultRequest::default() }).await
    }

    /// Carries an order out.
    ///
    /// # Errors
    ///
    /// Fails when the process does not take the order.
    pub async fn send_fault_order(&self, client: &HttpClient, order: &FaultRequest) -> Result<()> {
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
