//! Metrics and their names, without the prefix `rosemarybank_`.

/// Defines an enum of metrics together with their names, so that every metric has one.
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
            /// All metrics of this type.
            #[cfg(test)]
            pub(super) const ALL: &[$kind] = &[$($kind::$metric),+];

            /// Returns the name of the metric.
            pub(super) fn name(self) -> &'static str {
                match self {
                    $($kind::$metric => $name,)+
                }
            }
        }
    };
}

metrics! {
    /// Metrics that count events.
    pub enum Counter {
        /// Requests refused because a ring buffer between threads was full.
        RingFull = "ring_full_total",
        /// Connections accepted at the callers' port.
        Connections = "connections_total",
        /// Connections closed because their caller sent nothing or too slowly.
        SilentConnections = "silent_connections_total",
        /// Calls to the platform.
        PlatformCalls = "platform_calls_total",
        /// Failed calls to the platform.
        PlatformFailures = "platform_failures_total",
        /// Messages sent to peers.
        PeerMessages = "peer_messages_total",
        /// Messages to peers that got no reply.
        PeerFailures = "peer_failures_total",
        /// Bytes exchanged with peers.
        PeerBytes = "control_bytes_total",
        /// Bytes exchanged with the platform.
        PlatformBytes = "control_bytes_total",
        /// Bytes of the status polls sent to replicas.
        PollBytes = "control_bytes_total",
        /// Bundles rejected by this instance.
        BundlesRefused = "bundles_refused_total",
        /// Claims deleted because of their age.
        ClaimsDeleted = "claims_deleted_total",
        /// Paths under the prefix of claims that do not name a claim.
        ClaimsUnreadable = "claims_unreadable_total",
        /// Attempts sent to replicas: first attempts, retries and hedges of searches, and actions.
        Attempts = "attempts_total",
        /// Hedges of searches.
        Hedges = "hedges_total",
        /// Retries of searches.
        Retries = "retries_total",
        /// Attempts that upstreams refused because of load.
        Sheds = "sheds_total",
        /// Searches that this instance refused because of load or an unreachable deadline.
        QueriesShed = "queries_shed_total",
        /// Searches repeated on another snapshot.
        Reruns = "reruns_total",
        /// Connections that broke while a search was in flight on them.
        CrashSigns = "crash_signs_total",
        /// Fingerprints that this instance quarantined.
        Condemned = "condemned_total",
        /// Replies that were rejected or arrived too late.
        UselessReplies = "useless_replies_total",
        /// Telemetry records dropped because a ring buffer was full.
        RecordsDropped = "records_dropped_total",
    }
}

impl Counter {
    /// Returns the label that distinguishes counters with the same name.
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
    /// Metrics that report a current value.
    pub enum Gauge {
        /// Active configuration version; 0 before the first.
        Version = "version",
        /// Live instances, including this one.
        FleetSize = "fleet_size",
        /// Searches in flight in the engine.
        QueriesInFlight = "queries_in_flight",
        /// Attempts in flight in the engine.
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
    /// Metrics of requests and their spans.
    pub(super) enum RequestMetric {
        /// Completed requests.
        Requests = "requests_total",
        /// Time from the arrival of a request's head to its response.
        RequestDuration = "request_duration_us",
        /// Duration of a span.
        HopDuration = "hop_duration_us",
    }
}
