//! Draws service times from a seeded source.

use std::time::Duration;

use super::spec::ServiceTime;

impl ServiceTime {
    /// Draws one service time.
    pub fn draw(&self, rng: &mut fastrand::Rng) -> Duration {
        // Box-Muller; 1 - u keeps the argument of the logarithm above zero.
        let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
        Duration::from_micros(self.median_us).mul_f64((self.sigma * normal).exp())
    }
}
