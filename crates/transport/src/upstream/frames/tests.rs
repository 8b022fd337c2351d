use super::*;

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let mut bytes = vec![len[1], len[2], len[3], kind, 0];
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// Guards against missed or misread frame headers when a read or write splits a frame.
#[test]
fn frames_are_parsed_at_every_split() {
    let mut bytes = vec![0; 7];
    bytes.extend(frame(4, 0, &[]));
    bytes.extend(frame(TYPE_HEADERS, 3, &[9; 20]));
    bytes.extend(frame(TYPE_GOAWAY, 0, &[0x80, 0, 0, 5, 0, 0, 0, 0]));
    bytes.extend(frame(0, 5, &[1]));
    for split_at in 0..=bytes.len() {
        let mut scanner = FrameScanner::new(7);
        let mut frames = Vec::new();
        for chunk in [&bytes[..split_at], &bytes[split_at..]] {
            scanner.scan(chunk, |it| frames.push((it.kind, it.stream, it.first_word)));
        }
        let want = [(4, 0, 0), (TYPE_HEADERS, 3, 0), (TYPE_GOAWAY, 0, 0x8000_0005), (0, 5, 0)];
        assert_eq!(frames, want, "split at {split_at}");
    }
}

/// Guards against reporting a stream as unprocessed while its HEADERS frame can still be written.
#[test]
fn an_unsent_stream_is_unprocessed_only_after_the_connection_closed() {
    let tracker = FrameTracker::default();
    tracker.on_frame_written(&Frame { kind: TYPE_HEADERS, stream: 3, first_word: 0 });
    assert!(!tracker.is_unprocessed(5));
    tracker.mark_closed();
    assert!(tracker.is_unprocessed(5));
    assert!(!tracker.is_unprocessed(3));
}

/// Guards against using only the first GOAWAY of a graceful shutdown, which carries the largest
/// possible stream identifier.
#[test]
fn the_goaway_with_the_lowest_stream_applies() {
    let tracker = FrameTracker::default();
    for last in [STREAM_ID_MASK, 3] {
        tracker.on_frame_read(&Frame { kind: TYPE_GOAWAY, stream: 0, first_word: last });
    }
    assert!(tracker.is_going_away());
    assert!(tracker.is_unprocessed(5));
    assert!(!tracker.is_unprocessed(3));
}
