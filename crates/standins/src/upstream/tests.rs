//! Unit tests of the upstream stand-in.

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_protocol::key_range::KeyRange;

use super::{
    records::Records,
    slots::{QueueFull, Slots},
    spec::{ReplicaSpec, ServiceTime},
    topology::Topology,
};

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against records that are counted twice or missed at the boundary between two shards.
    #[test]
    fn counts_and_hits_of_two_shards_add_up_to_the_whole(count in 1u64..400, boundary in 1u64..) {
        let records = Records { service: "order-desk", snapshot: 3, count };
        let low = KeyRange::new(0, boundary - 1).unwrap();
        let high = KeyRange::new(boundary, u64::MAX).unwrap();
        prop_assert_eq!(records.count_in(KeyRange::ALL), count);
        prop_assert_eq!(records.count_in(low) + records.count_in(high), count);

        let mut parts = records.search(low, "cherry", 1_000);
        parts.extend(records.search(high, "cherry", 1_000));
        parts.sort_unstable_by_key(|hit| (u32::MAX - hit.score, hit.key));
        prop_assert_eq!(parts, records.search(KeyRange::ALL, "cherry", 1_000));
    }
}

/// Guards against a replica that exceeds the limits of its slots and its queue, or does not release
/// them when a request is dropped.
#[tokio::test]
async fn slots_and_queue_are_bounded() {
    let slots = Slots::new(1, 1);
    let permit = slots.acquire().await.unwrap();
    let mut waiting = Box::pin(slots.acquire());
    let timeout = tokio::time::timeout(std::time::Duration::ZERO, waiting.as_mut()).await;
    assert!(timeout.is_err(), "the second request waits");
    assert_eq!(slots.acquire().await.unwrap_err(), QueueFull);
    assert_eq!((slots.load().in_flight, slots.load().queued), (1, 1));

    drop(waiting);
    assert_eq!(slots.load().queued, 0);
    drop(permit);
    assert_eq!(slots.load().in_flight, 0);
    drop(slots.acquire().await.unwrap());
}

/// Guards against service times whose median differs from the configured one.
#[test]
fn service_times_have_the_configured_median() {
    let mut rng = fastrand::Rng::with_seed(7);
    let service_time = ServiceTime { median_us: 1_000, sigma: 0.5 };
    let below = (0..4_000).filter(|_| service_time.sample(&mut rng).as_micros() < 1_000).count();
    assert!((1_900..2_100).contains(&below), "{below} of 4000 samples are below the median");
}

/// Guards against format changes that break replica files as documented.
#[test]
fn a_replica_list_is_parsed_from_yaml() {
    let text = "
- replica: order-desk-00-a
  upstream: order-desk-00
  data_centre: dc1
  addr: 127.0.1.1:0
  service_time: { median_us: 3000, sigma: 0.5 }
  holdings:
    - service: order-desk
      snapshot: 1
      records: 1000
      ranges: [{ first: '0000000000000000', last: '7fffffffffffffff' }]
";
    let specs: Vec<ReplicaSpec> = serde_saphyr::from_str(text).unwrap();
    assert_eq!((specs[0].slots, specs[0].connections), (2, 25));
    assert_eq!(specs[0].holdings[0].ranges[0].last(), u64::MAX / 2);
}

fn demo_topology() -> Topology {
    serde_saphyr::from_str(include_str!("../../../../config/demo/topology.yaml")).unwrap()
}

/// Guards against a demo topology whose shards leave gaps or overlap within a data centre, or whose
/// replicas share an address.
#[test]
fn the_demo_topology_is_complete() {
    let topology = demo_topology();
    let replicas = topology.replicas();
    assert_eq!(replicas.len(), 33);
    let addrs: std::collections::BTreeSet<_> = replicas.iter().map(|it| it.addr).collect();
    assert_eq!(addrs.len(), 33);
    for data_centre in &topology.data_centres {
        let local = replicas.iter().filter(|it| it.data_centre == data_centre.name);
        let ranges: Vec<_> = local.flat_map(|it| &it.holdings).flat_map(|it| &it.ranges).collect();
        assert_eq!(ranges.len(), 10);
        assert!(KeyRange::ALL.subtract(ranges.iter().map(|it| **it)).is_empty());
        assert!(KeyRange::are_disjoint(ranges.iter().map(|it| **it)));
    }
}

/// Guards against delays that are missing in one direction, or that apply within a data centre or
/// to clients outside all data centres.
#[test]
fn delays_depend_on_the_source_address() {
    let network = demo_topology().network();
    let ms =
        |from: &str, to: &str| network.one_way_delay(from.parse().unwrap(), &to.into()).as_millis();
    assert_eq!((ms("127.0.1.9", "rundu"), ms("127.0.2.9", "maun")), (4, 4));
    assert_eq!((ms("127.0.1.9", "katima"), ms("127.0.1.9", "maun")), (12, 0));
    assert_eq!(ms("127.0.0.1", "katima"), 0);
}
