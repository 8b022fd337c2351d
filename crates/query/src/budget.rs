//! Token buckets that tie extra attempts to first sends.

/// Hundredths of a token, so that a percentage of a send is a whole number.
const UNITS_PER_TOKEN: u32 = 100;

/// A bucket that each first send fills by a percentage of a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    units: u32,
    max_units: u32,
}

impl TokenBucket {
    /// A bucket that holds `tokens` of at most `max_tokens` tokens.
    pub(crate) fn new(tokens: u32, max_tokens: u32) -> TokenBucket {
        TokenBucket {
            units: tokens.min(max_tokens).saturating_mul(UNITS_PER_TOKEN),
            max_units: max_tokens.saturating_mul(UNITS_PER_TOKEN),
        }
    }

    pub(crate) fn deposit_percent(&mut self, percent: u32) {
        self.units = self.units.saturating_add(percent).min(self.max_units);
    }

    /// Takes a token.
    pub(crate) fn try_take(&mut self) -> bool {
        self.try_take_above(0)
    }

    /// Takes a token if at least `reserve` tokens stay behind.
    pub(crate) fn try_take_above(&mut self, reserve: u32) -> bool {
        let may_take = self.units >= (reserve + 1).saturating_mul(UNITS_PER_TOKEN);
        if may_take {
            self.units -= UNITS_PER_TOKEN;
        }
        may_take
    }
}
