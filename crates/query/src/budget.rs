//! Token buckets that limit retries and hedges to a percentage of first attempts.

/// The level is counted in hundredths of a token, so that a deposit of 1% is a whole number.
const UNITS_PER_TOKEN: u32 = 100;

/// A bucket into which each first attempt deposits a percentage of a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    units: u32,
    max_units: u32,
}

impl TokenBucket {
    /// Creates a bucket with `tokens` tokens and room for `max_tokens`.
    pub(crate) fn new(tokens: u32, max_tokens: u32) -> TokenBucket {
        TokenBucket {
            units: tokens.min(max_tokens).saturating_mul(UNITS_PER_TOKEN),
            max_units: max_tokens.saturating_mul(UNITS_PER_TOKEN),
        }
    }

    pub(crate) fn deposit_percent(&mut self, percent: u32) {
        self.units = self.units.saturating_add(percent).min(self.max_units);
    }

    /// Takes a token if there is one.
    pub(crate) fn try_take(&mut self) -> bool {
        self.try_take_above(0)
    }

    /// Takes a token if at least `reserve` tokens remain afterwards.
    pub(crate) fn try_take_above(&mut self, reserve: u32) -> bool {
        let can_take = self.units >= (reserve + 1).saturating_mul(UNITS_PER_TOKEN);
        if can_take {
            self.units -= UNITS_PER_TOKEN;
        }
        can_take
    }
}
