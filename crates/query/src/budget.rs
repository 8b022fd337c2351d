//! Token buckets that tie extra attempts to first sends.

/// Hundredths of a token, so that a percentage of a send is a whole number.
const TOKEN: u32 = 100;

/// A bucket that each first send fills by a percentage of a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: u32,
    cap: u32,
}

impl Bucket {
    /// A bucket that holds `tokens` of at most `cap` tokens.
    pub(crate) fn new(tokens: u32, cap: u32) -> Bucket {
        Bucket { level: tokens.min(cap).saturating_mul(TOKEN), cap: cap.saturating_mul(TOKEN) }
    }

    pub(crate) fn earn(&mut self, percent: u32) {
        self.level = self.level.saturating_add(percent).min(self.cap);
    }

    /// Takes a token.
    pub(crate) fn take(&mut self) -> bool {
        self.take_above(0)
    }

    /// Takes a token if at least `reserve` tokens stay behind.
    pub(crate) fn take_above(&mut self, reserve: u32) -> bool {
        let may_take = self.level >= (reserve + 1).saturating_mul(TOKEN);
        if may_take {
            self.level -= TOKEN;
        }
        may_take
    }
}
