//! Parsing of heads and bodies, in particular of messages that parsers could frame differently.

mod common;

use std::time::Duration;

use common::NAMES;
use proptest::prelude::*;
use rosemarybank_http1::{
    BodyReader, Framing, MessageError, Progress, RequestHead, ResponseHead,
    response::MAX_RETRY_AFTER,
};

fn request(text: &str) -> Result<Option<(RequestHead, usize)>, MessageError> {
    RequestHead::parse(text.as_bytes(), 4096, &NAMES)
}

fn response(text: &str) -> Result<Option<(ResponseHead, usize)>, MessageError> {
    ResponseHead::parse(text.as_bytes(), &NAMES)
}

#[test]
fn all_fields_but_hop_by_hop_ones_are_forwarded() {
    let text = "GET /a/b?q=1 HTTP/1.1\r\nHost: H.example:80\r\nX-Id: 7\r\nX-Deadline: 900\r\n\
                X-Expect: forged\r\nConnection: close, x-hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n\r\n";
    let (head, len) = request(text).unwrap().unwrap();
    assert_eq!((head.host.as_str(), head.path.as_str(), len), ("h.example", "/a/b", text.len()));
    assert_eq!((head.deadline, head.keep_alive), (Some(Duration::from_millis(900)), false));
    let mut out = Vec::new();
    head.render(&mut out, &NAMES, "r1", Duration::from_millis(850), 0);
    let expected = "GET /a/b?q=1 HTTP/1.1\r\nHost: H.example:80\r\nX-Id: 7\r\nX-Kept: 2\r\n\
                    x-deadline: 850\r\nx-expect: r1\r\n\r\n";
    assert_eq!(String::from_utf8(out).unwrap(), expected);
}

/// Guards against a peer that has fields removed which the next recipient needs, by listing them as fields
/// of the connection: the host and the id of a request, the id and the stamp of a reply.
#[test]
fn fields_that_all_recipients_need_are_forwarded() {
    let text =
        "GET / HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\nConnection: host, x-id, X-Hop\r\nX-Hop: 1\r\n\r\n";
    let (head, _) = request(text).unwrap().unwrap();
    let mut out = Vec::new();
    head.render(&mut out, &NAMES, "r1", Duration::from_millis(850), 0);
    let expected =
        "GET / HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\nx-deadline: 850\r\nx-expect: r1\r\n\r\n";
    assert_eq!(String::from_utf8(out).unwrap(), expected);
    let text = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Stamp: s\r\nConnection: x-stamp, x-id, x-hop\r\n\
                X-Hop: 1\r\n\r\n";
    let (head, _) = response(text).unwrap().unwrap();
    assert_eq!(String::from_utf8(head.forwarded_fields).unwrap(), "X-Id: 7\r\nX-Stamp: s\r\n");
}

/// Guards against a number below 100 that counts as an interim response, whose final one never comes, and one
/// above 599 that is passed on as the status of an answer.
#[test]
fn numbers_that_are_no_status_are_rejected() {
    for status in ["000", "001", "099", "600", "999"] {
        let text = format!("HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(response(&text).unwrap_err(), MessageError::MalformedHead, "{status}");
    }
    for status in ["100", "200", "599"] {
        let text = format!("HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n\r\n");
        assert!(response(&text).unwrap().is_some(), "{status}");
    }
}

#[test]
fn requests_with_ambiguous_framing_are_rejected() {
    let cases = [
        ("Content-Length: 3\r\nTransfer-Encoding: chunked", MessageError::AmbiguousLength),
        ("Content-Length: 3\r\nContent-Length: 4", MessageError::AmbiguousLength),
        ("Content-Length: +3", MessageError::AmbiguousLength),
        ("Content-Length: 3, 3", MessageError::AmbiguousLength),
        ("Transfer-Encoding: gzip, chunked", MessageError::AmbiguousLength),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", MessageError::AmbiguousLength),
        ("Host: other", MessageError::MalformedHost),
        ("Bad Name: 1", MessageError::MalformedHead),
    ];
    for (fields, expected) in cases {
        let result = request(&format!("POST / HTTP/1.1\r\nHost: a\r\n{fields}\r\n\r\n"));
        assert_eq!(result.unwrap_err(), expected, "{fields}");
    }
    assert_eq!(request("GET / HTTP/1.1\r\n\r\n").unwrap_err(), MessageError::MalformedHost);
    let long = format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "y".repeat(5000));
    assert_eq!(request(&long).unwrap_err(), MessageError::HeadTooLarge);
}

#[test]
fn a_response_without_a_length_lasts_until_the_connection_closes() {
    let (head, _) = response("HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n").unwrap().unwrap();
    assert_eq!((head.framing, head.closes_connection), (Some(Framing::UntilClose), true));
    let (head, _) = response("HTTP/1.1 204 No Content\r\n\r\n").unwrap().unwrap();
    assert_eq!((head.framing, head.closes_connection), (None, false));
    let text =
        "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nKeep-Alive: timeout=4\r\n\r\n";
    let (head, _) = response(text).unwrap().unwrap();
    assert!(head.is_not_executed);
    assert_eq!(head.idle_timeout, Some(Duration::from_secs(4)));
}

