//! Stand-in upstream processes, each of which serves the replicas of one data centre.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf};

use eyre::{Result, ensure};
use http::Method;
use rosemarybank_protocol::{id::ReplicaId, platform::InstanceEntry};
use rosemarybank_standins::{
    client::HttpClient,
    upstream::{FaultRequest, ReplicaCounters, ReplicaFaults},
};

use crate::process::{Process, find_addr};

/// A running `standin-upstream` process that serves all replicas of one data centre.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// The child process.
    pub process: Process,
    /// The replicas as the platform lists them.
    pub entries: Vec<InstanceEntry>,
    control: SocketAddr,
    options: UpstreamOptions,
}

/// Options for starting an upstream process.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Path of the `standin-upstream` binary.
    pub binary: PathBuf,
    /// Directory of the log and output files.
    pub dir: PathBuf,
    /// Path of the topology file.
    pub topology: PathBuf,
    /// Data centre whose replicas the process serves.
    pub data_centre: String,
    /// Random seed of the service times.
    pub seed: u64,
}

impl UpstreamProcess {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails if the process does not become ready.
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

    /// Restarts the process after it was killed. The replicas keep their addresses.
    ///
    /// # Errors
    ///
    /// Fails if the process does not become ready.
    pub async fn restart(&mut self) -> Result<()> {
        *self = UpstreamProcess::start(self.options.clone()).await?;
        Ok(())
    }

    /// Replaces the faults of these replicas, or of all replicas if `replicas` is empty. The faults
    /// persist until they are replaced.
    ///
    /// # Errors
    ///
    /// Fails if the process rejects the request.
    pub async fn set_faults(
        &self,
        client: &HttpClient,
        replicas: Vec<ReplicaId>,
        faults: ReplicaFaults,
    ) -> Result<()> {
        let set = Some(faults);
        self.send_fault_order(client, &FaultRequest { replicas, set, ..FaultRequest::default() })
            .await
    }

    /// Sends a fault request to the control address.
    ///
    /// # Errors
    ///
    /// Fails if the process rejects the request.
    pub async fn send_fault_order(
        &self,
        client: &HttpClient,
        request: &FaultRequest,
    ) -> Result<()> {
        let body = serde_json::to_vec(request)?;
        let reply = client.send(Method::POST, self.control, "/faults", &[], body).await?;
        ensure!(
            reply.status().is_success(),
            "upstream process of {} rejected the fault request: {:?}",
            self.options.data_centre,
            reply.body()
        );
        Ok(())
    }

    /// Returns the counters of the replicas by replica name.
    ///
    /// # Errors
    ///
    /// Fails if the process does not answer.
    pub async fn counters(&self, client: &HttpClient) -> Result<BTreeMap<String, ReplicaCounters>> {
        let reply = client.send(Method::GET, self.control, "/counters", &[], "").await?;
        Ok(serde_json::from_slice(reply.body())?)
    }
}
