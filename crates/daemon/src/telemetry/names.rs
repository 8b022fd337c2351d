//! The metrics and their names, without the prefix `rosemarybank_`.

/// Defines an enum of metrics together with their names, so that no metric lacks one.
macro_rules! metrics {
    (
        $(#[$about:meta])*
        $visibility:vis enum $kind:ident {
            $($(#[$doc:meta])* $metric:ident = $name:literal,)+
        }
    ) => {
        $(#[$about])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        $visibility enum $kind {
            $($(#[$doc])* $metric,)+
        }

        impl $kind {
            /// All metrics of this kind.
            #[cfg(test)]
            pub(super) const ALL: &[$kind] = &[$($kind::$metric),+];

            /// Name of the metric.
            pub(super) fn name(self) -> &'static str {
                match self {
                    $($kind::$metric => $name,)+
                }
            }
        }
    };
}

metrics! {
    /// Events that are counted.
    pub enum Counter {
        /// Requests refused because a ring was full.
        RingFull = "ring_full_total",
        /// Connections accepted at the callers' port.
        Connections = "connections_total",
        /// Connections closed because they were silent or too slow.
        SilentConnections = "silent_connections_total",
        /// Calls of the platform.
        PlatformCalls = "platform_calls_total",
        /// Failed calls of the platform.
        PlatformFailures = "platform_failures_total",
        /// Messages sent to peers.
        PeerMessages = "peer_messages_total",
        /// Messages to peers that got no answer.
        PeerFailures = "peer_failures_total",
        /// Bytes exchanged with peers.
        PeerBytes = "control_bytes_total",
        /// Bytes exchanged with the platform.
        PlatformBytes = "control_bytes_total",
        /// Bytes of the status polls of replicas.
        PollBytes = "control_bytes_total",
        /// Bundles that were refused.
        BundlesRefused = "bundles_refused_total",
        /// Claims that were deleted because of their age.
        ClaimsDeleted = "claims_deleted_total",
        /// Paths among the claims that name no claim.
        ClaimsUnreadable = "claims_unreadable_total",
        /// Searches sent first, again and as hedges, and actions.
        Attempts = "attempts_total",
        /// Hedges of searches.
        Hedges = "hedges_total",
        /// Retries of searches.
        Retries = "retries_total",
        /// Refusals by upstreams because of load.
        Sheds = "sheds_total",
        /// Searches refused by this instance because of load or time.
        QueriesShed = "queries_shed_total",
        /// Searches run again on another snapshot.
        Reruns = "reruns_total",
        /// Connections that broke under a search.
        CrashSigns = "crash_signs_total",
        /// Fingerprints that this instance condemned.
        Condemned = "condemned_total",
        /// Replies rejected or late.
        UselessReplies = "useless_replies_total",
        /// Records that were dropped because the telemetry ring was full.
        RecordsDropped = "records_dropped_total",
    }
}

impl Counter {
    /// Label that tells apart the counters that share a name.
    pub(super) fn label(self) -> Option<(&'static str, &'static str)> {
        match self {
            Counter::PeerBytes => Some(("kind", "peer")),
            Counter::PlatformBytes => Some(("kind", "platform")),
            Counter::PollBytes => Some(("kind", "poll")),
            _ => None,
        }
    }
}

metrics! {
    /// Levels that are shown.
    pub enum Gauge {
        /// Version in force; 0 before the first.
        Version = "version",
        /// Live instances.
        FleetSize = "fleet_size",
        /// Queries in the engine.
        QueriesInFlight = "queries_in_flight",
        /// Attempts in the engine.
        AttemptsInFlight = "attempts_in_flight",
        /// Actions in progress.
        ActionsInFlight = "actions_in_flight",
        /// Quarantined fingerprints.
        Quarantined = "quarantined",
        /// Replicas in the platform's list.
        Replicas = "replicas",
    }
}

metrics! {
    /// Metrics of requests and their hops.
    pub(super) enum RequestMetric {
        /// Answered requests.
        Requests = "requests_total",
        /// Time from the head of a request to its answer.
        RequestDuration = "request_duration_us",
        /// Time in a hop.
        HopDuration = "hop_duration_us",
    }
}
