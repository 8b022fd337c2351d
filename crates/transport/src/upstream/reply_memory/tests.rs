use super::{FREE_LEN, ReplyMemory};

const MAX_LEN: usize = 1 << 20;

#[test]
fn large_replies_stay_within_the_memory_and_leave_room_for_small_ones() {
    let limit = 16 << 20;
    let memory = ReplyMemory::new(limit, MAX_LEN);
    let mut replies: Vec<_> = (0..200).map(|_| memory.start()).collect();
    let mut served = vec![true; replies.len()];
    // They grow in turn, like those of a crowd.
    for len in (0..=MAX_LEN).step_by(16 << 10) {
        for (reply, is_served) in replies.iter_mut().zip(&mut served) {
            *is_served &= reply.reserve(len);
        }
        let used = memory.used.load(super::Ordering::Relaxed);
        assert!(used <= limit, "{used} bytes");
        assert!(memory.start().reserve(FREE_LEN * 2), "a small reply beside {used} bytes");
    }
    drop(replies);
    assert_eq!(memory.used.load(super::Ordering::Relaxed), 0);
}

/// Guards against a limit that a single reply meets in calm, whatever the settings.
#[test]
fn a_single_reply_of_the_largest_size_has_room() {
    let memory = ReplyMemory::new(1, MAX_LEN);
    assert!(memory.start().reserve(MAX_LEN));
    assert!(!memory.start().reserve(MAX_LEN + 1));
}
