//! The sum of all buffers that others can fill.

use std::time::Duration;

use rosemarybank_daemon::platform::memory_bounds::memory_bounds;
use rosemarybank_query::forward::ClientLimits;

/// Guards against a further buffer, or a larger part for one, with which a machine of the deployments is too small.
#[test]
fn all_buffers_together_fit_into_the_machine() {
    // Memory in MB, and descriptors less those reserved for files, of the machines in the deployments.
    for (memory_mb, max_sockets) in [(160, 3_900), (260, 3_900), (512, 7_992)] {
        // The pages permit bodies of 256 KB; up to a sixteenth of the memory changes nothing.
        for body_bytes in [256 << 10, (memory_mb as usize) << 16] {
            let limits = ClientLimits {
                head_bytes: 16 << 10,
                body_bytes: body_bytes - (16 << 10),
                head_timeout: Duration::from_secs(3),
                idle_timeout: Duration::from_secs(15),
            };
            let bounds = memory_bounds(memory_mb, max_sockets, &limits);
            let sum: usize = bounds.iter().map(|it| it.1).sum();
            assert!(
                sum < (memory_mb as usize) << 20,
                "{} of {memory_mb} MB: {bounds:?}",
                sum >> 20
            );
        }
    }
}
