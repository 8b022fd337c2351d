//! Sizes of the two sites that the experiments model.

use std::net::Ipv4Addr;

use rosemarybank_standins::upstream::{
    ServiceTime, Topology,
    topology::{DataCentreSpec, DelaySpec, SearchGroup},
};

/// Port of the first shard of the first search service.
const FIRST_SHARD_PORT: u16 = 7200;

/// Size of the port range that is reserved for each service.
const PORTS_PER_SERVICE: u16 = 400;

/// Number of records in each service.
const RECORDS_PER_SERVICE: u64 = 20_000;

/// Data centres, services and service times of a site.
#[derive(Clone, Debug)]
pub struct SiteProfile {
    /// Name in reports.
    pub name: &'static str,
    /// Names of the data centres. The first two are close to each other.
    pub data_centres: [&'static str; 3],
    /// One-way delay between the first two data centres and between any other two, in
    /// milliseconds.
    pub delays_ms: [u64; 2],
    /// Search services with their number of shards.
    pub services: Vec<(&'static str, u16)>,
    /// Distribution of the replicas' service times.
    pub service_time: ServiceTime,
    /// Random seed of the service times.
    pub seed: u64,
}

impl SiteProfile {
    /// Returns the profile of the Kavango site: order desk and stock board.
    #[must_use]
    pub fn kavango(seed: u64) -> SiteProfile {
        SiteProfile {
            name: "kavango",
            data_centres: ["maun", "rundu", "katima"],
            delays_ms: [4, 12],
            services: vec![("order-desk", 10), ("stock-board", 15)],
            service_time: ServiceTime { median_us: 4_000, sigma: 0.5 },
            seed,
        }
    }

    /// Returns the profile of the registry site: inspector desk and cooperative portal.
    #[must_use]
    pub fn registry(seed: u64) -> SiteProfile {
        SiteProfile {
            name: "registry",
            data_centres: ["kigali", "huye", "musanze"],
            delays_ms: [4, 8],
            services: vec![("inspector-desk", 10), ("cooperative-portal", 15)],
            ..SiteProfile::kavango(seed)
        }
    }

    /// Returns the profile reduced to its first service.
    #[must_use]
    pub fn first_service(mut self) -> SiteProfile {
        self.services.truncate(1);
        self
    }

    /// Returns the topology, with addresses in `127.<network>.0.0/16`.
    #[must_use]
    pub fn topology(&self, network: u8) -> Topology {
        let [a, b, c] = self.data_centres;
        let delay =
            |a: &str, b: &str, one_way_ms| DelaySpec { between: (a.into(), b.into()), one_way_ms };
        let [near, far] = self.delays_ms;
        let searches =
            self.services.iter().zip(0..).map(|(&(service, shards), number)| SearchGroup {
                service: service.into(),
                shards,
                port: FIRST_SHARD_PORT + PORTS_PER_SERVICE * number,
                snapshot: 1,
                records: RECORDS_PER_SERVICE,
                slots: 2,
                queue: 4,
                connections: 25,
                connect_ms: 6,
                service_time: self.service_time,
            });
        let data_centres = self.data_centres.iter().zip(1..).map(|(&name, number)| {
            DataCentreSpec { name: name.into(), network: Ipv4Addr::new(127, network, number, 0) }
        });
        Topology {
            seed: self.seed,
            data_centres: data_centres.collect(),
            delays: vec![delay(a, b, near), delay(a, c, far), delay(b, c, far)],
            searches: searches.collect(),
            ledgers: Vec::new(),
        }
    }
}
