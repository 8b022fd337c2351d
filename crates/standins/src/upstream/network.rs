//! Delays between data centres, emulated from the address that a request comes from.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use rosemarybank_protocol::id::DataCentre;

/// Data centres by network, and the delays between them.
#[derive(Clone, Debug, Default)]
pub struct Network {
    data_centres: HashMap<[u8; 3], DataCentre>,
    delays: HashMap<(DataCentre, DataCentre), Duration>,
}

impl Network {
    /// Puts the /24 network of `addr` into a data centre.
    pub fn add_data_centre(&mut self, addr: Ipv4Addr, data_centre: DataCentre) {
        self.data_centres.insert(network_of(addr), data_centre);
    }

    /// Sets the one-way delay between two data centres, in both directions.
    pub fn set_delay(&mut self, a: DataCentre, b: DataCentre, one_way: Duration) {
        self.delays.insert((a.clone(), b.clone()), one_way);
        self.delays.insert((b, a), one_way);
    }

    /// One-way delay between a client and a data centre; zero for a client in no data centre.
    #[must_use]
    pub fn one_way(&self, client: IpAddr, to: &DataCentre) -> Duration {
        let IpAddr::V4(client) = client.to_canonical() else { return Duration::ZERO };
        let from = self.data_centres.get(&network_of(client));
        let delay = from.and_then(|from| self.delays.get(&(from.clone(), to.clone())));
        delay.copied().unwrap_or_default()
    }
}

fn network_of(addr: Ipv4Addr) -> [u8; 3] {
    let [a, b, c, _] = addr.octets();
    [a, b, c]
}
