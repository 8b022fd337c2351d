//! Damaged and arbitrary input from other processes, which must cause neither a panic nor an
//! unbounded allocation.

use std::time::Duration;

use bincode::error::DecodeError;
use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_coordination::{
    feed::FeedPosition,
    source::{Member, Source, SourceSelector, Start},
};
use rosemarybank_daemon::platform::{
    config_text::{ConfigText, decompress},
    feed_codec::{self, FeedRequest, FeedResponse},
    poller::{Poller, Resource},
};
use rosemarybank_query::forward::{
    CrashSign, Event, Forwarder, ReplicaInfo, ReplicaState, RetryBudget, Settings, Submission,
    directory::{Change, Directory, ListUpdate},
};

fn replica() -> ReplicaInfo {
    ReplicaInfo {
        id: "r1".into(),
        service: "orders".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        slots: 2,
        state: ReplicaState::Ready,
        cold: Duration::from_millis(3),
        born_ms: 7,
    }
}

fn feed_response() -> FeedResponse {
    let changes = vec![Change::Present(replica()), Change::Absent("r2".into())];
    FeedResponse {
        position: FeedPosition { epoch: 1, change_seq: 2, ..FeedPosition::default() },
        age: Some(Duration::from_millis(3)),
        replicas: ListUpdate::Changes(changes),
        config: Some(b"{}".to_vec()),
        quarantined: vec![(5, Duration::from_secs(6))],
        crash_signs: vec![crash_sign(Duration::from_secs(1)), crash_sign(Duration::from_secs(2))],
        members_age: Some(Duration::from_secs(1)),
        members: Some(vec![member("m"), member("n")]),
    }
}

fn crash_sign(ago: Duration) -> CrashSign {
    CrashSign { fingerprint: 8, lifetime: ago.as_secs(), sent_ago: ago, broken_ago: ago }
}

fn member(id: &str) -> Member {
    Member {
        id: id.into(),
        addr: "10.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        millicores: 250,
    }
}

fn forwarder() -> Forwarder {
    let budget = RetryBudget { ratio: 0.2, allowance: 10.0, window: Duration::from_secs(10) };
    Forwarder::new(Settings { data_centre: "a".into(), region: Vec::new(), budget, seed: 1 })
}

/// Processes a feed response as an instance does.
fn apply(feed: FeedResponse) {
    let (now, mut out) = (Duration::from_secs(60), Vec::new());
    let mut directory = Directory::new(Duration::from_millis(1_500));
    directory.apply_update(now, feed.age, feed.replicas);
    directory.tick(now);
    let mut forwarder = forwarder();
    for sign in feed.crash_signs {
        forwarder.handle(now, Event::PeerCrash(sign), &mut out);
    }
    assert!(forwarder.crash_signs(now).all(|it| it.broken_ago <= now));
    for (fingerprint, left) in feed.quarantined {
        forwarder.handle(now, Event::PeerQuarantined(fingerprint, left), &mut out);
        let submission = Submission {
            host: "h".into(),
            path: "/".into(),
            client_timeout: Some(Duration::MAX),
            fingerprint,
        };
        // Without a configuration each request is refused, whatever the response contained.
        assert!(forwarder.submit(now, &submission, &mut out).is_err());
    }
    forwarder.handle(now, Event::Replicas(directory.usable_replicas()), &mut out);
    let (max_age, mut poller) = (Duration::from_millis(1_500), poller(Resource::Instances));
    let mut selector = SourceSelector::new("m".into(), "a".into(), max_age, Start::First);
    let requested_at = now.saturating_sub(feed.members_age.unwrap_or_default());
    selector.set_members(requested_at, feed.members.unwrap_or_default());
    poller.instances_received(now, requested_at, selector.members());
    assert!(selector.member_count() > 0);
    let source = selector.source(now);
    assert!(!matches!(source, Source::Peer(it) if it.id == "m"));
}

fn poller(resource: Resource) -> Poller {
    Poller::new(resource, member("m"), Start::First)
}

