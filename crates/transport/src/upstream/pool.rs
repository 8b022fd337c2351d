use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bon::Builder;
use rosemarybank_protocol::{
    id::ReplicaId,
    upstream::{ReplicaStatus, ShardReply, UpstreamAction, UpstreamActionReply},
};
use tokio::{sync::mpsc, task::AbortHandle};

use super::{
    call::{self, CallOptions, CallOutcome},
    replica::Replica,
    reply_memory::ReplyMemory,
    shard_call::ShardCall,
};
use crate::traffic::ByteCounter;

/// Settings of a [`Pool`].
#[derive(Clone, Copy, Debug, Builder)]
pub struct PoolSettings {
    /// Timeout of opening a connection.
    #[builder(default = Duration::from_millis(500))]
    pub connect_timeout: Duration,
    /// Local address to connect from; chosen by the operating system when absent.
    pub source: Option<IpAddr>,
    /// Largest reply body in bytes. A larger reply is reported as a failed request.
    #[builder(default = 4 << 20)]
    pub max_reply_bytes: usize,
    /// Memory in bytes for all replies in progress. A reply that finds no room is reported as a failed request.
    #[builder(default = 64 << 20)]
    pub reply_memory: usize,
}

/// A replica to which the pool connects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the replica.
    pub replica: ReplicaId,
    /// Address of the replica.
    pub addr: SocketAddr,
    /// Maximum number of connections from this pool to the replica.
    pub max_connections: u32,
}

/// Notification that a replica sent GOAWAY: it accepts no new streams on that connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GoingAway {
    /// Name of the replica.
    pub replica: ReplicaId,
}

/// Pool of connections to replicas. Clones share the connections.
///
/// The pool must be used within a tokio runtime, on which its connections run.
#[derive(Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

struct Inner {
    settings: PoolSettings,
    goaway_tx: mpsc::UnboundedSender<GoingAway>,
    status_bytes: ByteCounter,
    reply_memory: ReplyMemory,
    entries: Mutex<HashMap<ReplicaId, Entry>>,
}

/// A replica and the task that keeps it connected.
struct Entry {
    replica: Arc<Replica>,
    connect_task: AbortHandle,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.connect_task.abort();
        self.replica.close();
    }
}

impl Pool {
    /// Creates a pool without connections. Received GOAWAY frames are reported to `goaway_tx`.
    #[must_use]
    pub fn new(settings: PoolSettings, goaway_tx: mpsc::UnboundedSender<GoingAway>) -> Pool {
        let (status_bytes, entries) = (ByteCounter::default(), Mutex::default());
        let reply_memory = ReplyMemory::new(settings.reply_memory, settings.max_reply_bytes);
        let inner = Inner { settings, goaway_tx, status_bytes, reply_memory, entries };
        Pool { inner: Arc::new(inner) }
    }

    /// Sets the replicas to which connections are kept open before they are needed.
    ///
    /// Connections to other replicas and to former addresses close after their last stream ends.
    pub fn set_targets(&self, targets: impl IntoIterator<Item = Target>) {
        let mut entries = self.lock();
        let mut former = std::mem::take(&mut *entries);
        for target in targets {
            let entry = match former.remove(&target.replica) {
                Some(it) if it.replica.addr() == target.addr => {
                    it.replica.set_max_connections(target.max_connections);
                    it
                }
                _ => self.new_entry(&target),
            };
            entries.insert(target.replica, entry);
        }
    }

    /// Asks a replica to search its shard.
    pub async fn search(
        &self,
        target: &Target,
        req: &ShardCall,
        options: &CallOptions,
    ) -> CallOutcome<ShardReply> {
        let replica = self.replica(target);
        let buffer = self.inner.reply_memory.start();
        call::post(&replica, "/search", req.encode(), options, buffer).await
    }

    /// Asks a replica to execute an action, which must not be executed twice.
    ///
    /// Only [`CallOutcome::NotSent`] and refusals other than `failed` mean that the action was not
    /// executed and cannot be executed later.
    pub async fn run_action(
        &self,
        target: &Target,
        action: &UpstreamAction,
        options: &CallOptions,
    ) -> CallOutcome<UpstreamActionReply> {
        let replica = self.replica(target);
        let body = serde_json::to_vec(action).map(|it| vec![it.into()]);
        let buffer = self.inner.reply_memory.start();
        call::post(&replica, "/actions", body, options, buffer).await
    }

    /// Reads the status of a replica.
    pub async fn status(
        &self,
        target: &Target,
        options: &CallOptions,
    ) -> CallOutcome<ReplicaStatus> {
        let replica = self.replica(target);
        let Inner { reply_memory, status_bytes, .. } = &*self.inner;
        call::get(&replica, "/status", options, reply_memory.start(), status_bytes).await
    }

    /// Number of bytes of status requests and replies since the pool was created.
    #[must_use]
    pub fn status_bytes(&self) -> u64 {
        self.inner.status_bytes.total()
    }

    /// Returns the replica at the address of the target, and adds it to the pool if necessary.
    fn replica(&self, target: &Target) -> Arc<Replica> {
        let mut entries = self.lock();
        let known = entries.get(&target.replica).filter(|it| it.replica.addr() == target.addr);
        if let Some(it) = known {
            return Arc::clone(&it.replica);
        }
        let entry = self.new_entry(target);
        let replica = Arc::clone(&entry.replica);
        entries.insert(target.replica.clone(), entry);
        replica
    }

    /// Creates an entry and starts to connect to its replica.
    fn new_entry(&self, target: &Target) -> Entry {
        let replica = Replica::new(target);
        let goaway_tx = self.inner.goaway_tx.clone();
        let on_goaway = move |event| {
            // The receiver is dropped only when the daemon stops.
            let _ = goaway_tx.send(event);
        };
        let connecting = Arc::clone(&replica).keep_connected(
            self.inner.settings,
            target.replica.clone(),
            on_goaway,
        );
        Entry { replica, connect_task: tokio::spawn(connecting).abort_handle() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ReplicaId, Entry>> {
        self.inner.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
