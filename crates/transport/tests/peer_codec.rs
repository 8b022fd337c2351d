//! Property tests of the peer encoding.

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_protocol::{
    peer::{
        ConfigDelta, ConfigUpdate, Heartbeat, LineEdit, MAX_PEER_MESSAGE_LEN,
        PEER_PROTOCOL_VERSION, PeerEnvelope, PeerMessage,
    },
    platform::{QuarantineEntry, SignedBundle},
};
use rosemarybank_transport::peer::{
    PeerError,
    codec::{decode, encode},
};

fn config() -> ProptestConfig {
    ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

fn heartbeat() -> impl Strategy<Value = PeerMessage> {
    let addr = any::<(u32, u16)>().prop_map(|(ip, port)| (std::net::Ipv4Addr::from(ip), port));
    (any::<u64>(), "[a-z0-9]{0,12}", addr, any::<Option<u64>>(), any::<(u64, bool, bool)>())
        .prop_map(|(incarnation, data_centre, addr, version, (digest, ready, leaving))| {
            PeerMessage::Heartbeat(Heartbeat {
                incarnation,
                data_centre: data_centre.into(),
                addr: addr.into(),
                version,
                quarantine_digest: digest,
                ready,
                leaving,
            })
        })
}

fn update() -> impl Strategy<Value = ConfigUpdate> {
    let whole = (any::<u64>(), ".{0,300}").prop_map(|(version, bundle)| {
        let signature = "AA==".into();
        ConfigUpdate::Whole(SignedBundle { version, signer: "ops".into(), bundle, signature })
    });
    let edit = (any::<u32>(), any::<u32>(), prop::collection::vec(".{0,20}", 0..4))
        .prop_map(|(start, removed, inserted)| LineEdit { start, removed, inserted });
    let delta = (any::<(u64, u64)>(), prop::collection::vec(edit, 0..5)).prop_map(|(it, edits)| {
        let (signer, signature) = ("ops".into(), "AA==".into());
        ConfigUpdate::Delta(ConfigDelta { base: it.0, version: it.1, signer, signature, edits })
    });
    prop_oneof![Just(ConfigUpdate::Current), whole, delta]
}

fn quarantine() -> impl Strategy<Value = PeerMessage> {
    let entry = any::<(u64, u32, u64, bool)>().prop_map(|(fingerprint, crashes, end, released)| {
        QuarantineEntry {
            service: "order-desk".into(),
            fingerprint,
            crashes,
            expires_unix_ms: end,
            released,
        }
    });
    prop::collection::vec(entry, 0..6).prop_map(PeerMessage::QuarantinePush)
}

fn envelope() -> impl Strategy<Value = PeerEnvelope> {
    let message = prop_oneof![
        heartbeat(),
        any::<Option<u64>>().prop_map(|have| PeerMessage::ConfigFetch { have }),
        update().prop_map(PeerMessage::ConfigPush),
        quarantine(),
        Just(PeerMessage::Ack),
    ];
    ("[a-z0-9-]{0,30}", message).prop_map(|(from, message)| PeerEnvelope {
        protocol: PEER_PROTOCOL_VERSION,
        from: from.into(),
        message,
    })
}

proptest! {
    #![proptest_config(config())]

    /// Guards against messages that change on their way.
    #[test]
    fn messages_survive_the_encoding(envelope in envelope()) {
        prop_assert_eq!(decode(&encode(&envelope).unwrap()).unwrap(), envelope);
    }

    /// Guards against a message that is taken although its end is missing, or although other
    /// bytes follow it.
    #[test]
    fn truncated_and_lengthened_messages_are_refused(
        envelope in envelope(),
        cut in any::<prop::sample::Index>(),
        more in prop::collection::vec(any::<u8>(), 1..20),
    ) {
        let bytes = encode(&envelope).unwrap();
        prop_assert!(decode(&bytes[..cut.index(bytes.len())]).is_err());
        let lengthened = [&bytes[..], &more[..]].concat();
        prop_assert!(decode(&lengthened).is_err());
    }

    /// Guards against panics on bytes that are no message or a damaged one.
    #[test]
    fn arbitrary_and_damaged_bytes_do_not_panic(
        arbitrary in prop::collection::vec(any::<u8>(), 0..400),
        envelope in envelope(),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let _ = decode(&arbitrary);
        let with_version = [&[PEER_PROTOCOL_VERSION as u8], &arbitrary[..]].concat();
        let _ = decode(&with_version);
        let mut damaged = encode(&envelope).unwrap().to_vec();
        for (at, byte) in damage {
            let at = at.index(damaged.len());
            damaged[at] = byte;
        }
        let _ = decode(&damaged);
    }

    /// Guards against a message of another protocol version that is read as one of ours.
    #[test]
    fn other_protocol_versions_are_refused(envelope in envelope(), protocol in any::<u16>()) {
        prop_assume!(protocol != PEER_PROTOCOL_VERSION);
        let bytes = encode(&PeerEnvelope { protocol, ..envelope }).unwrap();
        prop_assert_eq!(decode(&bytes), Err(PeerError::VersionMismatch));
    }
}

/// Guards against an encoder or decoder that lets messages beyond the limit pass.
#[test]
fn the_limit_holds_on_both_sides() {
    let with_bundle = |len| PeerEnvelope {
        protocol: PEER_PROTOCOL_VERSION,
        from: "e1".into(),
        message: PeerMessage::ConfigPush(ConfigUpdate::Whole(SignedBundle {
            version: 1,
            signer: "ops".into(),
            bundle: "x".repeat(len),
            signature: "AA==".into(),
        })),
    };
    let largest = with_bundle(1 << 20);
    assert_eq!(decode(&encode(&largest).unwrap()), Ok(largest));
    assert_eq!(encode(&with_bundle(MAX_PEER_MESSAGE_LEN)), Err(PeerError::TooLarge));
    assert_eq!(decode(&vec![1; MAX_PEER_MESSAGE_LEN + 1]), Err(PeerError::TooLarge));
}
