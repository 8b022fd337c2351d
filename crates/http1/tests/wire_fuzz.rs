//! Arbitrary bytes and mutated messages, in segments of any size. `PROPTEST_CASES` and `PROPTEST_RNG_SEED`
//! set the length and the seed of a longer run.

mod common;

use std::time::Duration;

use common::NAMES;
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use rosemarybank_http1::{
    BodyReader, Framing, MessageError, Progress, RequestHead, ResponseHead,
    response::MAX_RETRY_AFTER,
};

const MAX_HEAD_LEN: usize = 400;

const MAX_BODY_LEN: usize = 300;

const REQUESTS: [&str; 3] = [
    "GET /a/b?q=1 HTTP/1.1\r\nHost: H.example:80\r\nX-Id: 7\r\nX-Deadline: 900\r\n\r\n",
    "POST /order HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\nexpect: 100-continue\r\n\r\n",
    "HEAD / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\n\r\n",
];

const RESPONSES: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Stamp: s\r\nContent-Length: 3\r\nKeep-Alive: timeout=4\r\n\r\n",
    "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nRetry-After: 2.5\r\nX-Leaving: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
];

const BODIES: [&str; 2] =
    ["5\r\nhello\r\n3;a=b\r\nyou\r\n0\r\n\r\n", "1\r\nx\r\n0\r\nt: 1\r\nu: 2\r\n\r\n"];

/// Replaces, inserts or removes bytes, or repeats a part.
#[derive(Clone, Debug)]
enum Edit {
    Replace(Index, u8),
    Insert(Index, Vec<u8>),
    Remove(Index, u8),
    Repeat(Index, u8),
}

fn edit() -> impl Strategy<Value = Edit> {
    let syntax = prop::sample::select(b"\r\n:;, 0123456789afF-\t\0\xff".to_vec());
    prop_oneof![
        (any::<Index>(), syntax.clone()).prop_map(|(at, byte)| Edit::Replace(at, byte)),
        (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| Edit::Replace(at, byte)),
        (any::<Index>(), prop::collection::vec(syntax, 1..6))
            .prop_map(|(at, bytes)| Edit::Insert(at, bytes)),
        (any::<Index>(), 1_u8..9).prop_map(|(at, len)| Edit::Remove(at, len)),
        (any::<Index>(), 1_u8..40).prop_map(|(at, len)| Edit::Repeat(at, len)),
    ]
}

fn mutated(messages: &'static [&str]) -> impl Strategy<Value = Vec<u8>> {
    let edits = prop::collection::vec(edit(), 0..6);
    (prop::sample::select(messages), edits).prop_map(|(message, edits)| {
        let mut bytes = message.as_bytes().to_vec();
        for edit in edits {
            if bytes.is_empty() {
                break;
            }
            match edit {
                Edit::Replace(at, byte) => *at.get_mut(&mut bytes) = byte,
                Edit::Insert(at, new) => {
                    let at = at.index(bytes.len());
                    bytes.splice(at..at, new);
                }
                Edit::Remove(at, len) => {
                    let at = at.index(bytes.len());
                    bytes.drain(at..bytes.len().min(at + usize::from(len)));
                }
                Edit::Repeat(at, len) => {
                    let at = at.index(bytes.len());
                    let part = bytes[at..bytes.len().min(at + usize::from(len))].to_vec();
                    bytes.splice(at..at, part.repeat(5));
                }
            }
        }
        bytes
    })
}

fn any_bytes(messages: &'static [&str]) -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        4 => mutated(messages),
        1 => prop::collection::vec(any::<u8>(), 0..MAX_HEAD_LEN * 2),
    ]
}

/// Lengths of segments of any size.
fn segments() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(1_usize..40, 1..30)
}

/// Calls `parse` with each prefix that arrives in segments, and returns the first result other than
/// incomplete.
fn in_segments<T>(
    bytes: &[u8],
    segments: &[usize],
    parse: impl Fn(&[u8]) -> Result<Option<T>, MessageError>,
) -> Result<Option<T>, MessageError> {
    let mut end = 0;
    for len in segments.iter().cycle() {
        end = bytes.len().min(end + len);
        match parse(&bytes[..end]) {
            Ok(None) if end < bytes.len() => {}
            result => return result,
        }
    }
    Ok(None)
}

