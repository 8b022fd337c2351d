//! Routes with odd values, as an operator may write them by mistake.

mod forward_harness;

use std::time::Duration;

use forward_harness::{Harness, ms, plain_route, replica, reply};
use proptest::prelude::*;
use rosemarybank_query::forward::{Route, Target};

fn target() -> impl Strategy<Value = Target> {
    let service = || prop_oneof![Just("s1"), Just("s2"), Just("unknown")];
    let share =
        prop_oneof![Just(0.0_f32), Just(-1.0), Just(0.5), Just(1.0), Just(7.0), Just(f32::MAX)];
    let weight = prop_oneof![Just(0.0_f32), Just(-1.0), Just(1.0), Just(f32::MAX)];
    let top_k = prop_oneof![Just(0_usize), Just(3), Just(usize::MAX)];
    prop_oneof![
        (prop::collection::vec(service(), 0..4), top_k, share).prop_map(
            |(shards, top_k, min_share)| {
                Target::Gather {
                    shards: shards.into_iter().map(Into::into).collect(),
                    top_k,
                    min_share,
                }
            }
        ),
        prop::collection::vec((service(), weight), 0..3).prop_map(|parts| {
            Target::Split(parts.into_iter().map(|(name, weight)| (name.into(), weight)).collect())
        }),
    ]
}

fn time() -> impl Strategy<Value = Duration> {
    prop_oneof![Just(0), Just(1), Just(100), Just(1_000), Just(u64::MAX)]
        .prop_map(Duration::from_millis)
}

fn route() -> impl Strategy<Value = Route> {
    let attempts = prop_oneof![Just(0_u32), Just(1), Just(2), Just(u32::MAX)];
    let rank = prop_oneof![Just(0_u32), Just(1), Just(u32::MAX)];
    (target(), time(), time(), attempts, rank, any::<bool>()).prop_map(
        |(target, timeout, latency_objective, max_attempts, rank, is_idempotent)| Route {
            is_idempotent,
            timeout,
            latency_objective,
            max_attempts,
            rank,
            target,
            ..plain_route("p", "s1")
        },
    )
}

proptest! {
    /// Guards against a route whose requests end the process, or get no answer: each request gets one by the
    /// timeout of its client.
    #[test]
    fn requests_on_odd_routes_are_answered(route in route(), replies in any::<bool>()) {
        let replicas = vec![replica("r1", "s1", "a"), replica("r2", "s2", "b")];
        let mut harness = Harness::new(vec![route], replicas);
        for _ in 0..5 {
            harness.answers.clear();
            let sent = harness.sent.len();
            if harness.try_submit("p").is_err() {
                continue;
            }
            if replies {
                for index in sent..harness.sent.len() {
                    harness.reply_to(index, reply(200, "stamp", &[1; 16]));
                }
            }
            harness.advance(ms(1_000));
            prop_assert_eq!(harness.answers.len(), 1);
        }
    }
}
