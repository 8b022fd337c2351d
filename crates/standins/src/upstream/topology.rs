//! Topology files, which describe groups of replicas across data centres.

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

/// Contents of a topology file; `config/demo/topology.yaml` is an example.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Seed for sampling service times.
    pub seed: u64,
    /// Data centres; each has one replica of every shard and ledger.
    pub data_centres: Vec<DataCentreSpec>,
    /// Delays between data centres; pairs that are not listed have none.
    #[serde(default)]
    pub delays: Vec<DelaySpec>,
    /// Search services.
    #[serde(default)]
    pub searches: Vec<SearchGroup>,
    /// Ledger services.
    #[serde(default)]
    pub ledgers: Vec<LedgerGroup>,
}

/// A data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreSpec {
    /// Name of the data centre.
    pub name: DataCentre,
    /// Any address in the /24 network of the data centre. Its replicas have host number 1.
    pub network: Ipv4Addr,
}

/// Network delay between two data centres, the same in both directions.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelaySpec {
    /// The two data centres.
    pub between: (DataCentre, DataCentre),
    /// One-way delay in milliseconds.
    pub one_way_ms: u64,
}

/// A search service with shards of equal size, each with one replica per data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchGroup {
    /// Name of the service. The upstream of a shard adds its two-digit number, as in `-00`.
    pub service: ServiceId,
    /// Number of shards.
    pub shards: u16,
    /// Port of the replicas of the first shard; later shards use the following ports.
    pub port: u16,
    /// Snapshot that the replicas hold.
    pub snapshot: SnapshotId,
    /// Number of records in the whole key space.
    pub records: u64,
    /// Number of execution slots of each replica.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot at a replica; further ones are shed.
    pub queue: u32,
    /// Maximum number of open connections of a replica.
    pub connections: u32,
    /// Delay between accepting a connection and reading from it, in milliseconds.
    pub connect_ms: u64,
    /// Distribution of service times.
    pub service_time: ServiceTime,
}

/// A ledger service with one replica per data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerGroup {
    /// Name of the service and of its upstream.
    pub service: ServiceId,
    /// Port of the replicas.
    pub port: u16,
    /// Number of execution slots of each replica.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot at a replica; further ones are shed.
    pub queue: u32,
    /// Maximum number of open connections of a replica.
    pub connections: u32,
    /// Delay between accepting a connection and reading from it, in milliseconds.
    pub connect_ms: u64,
    /// Distribution of service times.
    pub service_time: ServiceTime,
}

impl Topology {
    /// Returns the descriptions of all replicas, ordered by data centre, then in the order of the
    /// search services, their shards and the ledgers.
    #[must_use]
    pub fn replicas(&self) -> Vec<ReplicaSpec> {
        self.data_centres.iter().flat_map(|it| self.replicas_in(it)).collect()
    }

    /// Returns the networks of the data centres and the delays between them.
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

/// Returns one of `parts` equal parts of the key space.
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
    assert!(part < parts, "part {part} is out of range: the key space has {parts} parts");
    let lower_bound = |part: u16| (u128::from(part) << 64) / u128::from(parts);
    let last = lower_bound(part + 1) - 1;
    KeyRange::new(lower_bound(part) as u64, last as u64).expect("a part should not be empty")
}
