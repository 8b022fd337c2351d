//! Topologies: groups of replicas over data centres, described in one file.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use compact_str::format_compact;
use rosemarybank_protocol::{
    id::{DataCentre, ServiceId, SnapshotId, UpstreamId},
    key_range::KeyRange,
};
use serde::{Deserialize, Serialize};

use super::{
    network::Network,
    spec::{HoldingSpec, ReplicaSpec, ServiceTime},
};

/// A topology, as `config/demo/topology.yaml` shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Seed of the service times.
    pub seed: u64,
    /// Data centres.
    pub data_centres: Vec<DataCentreSpec>,
    /// Delays between data centres.
    #[serde(default)]
    pub delays: Vec<DelaySpec>,
    /// Search groups.
    #[serde(default)]
    pub searches: Vec<SearchGroup>,
    /// Ledgers.
    #[serde(default)]
    pub ledgers: Vec<LedgerGroup>,
}

/// A data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreSpec {
    /// Name.
    pub name: DataCentre,
    /// Address in its /24 network.
    pub network: Ipv4Addr,
}

/// Delay between two data centres.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelaySpec {
    /// The two data centres.
    pub between: (DataCentre, DataCentre),
    /// One-way delay in milliseconds.
    pub one_way_ms: u64,
}

/// A search service whose equal shards have one replica in each data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchGroup {
    /// Service.
    pub service: ServiceId,
    /// Number of shards.
    pub shards: u16,
    /// Port of the first shard; each further one has the next port.
    pub port: u16,
    /// Snapshot that all replicas hold.
    pub snapshot: SnapshotId,
    /// Records over the whole key space.
    pub records: u64,
    /// Requests that a replica executes at once.
    pub slots: u32,
    /// Requests that wait for a slot before a replica sheds.
    pub queue: u32,
    /// Connections that a replica accepts.
    pub connections: u32,
    /// Delay of a new connection in milliseconds.
    pub connect_ms: u64,
    /// Distribution of service times.
    pub service_time: ServiceTime,
}

/// A ledger with one replica in each data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerGroup {
    /// Service, which is also the name of its upstream.
    pub service: ServiceId,
    /// Port.
    pub port: u16,
    /// Requests that a replica executes at once.
    pub slots: u32,
    /// Requests that wait for a slot before a replica sheds.
    pub queue: u32,
    /// Connections that a replica accepts.
    pub connections: u32,
    /// Delay of a new connection in milliseconds.
    pub connect_ms: u64,
    /// Distribution of service times.
    pub service_time: ServiceTime,
}

impl Topology {
    /// Describes every replica, by data centre and then by port.
    #[must_use]
    pub fn replicas(&self) -> Vec<ReplicaSpec> {
        self.data_centres.iter().flat_map(|it| self.replicas_in(it)).collect()
    }

    /// The delays between data centres.
    #[must_use]
    pub fn network(&self) -> Network {
        let mut network = Network::default();
        for it in &self.data_centres {
            network.add_data_centre(it.network, it.name.clone());
        }
        for DelaySpec { between: (a, b), one_way_ms } in &self.delays {
            network.set_delay(a.clone(), b.clone(), Duration::from_millis(*one_way_ms));
        }
        network
    }

    fn replicas_in(&self, data_centre: &DataCentreSpec) -> Vec<ReplicaSpec> {
        let [a, b, c, _] = data_centre.network.octets();
        let host = Ipv4Addr::new(a, b, c, 1);
        let base = |upstream: UpstreamId, port| ReplicaSpec {
            replica: format_compact!("{upstream}-{}", data_centre.name),
            upstream,
            data_centre: data_centre.name.clone(),
            addr: SocketAddr::from((host, port)),
            slots: 0,
            queue: 0,
            connections: 0,
            connect_ms: 0,
            cold_start_ms: 0,
            service_time: ServiceTime::default(),
            holdings: Vec::new(),
            ledgers: Vec::new(),
        };
        let searches = self.searches.iter().flat_map(|group| {
            (0..group.shards).map(move |shard| ReplicaSpec {
                slots: group.slots,
                queue: group.queue,
                connections: group.connections,
                connect_ms: group.connect_ms,
                service_time: group.service_time,
                holdings: vec![group.holding(shard)],
                ..base(format_compact!("{}-{shard:02}", group.service), group.port + shard)
            })
        });
        let ledgers = self.ledgers.iter().map(|group| ReplicaSpec {
            slots: group.slots,
            queue: group.queue,
            connections: group.connections,
            connect_ms: group.connect_ms,
            service_time: group.service_time,
            ledgers: vec![group.service.clone()],
            ..base(group.service.clone(), group.port)
        });
        searches.chain(ledgers).collect()
    }
}

impl SearchGroup {
    fn holding(&self, shard: u16) -> HoldingSpec {
        HoldingSpec {
            service: self.service.clone(),
            snapshot: self.snapshot,
            records: self.records,
            ranges: vec![equal_part(shard, self.shards)],
        }
    }
}

/// One of `parts` equal parts of the key space.
///
/// # Panics
///
/// Panics unless `part < parts`.
///
/// # Examples
///
/// ```
/// use rosemarybank_standins::upstream::topology::equal_part;
///
/// assert_eq!(equal_part(0, 2).last() + 1, equal_part(1, 2).first());
/// assert_eq!(equal_part(1, 2).last(), u64::MAX);
/// ```
#[must_use]
pub fn equal_part(part: u16, parts: u16) -> KeyRange {
    assert!(part < parts, "there are only {parts} parts");
    let border = |part: u16| (u128::from(part) << 64) / u128::from(parts);
    let last = border(part + 1) - 1;
    KeyRange::new(border(part) as u64, last as u64).expect("parts are not empty")
}
