use std::sync::Arc;

use rosemarybank_protocol::prelude::*;

use super::{run::Target, stats::Outcome};
use crate::{entry::EntryClient, error::CliError};

/// Target that distributes requests over entry instances round-robin.
#[derive(Clone, Debug)]
pub(crate) struct EntryTarget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    entries: Vec<EntryClient>,
    service: String,
    requests: Vec<SearchRequest>,
}

impl EntryTarget {
    /// Creates a target that cycles through `requests` and `entries`; neither may be empty.
    pub(crate) fn new(
        entries: Vec<EntryClient>,
        service: &str,
        requests: Vec<SearchRequest>,
    ) -> EntryTarget {
        EntryTarget(Arc::new(Shared { entries, service: service.to_owned(), requests }))
    }

    /// Sends one request over each connection, so that the run does not measure connection setup.
    ///
    /// Fails if no instance can be reached.
    pub(crate) async fn warm_up(&self) -> Result<(), CliError> {
        let Shared { entries, service, requests } = &*self.0;
        let mut any_reached = false;
        let mut last_error = None;
        for entry in entries {
            match entry.search(service, &requests[0]).await {
                Err(e @ CliError::Unreachable { .. }) => last_error = Some(e),
                _ => any_reached = true,
            }
        }
        match last_error {
            Some(e) if !any_reached => Err(e),
            _ => Ok(()),
        }
    }
}

impl Target for EntryTarget {
    async fn send(&self, number: u64) -> Outcome {
        let Shared { entries, service, requests } = &*self.0;
        let index = |len: usize| usize::try_from(number % len as u64).unwrap_or_default();
        let req = &requests[index(requests.len())];
        match entries[index(entries.len())].search(service, req).await {
            Ok(resp) => Outcome::answered(&resp.coverage),
            Err(e) => Outcome::Failed(error_kind(&e)),
        }
    }
}

fn error_kind(e: &CliError) -> String {
    match e {
        CliError::ErrorResponse { body, .. } => {
            let kind = serde_json::to_value(body.error).unwrap_or_default();
            kind.as_str().unwrap_or_default().to_owned()
        }
        CliError::Unreachable { .. } => "unreachable".to_owned(),
        CliError::NoResponse { .. } => "no_reply".to_owned(),
        _ => "bad_reply".to_owned(),
    }
}
