//! Divides the requests of a route among services by weight.

use rosemarybank_protocol::prelude::*;

/// Smooth weighted round robin: each part is owed its weight, and the part that is owed most is
/// next. Even short runs keep the weights.
#[derive(Clone, Debug, Default)]
pub(crate) struct Split {
    owed: Vec<f32>,
}

impl Split {
    /// The next part.
    pub(crate) fn next<'a>(&mut self, parts: &'a [(ServiceId, f32)]) -> Option<&'a ServiceId> {
        if self.owed.len() != parts.len() {
            self.owed = vec![0.0; parts.len()];
        }
        let total: f32 = parts.iter().map(|it| it.1.max(0.0)).sum();
        for (owed, part) in self.owed.iter_mut().zip(parts) {
            *owed += part.1.max(0.0);
        }
        let most = self.owed.iter().enumerate().max_by(|a, b| a.1.total_cmp(b.1))?.0;
        self.owed[most] -= total;
        Some(&parts[most].0)
    }
}
