//! Median, minimum and maximum of repeated measurements.

use serde::Serialize;

/// Median and range of the values of several rounds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// Median value.
    pub median: f64,
    /// Minimum value.
    pub min: f64,
    /// Maximum value.
    pub max: f64,
    /// Number of values.
    pub count: usize,
}

impl Spread {
    /// Summarizes the finite values. Returns `None` if there are none.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_experiments::statistics::Spread;
    ///
    /// let spread = Spread::of(&[3.0, 1.0, 2.0]).unwrap();
    /// assert_eq!((spread.median, spread.min, spread.max), (2.0, 1.0, 3.0));
    /// ```
    #[must_use]
    pub fn of(values: &[f64]) -> Option<Spread> {
        let mut values: Vec<_> = values.iter().copied().filter(|it| it.is_finite()).collect();
        values.sort_by(f64::total_cmp);
        let (&min, &max) = (values.first()?, values.last()?);
        let middle = values.len() / 2;
        let median = match values.len() % 2 {
            0 => f64::midpoint(values[middle - 1], values[middle]),
            _ => values[middle],
        };
        Some(Spread { median, min, max, count: values.len() })
    }
}
