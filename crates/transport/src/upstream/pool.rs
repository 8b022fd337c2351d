use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bon::Builder;
use rosemarybank_protocol::{
    id::ReplicaId,
    upstream::{ReplicaStatus, ShardReply, ShardRequest, UpstreamAction, UpstreamActionReply},
};
use tokio::{sync::mpsc, task::AbortHandle};

use super::{
    call::{self, CallOptions, CallOutcome},
    replica::Replica,
};
use crate::traffic::ByteCounter;

/// Limits of a [`Pool`].
#[derive(Clone, Copy, Debug, Builder)]
pub struct PoolSettings {
    /// Time allowed for opening a connection.
    #[builder(default = Duration::from_millis(500))]
    pub connect_timeout: Duration,
    /// Local address to connect from; the system chooses when absent.
    pub source: Option<IpAddr>,
    /// Largest reply body in bytes; a larger one counts as failed.
    #[builder(default = 4 << 20)]
    pub reply_bytes: usize,
}

/// A replica to which the pool keeps a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the replica.
    pub replica: ReplicaId,
    /// Its address.
    pub addr: SocketAddr,
    /// Connections that this instance may hold to it.
    pub max_connections: u32,
}

/// A replica sent GOAWAY: it takes no new streams on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GoingAway {
    /// Name of the replica.
    pub replica: ReplicaId,
}

/// Connections to all replicas. Clones share them.
///
/// Needs a tokio runtime; connections and requests run on the runtime of the caller.
#[derive(Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

struct Inner {
    settings: PoolSettings,
    notices: mpsc::UnboundedSender<GoingAway>,
    status_bytes: ByteCounter,
    kept: Mutex<HashMap<ReplicaId, Kept>>,
}

struct Kept {
    replica: Arc<Replica>,
    keeper: AbortHandle,
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.keeper.abort();
        self.replica.close();
    }
}

impl Pool {
    /// Makes a pool without connections. GOAWAY frames are reported to `notices`.
    #[must_use]
    pub fn new(settings: PoolSettings, notices: mpsc::UnboundedSender<GoingAway>) -> Pool {
        let (status_bytes, kept) = (ByteCounter::default(), Mutex::default());
        Pool { inner: Arc::new(Inner { settings, notices, status_bytes, kept }) }
    }

    /// Sets the replicas to which connections are kept open ahead of use.
    ///
    /// Connections to other replicas and to former addresses close after their last reply.
    pub fn set_targets(&self, targets: impl IntoIterator<Item = Target>) {
        let mut kept = self.lock();
        let mut former = std::mem::take(&mut *kept);
        for target in targets {
            let entry = match former.remove(&target.replica) {
                Some(it) if it.replica.addr() == target.addr => {
                    it.replica.set_share(target.max_connections);
                    it
                }
                _ => self.keep(&target),
            };
            kept.insert(target.replica, entry);
        }
    }

    /// Asks a replica to search.
    pub async fn search(
        &self,
        target: &Target,
        req: &ShardRequest,
        call: &CallOptions,
    ) -> CallOutcome<ShardReply> {
        let replica = self.replica(target);
        call::post(&replica, "/search", req, call, self.inner.settings.reply_bytes).await
    }

    /// Asks a replica to run a one-time action. [`CallOutcome::NotSent`] and refusals other than
    /// `failed` mean that it has not run and cannot run any more.
    pub async fn run_action(
        &self,
        target: &Target,
        action: &UpstreamAction,
        call: &CallOptions,
    ) -> CallOutcome<UpstreamActionReply> {
        let replica = self.replica(target);
        call::post(&replica, "/actions", action, call, self.inner.settings.reply_bytes).await
    }

    /// Asks a replica for its status.
    pub async fn status(&self, target: &Target, call: &CallOptions) -> CallOutcome<ReplicaStatus> {
        let replica = self.replica(target);
        let Inner { settings, status_bytes, .. } = &*self.inner;
        call::get(&replica, "/status", call, settings.reply_bytes, status_bytes).await
    }

    /// Bytes of status requests and replies since the pool was made.
    #[must_use]
    pub fn status_bytes(&self) -> u64 {
        self.inner.status_bytes.total()
    }

    fn replica(&self, target: &Target) -> Arc<Replica> {
        let mut kept = self.lock();
        let known = kept.get(&target.replica).filter(|it| it.replica.addr() == target.addr);
        if let Some(it) = known {
            return Arc::clone(&it.replica);
        }
        let entry = self.keep(target);
        let replica = Arc::clone(&entry.replica);
        kept.insert(target.replica.clone(), entry);
        replica
    }

    fn keep(&self, target: &Target) -> Kept {
        let replica = Replica::new(target);
        let notices = self.inner.notices.clone();
        let announce = move |notice| {
            // The receiver is dropped only when the daemon stops.
            let _ = notices.send(notice);
        };
        let keeping =
            Arc::clone(&replica).keep(self.inner.settings, target.replica.clone(), announce);
        Kept { replica, keeper: tokio::spawn(keeping).abort_handle() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ReplicaId, Kept>> {
        self.inner.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
