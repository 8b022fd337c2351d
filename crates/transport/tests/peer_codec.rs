//! Property tests of the encoding of peer messages.

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

    /// Guards against messages that change when they are encoded and decoded.
    #[test]
    fn messages_round_trip(envelope in envelope()) {
        prop_assert_eq!(decode(&encode(&envelope).unwrap()).unwrap(), envelope);
    }

    /// Guards against accepting a truncated message or a message followed by other bytes.
    #[test]
    fn truncated_and_extended_messages_are_refused(
        envelope in envelope(),
        cut in any::<prop::sample::Index>(),
        extra in prop::collection::vec(any::<u8>(), 1..20),
    ) {
        let bytes = encode(&envelope).unwrap();
        prop_assert!(decode(&bytes[..cut.index(bytes.len())]).is_err());
        let extended = [&bytes[..], &extra[..]].concat();
        prop_assert!(decode(&extended).is_err());
    }

    /// Guards against panics on arbitrary bytes and corrupted messages.
    #[test]
    fn arbitrary_and_corrupted_bytes_do_not_panic(
        arbitrary in prop::collection::vec(any::<u8>(), 0..400),
        envelope in envelope(),
        corruption in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let _ = decode(&arbitrary);
        let with_version = [&[PEER_PROTOCOL_VERSION as u8], &arbitrary[..]].concat();
        let _ = decode(&with_version);
        let mut corrupted = encode(&envelope).unwrap().to_vec();
        for (at, byte) in corruption {
            let at = at.index(corrupted.len());
            corrupted[at] = byte;
        }
        let _ = decode(&corrupted);
    }

    /// Guards against decoding a message of another protocol version.
    #[test]
    fn other_protocol_versions_are_refused(envelope in envelope(), protocol in any::<u16>()) {
        prop_assume!(protocol != PEER_PROTOCOL_VERSION);
        let bytes = encode(&PeerEnvelope { protocol, ..envelope }).unwrap();
        prop_assert_eq!(decode(&bytes), Err(PeerError::VersionMismatch));
    }
}

/// Guards against encoding or decoding messages beyond the size limit.
#[test]
fn the_size_limit_applies_to_encoding_and_decoding() {
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
