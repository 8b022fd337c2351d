//! Ports of the instances that tests start as processes.

use std::{collections::HashSet, path::Path};

use rosemarybank_standins::platform_mode::Instance;
use tempfile::TempDir;

/// Tests run side by side, and a process binds its ports some time after they were chosen. A port that
/// is given to two instances ends one of them at its start.
#[test]
fn instances_that_have_not_started_yet_share_no_port() {
    let dir = TempDir::new().unwrap();
    let store = "127.0.0.1:9".parse().unwrap();
    let instances: Vec<Instance> = std::thread::scope(|scope| {
        let create = |number: usize| {
            let names = (0..50).map(move |it| format!("m{number}-{it}"));
            let dir = dir.path();
            let new = move |it: String| Instance::new(&it, "a", dir, Path::new("none"), store);
            scope.spawn(move || names.map(new).collect::<Result<Vec<_>, _>>().unwrap())
        };
        let threads: Vec<_> = (0..4).map(create).collect();
        threads.into_iter().flat_map(|it| it.join().unwrap()).collect()
    });
    let ports = instances.iter().map(Instance::ports);
    let ports = ports.flat_map(|it| [it.client, it.readiness, it.peer, it.metrics]);
    let distinct: HashSet<u16> = ports.collect();
    assert_eq!(distinct.len(), 4 * instances.len());
}