/// Reads a body in segments. Returns its content and the number of bytes that belong to it, or `None` if it
/// is incomplete.
fn read_body(
    bytes: &[u8],
    segments: &[usize],
    framing: Framing,
) -> Result<Option<(Vec<u8>, usize)>, MessageError> {
    let mut reader = BodyReader::new(framing, MAX_BODY_LEN);
    let (mut start, mut lens) = (0, segments.iter().cycle());
    loop {
        let end = bytes.len().min(start + lens.next().unwrap());
        match reader.read(&bytes[start..end])? {
            Progress::Complete(len) => return Ok(Some((reader.into_bytes(), start + len))),
            Progress::NeedsMore if end == bytes.len() => return Ok(None),
            Progress::NeedsMore => start = end,
        }
    }
}

fn config() -> ProptestConfig {
    let config = ProptestConfig::default();
    match std::env::var_os("PROPTEST_RNG_SEED") {
        Some(_) => config,
        None => ProptestConfig { rng_seed: RngSeed::Fixed(1), ..config },
    }
}

proptest! {
    #![proptest_config(config())]

    /// A request head that is complete is the same in whatever segments it arrives, and is not taken for
    /// complete before.
    #[test]
    fn request_heads_do_not_depend_on_segments(bytes in any_bytes(&REQUESTS), segments in segments()) {
        let parse = |it: &[u8]| RequestHead::parse(it, MAX_HEAD_LEN, &NAMES);
        let whole = parse(&bytes);
        let parts = in_segments(&bytes, &segments, parse);
        match (whole, parts) {
            (Ok(Some((head, len))), Ok(Some((other, other_len)))) => {
                prop_assert_eq!(len, other_len);
                prop_assert!(len <= bytes.len() && len <= MAX_HEAD_LEN);
                let render = |head: &RequestHead| {
                    let mut out = Vec::new();
                    head.render(&mut out, &NAMES, "r", Duration::from_millis(5), 0);
                    out
                };
                let out = render(&head);
                prop_assert_eq!(&out, &render(&other));
                // What is passed on is one request again, with the same method and target.
                let (again, _) = parse_long(&out).expect("a rendered head").expect("a whole head");
                prop_assert_eq!((again.path, again.host), (head.path, head.host));
            }
            (Ok(None), Ok(None)) => {}
            (Ok(Some(_)), other) => prop_assert!(false, "whole but {:?}", other.map(|_| ())),
            (Err(_), Ok(Some((_, len)))) => prop_assert!(len <= bytes.len(), "whole before the error"),
            (Err(_), _) | (Ok(None), Err(_)) => {}
            (Ok(None), Ok(Some(_))) => prop_assert!(false, "complete in segments only"),
        }
    }

    /// The same for response heads; stated times are bounded.
    #[test]
    fn response_heads_do_not_depend_on_segments(
        bytes in any_bytes(&RESPONSES),
        segments in segments(),
    ) {
        let parse = |it: &[u8]| ResponseHead::parse(it, &NAMES);
        if let Ok(Some((head, len))) = parse(&bytes) {
            let (other, other_len) = in_segments(&bytes, &segments, parse)
                .expect("no error")
                .expect("a whole head");
            prop_assert_eq!(len, other_len);
            prop_assert_eq!(head.forwarded_fields, other.forwarded_fields);
            prop_assert_eq!((head.framing, head.status), (other.framing, other.status));
            prop_assert!(head.retry_after.is_none_or(|it| it <= MAX_RETRY_AFTER && !it.is_zero()));
        }
    }

    /// A body has the same content and the same end in whatever segments it arrives.
    #[test]
    fn bodies_do_not_depend_on_segments(
        bytes in any_bytes(&BODIES),
        segments in segments(),
        framing in prop_oneof![Just(Framing::Chunked), (0_u64..40).prop_map(Framing::Length)],
    ) {
        let whole = read_body(&bytes, &[usize::MAX >> 1], framing);
        let parts = read_body(&bytes, &segments, framing);
        prop_assert_eq!(&whole, &parts);
        if let Ok(Some((content, len))) = whole {
            prop_assert!(content.len() <= MAX_BODY_LEN && len <= bytes.len());
        }
    }
}

fn parse_long(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, MessageError> {
    RequestHead::parse(bytes, MAX_HEAD_LEN * 4, &NAMES)
}
