//! Header names of the tests.

use rosemarybank_http1::HeaderNames;

/// Short names in place of those of the platform.
pub const NAMES: HeaderNames = HeaderNames {
    request_id: "x-id",
    deadline_ms: "x-deadline",
    stamp: "x-stamp",
    expect_replica: "x-expect",
    not_executed: "x-not-run",
    leaving: "x-leaving",
    part_stamps: "x-parts",
    missing_parts: "x-missing",
};
