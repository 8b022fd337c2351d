use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use rosemarybank_store::{
    CallError, Listing, Object, ObjectVersion, Settings, StoreClient, WriteOutcome,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::CliError;

/// Timeout of a call. Sending a bundle of 1 MB over a slow link takes longer than the default of
/// the store client.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The platform's object API. Tests replace it with a fake that loses requests and responses.
pub(crate) trait ObjectStore {
    async fn get(&self, path: &str) -> Result<Option<Object>, CallError>;
    async fn list(&self, prefix: &str) -> Result<Listing, CallError>;
    async fn create(&self, path: &str, value: Bytes) -> WriteOutcome;
    async fn update(&self, path: &str, version: ObjectVersion, value: Bytes) -> WriteOutcome;
    async fn delete(&self, path: &str, version: ObjectVersion) -> WriteOutcome;
}

impl ObjectStore for StoreClient {
    async fn get(&self, path: &str) -> Result<Option<Object>, CallError> {
        StoreClient::get(self, path).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, CallError> {
        StoreClient::list(self, prefix).await
    }

    fn create(&self, path: &str, value: Bytes) -> impl Future<Output = WriteOutcome> {
        StoreClient::create(self, path, value)
    }

    fn update(
        &self,
        path: &str,
        version: ObjectVersion,
        value: Bytes,
    ) -> impl Future<Output = WriteOutcome> {
        StoreClient::update(self, path, version, value)
    }

    fn delete(&self, path: &str, version: ObjectVersion) -> impl Future<Output = WriteOutcome> {
        StoreClient::delete(self, path, version)
    }
}

/// Creates a client of the platform at `addr`.
pub(crate) fn platform_client(addr: SocketAddr) -> StoreClient {
    let seed = fastrand::u64(..);
    StoreClient::new(Settings::builder().addr(addr).seed(seed).call_timeout(CALL_TIMEOUT).build())
}

/// Reads and parses an object; `None` if it does not exist.
pub(crate) async fn get_json<T: DeserializeOwned>(
    store: &impl ObjectStore,
    path: &str,
) -> Result<Option<(ObjectVersion, T)>, CliError> {
    let object = store.get(path).await.map_err(CliError::Platform)?;
    object.map(|it| Ok((it.version, parse_object(&it)?))).transpose()
}

/// Lists and parses the objects below a prefix, with their paths.
pub(crate) async fn list_json<T: DeserializeOwned>(
    store: &impl ObjectStore,
    prefix: &str,
) -> Result<Vec<(String, T)>, CliError> {
    let listing = store.list(prefix).await.map_err(CliError::Platform)?;
    listing.objects.iter().map(|it| Ok((it.path.to_string(), parse_object(it)?))).collect()
}

/// Serializes an object to JSON.
pub(crate) fn to_json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).expect("objects have text keys and finite numbers").into()
}

fn parse_object<T: DeserializeOwned>(object: &Object) -> Result<T, CliError> {
    serde_json::from_slice(&object.value).map_err(|e| CliError::InvalidObject {
        path: object.path.to_string(),
        message: e.to_string(),
    })
}
