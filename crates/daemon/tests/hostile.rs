//! Bytes of other processes that are damaged or made up: no panic, no memory beyond the bound.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_coordination::source::Member;
use rosemarybank_daemon::platform::{
    frames::{self, Feed, Pull},
    lanes::{Lane, Subject},
};
use rosemarybank_query::forward::{
    Event, Forwarder, ReplicaInfo, ReplicaState, RetryBudget, Settings, Submission,
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

fn feed() -> Feed {
    let changes = vec![Change::Present(replica()), Change::Absent("r2".into())];
    Feed {
        epoch: 1,
        seq: 2,
        age: Some(Duration::from_millis(3)),
        replicas: ListUpdate::Changes(changes),
        config: Some(b"{}".to_vec()),
        quarantine_seq: 4,
        quarantined: vec![(5, Duration::from_secs(6))],
    }
}

fn forwarder() -> Forwarder {
    let budget = RetryBudget { ratio: 0.2, allowance: 10.0, window: Duration::from_secs(10) };
    Forwarder::new(Settings { data_centre: "a".into(), region: Vec::new(), budget, seed: 1 })
}

/// Uses a frame as an instance does.
fn take(feed: Feed) {
    let (now, mut out) = (Duration::from_secs(60), Vec::new());
    let mut directory = Directory::default();
    directory.apply_update(now, feed.age, feed.replicas);
    directory.tick(now);
    let mut forwarder = forwarder();
    for (fingerprint, left) in feed.quarantined {
        forwarder.handle(now, Event::PeerQuarantined(fingerprint, left), &mut out);
        let submission = Submission {
            host: "h".into(),
            path: "/".into(),
            client_timeout: Some(Duration::MAX),
            fingerprint,
        };
        // Without a configuration each request is refused, whatever the frame said.
        assert!(forwarder.submit(now, &submission, &mut out).is_err());
    }
    forwarder.handle(now, Event::Replicas(directory.usable_replicas()), &mut out);
}

fn lane(subject: Subject) -> Lane {
    let own = Member {
        id: "m".into(),
        addr: "10.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        millicores: 250,
    };
    Lane::new(subject, own)
}

/// A frame that states a length of 2^60 bytes for a name. Without a limit, decoding claims them.
#[test]
fn a_length_that_no_frame_has_is_refused() {
    let mut bytes = vec![1, 2, 0, 0, 1, 0];
    bytes.push(253);
    bytes.extend((1_u64 << 60).to_le_bytes());
    assert!(frames::decode::<Feed>(&bytes).is_err());
    assert!(frames::decode::<String>(&bytes[6..]).is_err());
    assert!(frames::decode::<Vec<u8>>(&bytes[6..]).is_err());
}

/// Guards against times whose sum with the present one has no value.
#[test]
fn the_longest_times_are_taken() {
    let feed = Feed {
        age: Some(Duration::ZERO),
        quarantined: vec![(5, Duration::MAX)],
        replicas: ListUpdate::All(vec![ReplicaInfo { cold: Duration::MAX, ..replica() }]),
        ..feed()
    };
    take(frames::decode(&frames::encode(&feed).unwrap()).unwrap());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn made_up_frames_are_refused_or_taken(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = frames::decode::<Pull>(&bytes);
        if let Ok(feed) = frames::decode::<Feed>(&bytes) {
            take(feed);
        }
    }

    #[test]
    fn damaged_frames_are_refused_or_taken(
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let mut bytes = frames::encode(&feed()).unwrap();
        for (index, byte) in damage {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        if let Ok(feed) = frames::decode::<Feed>(&bytes) {
            take(feed);
        }
    }

    /// Replies of the store with any status, whole or damaged, to each call of each lane.
    #[test]
    fn replies_of_the_store_are_taken_or_noted(
        replies in prop::collection::vec((0_u16..600, 0_usize..5, any::<u64>(), any::<u16>()), 1..12),
    ) {
        for subject in [Subject::Config, Subject::Replicas, Subject::Instances] {
            let (mut lane, mut now) = (lane(subject), Duration::ZERO);
            for (status, shape, number, damage) in &replies {
                now += Duration::from_secs(20);
                prop_assert!(lane.next_call(now).is_some(), "a lane that stops asking learns nothing");
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
                lane.replied(now, *status, &body);
            }
        }
    }
}
