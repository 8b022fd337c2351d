//! Emulated network delays between data centres, based on the source addresses of requests.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use rosemarybank_protocol::id::DataCentre;

/// Data centres by their /24 networks, and the one-way delays between them.
#[derive(Clone, Debug, Default)]
pub struct Network {
    data_centres: HashMap<[u8; 3], DataCentre>,
    delays: HashMap<(DataCentre, DataCentre), Duration>,
}

impl Network {
    /// Assigns the /24 network of `addr` to a data centre.
    pub fn add_data_centre(&mut self, addr: Ipv4Addr, data_centre: DataCentre) {
        self.data_centres.insert(network_prefix(addr), data_centre);
    }

    /// Sets the one-way delay between two data centres, in both directions.
    pub fn set_delay(&mut self, a: DataCentre, b: DataCentre, one_way: Duration) {
        self.delays.insert((a.clone(), b.clone()), one_way);
        self.delays.insert((b, a), one_way);
    }

    /// Returns the one-way delay between a client and a data centre. It is zero for a client
    /// outside all data centres and for data centres without a configured delay.
    #[must_use]
    pub fn one_way_delay(&self, client: IpAddr, to: &DataCentre) -> Duration {
        let IpAddr::V4(client) = client.to_canonical() else { return Duration::ZERO };
        let from = self.data_centres.get(&network_prefix(client));
        let delay = from.and_then(|from| self.delays.get(&(from.clone(), to.clone())));
        delay.copied().unwrap_or_default()
    }
}

fn network_prefix(addr: Ipv4Addr) -> [u8; 3] {
    let [a, b, c, _] = addr.octets();
    [a, b, c]
}
