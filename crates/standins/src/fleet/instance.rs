//! Entry instances that run as child processes.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use http::Method;
use serde_json::Value;

use super::{process::Process, site::TOKEN, wait::wait_until};
use crate::client::HttpClient;

/// An entry instance that runs as a child process, with a client for its HTTP APIs.
pub struct InstanceProcess {
    /// The child process.
    pub process: Process,
    /// Name of the instance.
    pub name: String,
    /// Address of the callers' API.
    pub caller_addr: SocketAddr,
    /// Address of the admin API.
    pub admin_addr: SocketAddr,
    settings_file: PathBuf,
    client: HttpClient,
}

impl InstanceProcess {
    /// Starts `rosemarybankd` with a settings file; its output goes to a `.log` file beside it.
    #[must_use]
    pub fn start(
        name: &str,
        caller_addr: SocketAddr,
        admin_addr: SocketAddr,
        settings_file: &Path,
    ) -> Self {
        let args = ["--settings", &settings_file.to_string_lossy()];
        let process = Process::start("rosemarybankd", &args, &settings_file.with_extension("log"));
        let client = HttpClient::http1();
        let (name, settings_file) = (name.to_owned(), settings_file.to_owned());
        InstanceProcess { process, name, caller_addr, admin_addr, settings_file, client }
    }

    /// Waits for the process to exit and starts a new one with the same settings.
    ///
    /// The new process keeps no state of the old one.
    pub async fn restart(&mut self) {
        self.process.wait_for_exit().await;
        let restarted = InstanceProcess::start(
            &self.name,
            self.caller_addr,
            self.admin_addr,
            &self.settings_file,
        );
        *self = restarted;
    }

    /// Whether `GET /ready` succeeds.
    pub async fn is_ready(&self) -> bool {
        let reply = self.client.send(Method::GET, self.admin_addr, "/ready", &[], "").await;
        reply.is_ok_and(|it| it.status().is_success())
    }

    /// Waits until `GET /ready` succeeds.
    pub async fn wait_until_ready(&self) {
        wait_until(&format!("{} is ready", self.name), async || {
            self.is_ready().await.then_some(())
        })
        .await;
    }

    /// Waits until a search of `order-desk` covers all records, which requires a replica of every
    /// shard, and returns its response.
    pub async fn wait_for_complete_search(&self) -> Value {
        wait_until(&format!("a search of {} is complete", self.name), async || {
            let (status, body) = self.search(r#"{"query":"cherry"}"#).await.ok()?;
            (status == 200 && body["complete"] == true).then_some(body)
        })
        .await
    }

    /// Version of the active configuration, from the admin API.
    pub async fn config_version(&self) -> Option<u64> {
        self.status().await?["version"].as_u64()
    }

    /// Number of calls to the platform since the start, from the admin API.
    pub async fn platform_calls(&self) -> Option<u64> {
        self.status().await?["platform_calls"].as_u64()
    }

    /// Number of replicas in the list that the instance uses, from the admin API.
    pub async fn replica_count(&self) -> Option<u64> {
        self.status().await?["replicas"].as_u64()
    }

    async fn status(&self) -> Option<Value> {
        let reply =
            self.client.send(Method::GET, self.admin_addr, "/status", &[], "").await.ok()?;
        serde_json::from_slice(reply.body()).ok()
    }

    /// Searches `order-desk` and returns the status code and the response body.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the response, or the response is not
    /// JSON.
    pub async fn search(&self, body: &str) -> eyre::Result<(u16, Value)> {
        self.search_with(&self.client, body).await
    }

    /// Does the same as [`InstanceProcess::search`] with the connections of `client`.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the response, or the response is not
    /// JSON.
    pub async fn search_with(&self, client: &HttpClient, body: &str) -> eyre::Result<(u16, Value)> {
        self.post(client, "/v1/services/order-desk/search", None, body).await
    }

    /// Submits an action to `lot-ledger` under an idempotency key, and returns the status code and
    /// the response body.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the response, or the response is not
    /// JSON.
    pub async fn submit(&self, key: &str, text: &str) -> eyre::Result<(u16, Value)> {
        let body = serde_json::json!({ "body": text }).to_string();
        self.post(&self.client, "/v1/services/lot-ledger/actions", Some(key), &body).await
    }

    async fn post(
        &self,
        client: &HttpClient,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> eyre::Result<(u16, Value)> {
        let token = format!("Bearer {TOKEN}");
        let mut headers = vec![("authorization", token.as_str())];
        headers.extend(key.map(|it| ("idempotency-key", it)));
        let reply =
            client.send(Method::POST, self.caller_addr, path, &headers, body.to_owned()).await?;
        Ok((reply.status().as_u16(), serde_json::from_slice(reply.body())?))
    }
}
