//! Splits the requests of a route among services by weight.

use rosemarybank_protocol::prelude::*;

/// Smooth weighted round robin: each service gains credits equal to its weight per request, and the
/// one with the most credits is selected. The proportions hold even over short runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct WeightedRoundRobin {
    credits: Vec<f32>,
}

impl WeightedRoundRobin {
    /// Returns the service of the next request.
    pub(crate) fn next<'a>(&mut self, parts: &'a [(ServiceId, f32)]) -> Option<&'a ServiceId> {
        if self.credits.len() != parts.len() {
            self.credits = vec![0.0; parts.len()];
        }
        let total: f32 = parts.iter().map(|it| it.1.max(0.0)).sum();
        for (credits, part) in self.credits.iter_mut().zip(parts) {
            *credits += part.1.max(0.0);
        }
        let index = self.credits.iter().enumerate().max_by(|a, b| a.1.total_cmp(b.1))?.0;
        self.credits[index] -= total;
        Some(&parts[index].0)
    }
}