/// Whether a replica leaves is stated by the value 1 alone; one that states it once and denies it once
/// leaves as well, since a needless change of the replica costs less than a request to one that is gone.
#[test]
fn a_replica_leaves_if_it_says_so() {
    let cases = [
        ("", false),
        ("X-Leaving: 1\r\n", true),
        ("x-leaving:   1  \r\n", true),
        ("X-LEAVING: 0\r\nX-Leaving: 1\r\n", true),
        ("X-Leaving: 0\r\n", false),
        ("X-Leaving:\r\n", false),
        ("X-Leaving: 11\r\n", false),
        ("X-Leaving: true\r\n", false),
    ];
    for (fields, expected) in cases {
        let (head, _) = response(&format!("HTTP/1.1 200 OK\r\n{fields}\r\n")).unwrap().unwrap();
        assert_eq!(head.is_leaving, expected, "{fields}");
    }
}

/// Values that state no time are ignored, and no value overflows or blocks a replica for ever.
#[test]
fn retry_after_is_a_bounded_number_of_seconds() {
    let max = Some(MAX_RETRY_AFTER);
    let seconds = |it: f64| Some(Duration::from_secs_f64(it));
    let cases = [
        ("", None),
        ("Retry-After: 3\r\n", seconds(3.0)),
        ("retry-after:  0.25 \r\n", seconds(0.25)),
        ("Retry-After: .5\r\n", seconds(0.5)),
        ("Retry-After: 2\r\nRetry-After: 3\r\n", seconds(3.0)),
        ("Retry-After: 3\r\nRetry-After: soon\r\n", seconds(3.0)),
        ("Retry-After: 0\r\n", None),
        ("Retry-After: 0.0\r\n", None),
        ("Retry-After: -3\r\n", None),
        ("Retry-After: +3\r\n", None),
        ("Retry-After:\r\n", None),
        ("Retry-After: .\r\n", None),
        ("Retry-After: 3s\r\n", None),
        ("Retry-After: 1e3\r\n", None),
        ("Retry-After: NaN\r\n", None),
        ("Retry-After: inf\r\n", None),
        ("Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n", None),
        ("Retry-After: 86400\r\n", max),
        ("Retry-After: 99999999999999999999999999999999999999999999999\r\n", max),
    ];
    for (fields, expected) in cases {
        let (head, _) = response(&format!("HTTP/1.1 503 No\r\n{fields}\r\n")).unwrap().unwrap();
        assert_eq!(head.retry_after, expected, "{fields}");
    }
    let long = format!("HTTP/1.1 503 No\r\nRetry-After: {}\r\n\r\n", "9".repeat(2_000));
    assert_eq!(response(&long).unwrap().unwrap().0.retry_after, max);
}

#[test]
fn a_body_ends_as_its_framing_states() {
    let mut body = BodyReader::new(Framing::Length(4), 10);
    assert_eq!(body.read(b"abcdHTTP"), Ok(Progress::Complete(4)));
    let mut body = BodyReader::new(Framing::Length(40), 10);
    assert_eq!(body.read(b"0123456789a"), Err(MessageError::BodyTooLarge));
    for bad in ["x\r\n", "\r\n", "5\n", "3\r\nabcd\r\n", "-1\r\n", "ffffffffffffffffff\r\n"] {
        let mut body = BodyReader::new(Framing::Chunked, 100);
        assert_eq!(body.read(bad.as_bytes()), Err(MessageError::MalformedChunk), "{bad:?}");
    }
}

/// Chunk extensions and trailers that a faulty peer repeats without end end the body with an error.
#[test]
fn chunk_extensions_and_trailers_are_bounded() {
    let cases: [(&[u8], &[u8]); 2] =
        [(b"", b"1;extension=0123456789\r\nx\r\n"), (b"0\r\n", b"trailer: 0123456789\r\n")];
    for (start, repeated) in cases {
        let mut body = BodyReader::new(Framing::Chunked, 1 << 20);
        body.read(start).unwrap();
        let pieces = (0..2_000).map(|_| body.read(repeated)).take_while(Result::is_ok).count();
        assert!((100..1_000).contains(&pieces), "{pieces} pieces of {repeated:?}");
        let mut body = BodyReader::new(Framing::Chunked, 1 << 20);
        assert_eq!(body.read(b"1;a=b\r\nx\r\n0\r\nt: 1\r\n\r\n"), Ok(Progress::Complete(21)));
    }
}

proptest! {
    /// A chunked body decodes to the same bytes however it is split into reads.
    #[test]
    fn chunked_bodies_do_not_depend_on_read_sizes(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..6),
        cut in 1_usize..17,
    ) {
        let mut wire = Vec::new();
        for it in &chunks {
            wire.extend_from_slice(format!("{:x}\r\n", it.len()).as_bytes());
            wire.extend_from_slice(it);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\nx: y\r\n\r\n");
        let mut body = BodyReader::new(Framing::Chunked, 1000);
        let mut last = Progress::NeedsMore;
        for piece in wire.chunks(cut) {
            prop_assert_eq!(last, Progress::NeedsMore);
            last = body.read(piece).unwrap();
        }
        prop_assert!(matches!(last, Progress::Complete(_)));
        prop_assert_eq!(body.into_bytes(), chunks.concat());
    }

    /// Arbitrary bytes parse as a message, as part of one or as an error, without a panic.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = RequestHead::parse(&bytes, 300, &NAMES);
        let _ = ResponseHead::parse(&bytes, &NAMES);
        let mut body = BodyReader::new(Framing::Chunked, 100);
        let _ = body.read(&bytes);
    }
}
