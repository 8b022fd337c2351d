//! Entry instances as processes.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use http::Method;
use serde_json::Value;

use super::{process::Process, site::TOKEN, wait::wait_until};
use crate::client::HttpClient;

/// An entry instance as a process.
pub struct InstanceProcess {
    /// The process.
    pub process: Process,
    /// Name.
    pub name: String,
    /// Callers' port.
    pub callers: SocketAddr,
    /// Admin port.
    pub admin: SocketAddr,
    settings: PathBuf,
    client: HttpClient,
}

impl InstanceProcess {
    /// Starts an instance with a settings file.
    #[must_use]
    pub fn start(name: &str, callers: SocketAddr, admin: SocketAddr, settings: &Path) -> Self {
        let args = ["--settings", &settings.to_string_lossy()];
        let process = Process::start("rosemarybankd", &args, &settings.with_extension("log"));
        let client = HttpClient::http1();
        let (name, settings) = (name.to_owned(), settings.to_owned());
        InstanceProcess { process, name, callers, admin, settings, client }
    }

    /// Starts the instance again, without memory, after its process has ended.
    pub async fn restart(&mut self) {
        self.process.wait_for_exit().await;
        let new = InstanceProcess::start(&self.name, self.callers, self.admin, &self.settings);
        *self = new;
    }

    /// Whether the instance says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let reply = self.client.send(Method::GET, self.admin, "/ready", &[], "").await;
        reply.is_ok_and(|it| it.status().is_success())
    }

    /// Waits until the instance is ready.
    pub async fn wait_until_ready(&self) {
        wait_until(&format!("{} is ready", self.name), async || {
            self.is_ready().await.then_some(())
        })
        .await;
    }

    /// Waits until a search of `order-desk` is complete, so that all upstreams are known.
    pub async fn wait_for_complete_search(&self) -> Value {
        wait_until(&format!("a search of {} is complete", self.name), async || {
            let (status, body) = self.search(r#"{"query":"cherry"}"#).await.ok()?;
            (status == 200 && body["complete"] == true).then_some(body)
        })
        .await
    }

    /// Version of the configuration in force, as the admin port states it.
    pub async fn config_version(&self) -> Option<u64> {
        self.status().await?["version"].as_u64()
    }

    /// Calls of the platform since the start, as the admin port states them.
    pub async fn platform_calls(&self) -> Option<u64> {
        self.status().await?["platform_calls"].as_u64()
    }

    /// Replicas in the list that the instance uses, as the admin port states them.
    pub async fn replica_count(&self) -> Option<u64> {
        self.status().await?["replicas"].as_u64()
    }

    async fn status(&self) -> Option<Value> {
        let reply = self.client.send(Method::GET, self.admin, "/status", &[], "").await.ok()?;
        serde_json::from_slice(reply.body()).ok()
    }

    /// Searches `order-desk`.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the answer.
    pub async fn search(&self, body: &str) -> eyre::Result<(u16, Value)> {
        self.search_with(&self.client, body).await
    }

    /// Searches `order-desk` over the connections of another client.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the answer.
    pub async fn search_with(&self, client: &HttpClient, body: &str) -> eyre::Result<(u16, Value)> {
        self.ask(client, "/v1/services/order-desk/search", None, body).await
    }

    /// Submits an action to `lot-ledger`.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the answer.
    pub async fn submit(&self, key: &str, text: &str) -> eyre::Result<(u16, Value)> {
        let body = serde_json::json!({ "body": text }).to_string();
        self.ask(&self.client, "/v1/services/lot-ledger/actions", Some(key), &body).await
    }

    async fn ask(
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
            client.send(Method::POST, self.callers, path, &headers, body.to_owned()).await?;
        Ok((reply.status().as_u16(), serde_json::from_slice(reply.body())?))
    }
}
