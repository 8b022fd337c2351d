use super::*;

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let mut bytes = vec![len[1], len[2], len[3], kind, 0];
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// Guards against headers that are missed or misread when a read or write splits a frame.
#[test]
fn frames_are_found_at_every_split() {
    let mut bytes = vec![0; 7];
    bytes.extend(frame(4, 0, &[]));
    bytes.extend(frame(TYPE_HEADERS, 3, &[9; 20]));
    bytes.extend(frame(TYPE_GOAWAY, 0, &[0x80, 0, 0, 5, 0, 0, 0, 0]));
    bytes.extend(frame(0, 5, &[1]));
    for at in 0..=bytes.len() {
        let mut scanner = Scanner::new(7);
        let mut found = Vec::new();
        for part in [&bytes[..at], &bytes[at..]] {
            scanner.scan(part, |it| found.push((it.kind, it.stream, it.first_word)));
        }
        let want = [(4, 0, 0), (TYPE_HEADERS, 3, 0), (TYPE_GOAWAY, 0, 0x8000_0005), (0, 5, 0)];
        assert_eq!(found, want, "split at {at}");
    }
}

/// Guards against calling a stream unprocessed while its HEADERS frame can still be written.
#[test]
fn an_unsent_stream_counts_as_unprocessed_only_after_the_end() {
    let log = FrameLog::default();
    log.wrote(&Frame { kind: TYPE_HEADERS, stream: 3, first_word: 0 });
    assert!(!log.is_unprocessed(5));
    log.finish();
    assert!(log.is_unprocessed(5));
    assert!(!log.is_unprocessed(3));
}

/// Guards against a graceful stop whose first GOAWAY names the largest stream number.
#[test]
fn the_lowest_goaway_decides() {
    let log = FrameLog::default();
    for last in [STREAM_ID_MASK, 3] {
        log.read(&Frame { kind: TYPE_GOAWAY, stream: 0, first_word: last });
    }
    assert!(log.is_going_away());
    assert!(log.is_unprocessed(5));
    assert!(!log.is_unprocessed(3));
}
