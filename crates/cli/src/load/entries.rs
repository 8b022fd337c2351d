use std::sync::Arc;

use rosemarybank_protocol::prelude::*;

use super::{run::Target, tally::Outcome};
use crate::{entry::Entry, error::CliError};

/// Entry instances, which take the requests in turn.
#[derive(Clone, Debug)]
pub(crate) struct Entries(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    entries: Vec<Entry>,
    service: String,
    requests: Vec<SearchRequest>,
}

impl Entries {
    /// Sends `requests` in turn to `entries` in turn; neither may be empty.
    pub(crate) fn new(entries: Vec<Entry>, service: &str, requests: Vec<SearchRequest>) -> Entries {
        Entries(Arc::new(Shared { entries, service: service.to_owned(), requests }))
    }

    /// Sends one request over each connection, so that the run does not measure connecting.
    ///
    /// Fails when no instance can be reached at all.
    pub(crate) async fn warm_up(&self) -> Result<(), CliError> {
        let Shared { entries, service, requests } = &*self.0;
        let mut reached = false;
        let mut failure = None;
        for entry in entries {
            match entry.search(service, &requests[0]).await {
                Err(e @ CliError::Unreachable { .. }) => failure = Some(e),
                _ => reached = true,
            }
        }
        match failure {
            Some(e) if !reached => Err(e),
            _ => Ok(()),
        }
    }
}

impl Target for Entries {
    async fn send(&self, number: u64) -> Outcome {
        let Shared { entries, service, requests } = &*self.0;
        let turn = |len: usize| usize::try_from(number % len as u64).unwrap_or_default();
        let req = &requests[turn(requests.len())];
        match entries[turn(entries.len())].search(service, req).await {
            Ok(answer) => Outcome::answered(&answer.coverage),
            Err(e) => Outcome::Failed(kind(&e)),
        }
    }
}

fn kind(e: &CliError) -> String {
    match e {
        CliError::Refused { body, .. } => {
            let kind = serde_json::to_value(body.error).unwrap_or_default();
            kind.as_str().unwrap_or_default().to_owned()
        }
        CliError::Unreachable { .. } => "unreachable".to_owned(),
        CliError::NoReply { .. } => "no_reply".to_owned(),
        _ => "bad_reply".to_owned(),
    }
}
