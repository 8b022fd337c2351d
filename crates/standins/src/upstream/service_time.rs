//! Sampling of service times.

use std::time::Duration;

use super::spec::ServiceTime;

impl ServiceTime {
    /// Samples a service time.
    pub fn sample(&self, rng: &mut fastrand::Rng) -> Duration {
        // Box-Muller transform. `rng.f64()` can be 0 but not 1, so 1 - u avoids the logarithm of
        // zero.
        let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
        Duration::from_micros(self.median_us).mul_f64((self.sigma * normal).exp())
    }
}