/// A length prefix of 2^60 bytes. Without a limit, decoding would allocate them.
#[test]
fn a_length_prefix_beyond_the_limit_is_rejected() {
    let mut prefix = vec![253];
    prefix.extend((1_u64 << 60).to_le_bytes());
    assert!(feed_codec::decode::<String>(&prefix).is_err());
    assert!(feed_codec::decode::<Vec<u8>>(&prefix).is_err());
    // The lengths of the list of replicas, of the configuration, of the crashes and of the list of
    // instances.
    let (position, variant) = (FeedPosition::default(), 0_u32);
    let no_replicas = ListUpdate::Changes(Vec::new());
    let (age, no_config) = (None::<Duration>, None::<Vec<u8>>);
    let quarantined = Vec::<feed_codec::Quarantined>::new();
    let no_crashes = Vec::<CrashSign>::new();
    let heads = [
        feed_codec::encode(&(position, age, variant)),
        feed_codec::encode(&(position, age, &no_replicas, 1_u8)),
        feed_codec::encode(&(position, age, &no_replicas, &no_config, &quarantined)),
        feed_codec::encode(&(
            position,
            age,
            &no_replicas,
            no_config,
            quarantined,
            no_crashes,
            age,
            1_u8,
        )),
    ];
    for head in heads {
        let bytes = [&head.unwrap()[..], &prefix].concat();
        let err = feed_codec::decode::<FeedResponse>(&bytes).unwrap_err();
        let is_length_error =
            matches!(err, DecodeError::LimitExceeded | DecodeError::UnexpectedEnd { .. });
        assert!(is_length_error, "{err}");
    }
}

/// Guards against an overflow when a received duration is added to the current time.
#[test]
fn maximum_durations_are_accepted() {
    let feed = FeedResponse {
        age: Some(Duration::ZERO),
        quarantined: vec![(5, Duration::MAX)],
        crash_signs: vec![
            crash_sign(Duration::MAX),
            CrashSign { broken_ago: Duration::ZERO, ..crash_sign(Duration::MAX) },
        ],
        replicas: ListUpdate::All(vec![ReplicaInfo { cold: Duration::MAX, ..replica() }]),
        ..feed_response()
    };
    apply(feed_codec::decode(&feed_codec::encode(&feed).unwrap()).unwrap());
}

/// A short message must not expand to more memory than the limit of a configuration allows.
#[test]
fn a_compressed_configuration_is_bounded() {
    let mut text = ConfigText::plain(vec![b' '; 64 << 20]);
    let compressed = text.compressed().unwrap();
    assert!(compressed.len() < 1 << 20);
    assert!(decompress(compressed, 8 << 20).is_err());
    assert!(decompress(&compressed[..compressed.len() / 2], 64 << 20).is_err());
    assert!(decompress(b"no compressed text", 64 << 20).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_messages_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = feed_codec::decode::<FeedRequest>(&bytes);
        if let Ok(feed) = feed_codec::decode::<FeedResponse>(&bytes) {
            apply(feed);
        }
    }

    #[test]
    fn damaged_messages_do_not_panic(
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let mut bytes = feed_codec::encode(&feed_response()).unwrap();
        for (index, byte) in damage {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        if let Ok(feed) = feed_codec::decode::<FeedResponse>(&bytes) {
            apply(feed);
        }
    }

    /// Feeds each poller replies with any status and with valid or damaged bodies.
    #[test]
    fn arbitrary_store_replies_do_not_stop_polling(
        replies in prop::collection::vec((0_u16..600, 0_usize..5, any::<u64>(), any::<u16>()), 1..12),
    ) {
        for resource in [Resource::Config, Resource::Replicas, Resource::Instances] {
            let (mut poller, mut now) = (poller(resource), Duration::ZERO);
            for (status, shape, number, damage) in &replies {
                now += Duration::from_secs(20);
                prop_assert!(poller.next_call(now).is_some(), "polling must continue after any reply");
                let item = format!(r#"{{"meta":{{"name":"main","revision":{number}}},"spec":{number}}}"#);
                let mut body = match shape {
                    0 => String::new(),
                    1 => "[".repeat(usize::from(*damage) % 400),
                    2 => format!(r#"{{"items":[{item}],"has_more":true,"at":{number}}}"#),
                    3 => format!(r#"{{"events":[{{"object":{item},"deleted":false}}],"at":{number}}}"#),
                    _ => format!(r#"{{"items":[],"at":-{number}}}"#),
                }
                .into_bytes();
                let len = body.len();
                if len > 0 && damage % 3 == 0 {
                    body[usize::from(*damage) % len] ^= 0x10;
                }
                poller.handle_reply(now, *status, &body);
            }
        }
    }
}
