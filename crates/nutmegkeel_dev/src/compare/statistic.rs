//! Mean, range and confidence interval of a sample.

use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::Statistics;

/// Confidence level of the interval.
const CONFIDENCE: f64 = 0.95;

/// Summary statistics of a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Number of figures.
    pub count: usize,
    /// Their mean.
    pub mean: f64,
    /// The smallest.
    pub min: f64,
    /// The greatest.
    pub max: f64,
    /// Half the width of the confidence interval of the mean; none for a single figure.
    pub margin: Option<f64>,
}

impl Summary {
    /// Returns the summary of these figures, or none if there are none.
    #[must_use]
    pub fn of(figures: &[f64]) -> Option<Self> {
        if figures.is_empty() {
            return None;
        }
        Some(Self {
            count: figures.len(),
            mean: figures.mean(),
            min: figures.min(),
            max: figures.max(),
            margin: margin(figures),
        })
    }
}

/// Uses Student's t-distribution, since the variance is estimated from a small sample.
#[expect(clippy::cast_precision_loss, reason = "there are a few hundred figures at most")]
fn margin(figures: &[f64]) -> Option<f64> {
    let degrees = figures.len().checked_sub(1).filter(|degrees| *degrees > 0)?;
    let student = StudentsT::new(0.0, 1.0, degrees as f64).ok()?;
    let quantile = student.inverse_cdf(f64::midpoint(1.0, CONFIDENCE));
    Some(quantile * figures.std_dev() / (figures.len() as f64).sqrt())
}
