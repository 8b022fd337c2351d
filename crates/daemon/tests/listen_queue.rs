//! The queue of new connections: all clients of a process connect at once after a restart or a shift of clients.

mod common;

#[path = "common/cluster.rs"]
mod cluster;

use std::{
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use cluster::Cluster;
use common::{TestEnv, process::DaemonProcess};

/// Number of clients that connect at once.
const CROWD: usize = 300;

/// Time for a connection. The opening packet of one beyond the queue is sent again after a second.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Checks that all clients are connected while the process accepts nothing.
fn check_queue(addr: SocketAddr) {
    let connect = |_| TcpStream::connect_timeout(&addr, TIMEOUT);
    // A client that is not connected ends the crowd, so that a failure takes a second.
    let crowd: Vec<TcpStream> = (0..CROWD).map(connect).map_while(Result::ok).collect();
    assert_eq!(crowd.len(), CROWD, "connections at {addr}");
}

/// Guards against clients that wait for seconds because the queue of a listener is shorter than the crowd.
#[test]
fn a_crowd_is_connected_on_the_platform_before_it_is_accepted() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    instance.signal("-STOP");
    let ports = instance.ports();
    for port in [ports.client, ports.readiness, ports.peer, ports.metrics] {
        check_queue(SocketAddr::from(([127, 0, 0, 1], port)));
    }
    instance.signal("-CONT");
}

/// The same for the product's own interface.
#[test]
fn a_crowd_is_connected_before_it_is_accepted() {
    let env = TestEnv::start();
    let process = DaemonProcess::start(&env, &[], 2_000);
    process.send_signal("-STOP");
    for addr in [process.callers, process.admin] {
        check_queue(addr);
    }
    process.send_signal("-CONT");
}
